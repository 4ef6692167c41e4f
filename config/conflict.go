package config

import (
	"fmt"
	"strings"
	"time"
)

// ConflictError says that the configuration has moved on from the revision
// that a submission was made from.
type ConflictError struct {
	Base    Revision       `json:"base"`
	Current Revision       `json:"current"`
	Files   []FileConflict `json:"files"`
}

// FileConflict is one file that another operator has changed since the base
// and that differs from the submission.
type FileConflict struct {
	File     string    `json:"file"`
	Author   Author    `json:"author"`
	Revision Revision  `json:"revision"`
	At       time.Time `json:"at"`
	// Differences go from the submitted file to the file in force.
	Differences []Change `json:"differences"`
}

// Error returns the revisions and each file with its other author.
func (e *ConflictError) Error() string {
	lines := []string{fmt.Sprintf("configuration is at revision %d, not %d", e.Current, e.Base)}
	for _, f := range e.Files {
		lines = append(lines, fmt.Sprintf("%s: changed by %s in revision %d at %s", f.File, f.Author, f.Revision, f.At.Format(time.RFC3339)))
		for _, change := range f.Differences {
			lines = append(lines, "  "+change.String())
		}
	}
	return strings.Join(lines, "\n")
}

// newConflict returns a new ConflictError for a submission and the files in
// force. If the changes since the base are no longer known, it names all files
// that differ.
func newConflict(s Submission, submitted content, current head, inForce []File) *ConflictError {
	conflict := &ConflictError{Base: s.Base, Current: current.Revision}
	differing := changedFiles(submitted.hashes, current.Hashes)
	for _, name := range differing {
		last, known := lastChange(current, s.Base, name)
		if !known {
			continue
		}
		conflict.Files = append(conflict.Files, FileConflict{
			File:        name,
			Author:      last.Author,
			Revision:    last.Revision,
			At:          last.At,
			Differences: Diff(decodeNamed(s.Files, name), decodeNamed(inForce, name)),
		})
	}
	return conflict
}

// lastChange returns the newest change of a file after the base. If the history
// does not reach back to the base, the file may have been changed before it.
func lastChange(current head, base Revision, name string) (Accepted, bool) {
	for _, a := range current.History {
		if a.Revision <= base {
			return Accepted{}, false
		}
		for _, file := range a.Files {
			if file == name {
				return a, true
			}
		}
	}
	if len(current.History) == 0 {
		return Accepted{}, false
	}
	oldest := current.History[len(current.History)-1]
	return current.Accepted, oldest.Revision > base+1
}

func decodeNamed(files []File, name string) Config {
	for _, f := range files {
		if f.Name == name {
			c, _ := mergeAccepted([]File{f})
			return c
		}
	}
	return Config{}
}
