package config

import (
	"fmt"
	"strings"
	"time"
)

// ConflictError reports that the current configuration is not the revision that
// a submission is based on.
type ConflictError struct {
	Base    Revision       `json:"base"`
	Current Revision       `json:"current"`
	Files   []FileConflict `json:"files"`
}

// FileConflict is a file that was changed after the base revision and that
// differs from the submitted one.
type FileConflict struct {
	File     string    `json:"file"`
	Author   Author    `json:"author"`
	Revision Revision  `json:"revision"`
	At       time.Time `json:"at"`
	// Differences are the changes from the submitted file to the current one.
	Differences []Change `json:"differences"`
}

// Error returns the revisions and, for each file, its last author and the
// differences.
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

// newConflict returns the ConflictError of a submission against the current
// head and its files. If the history does not reach back to the base, it lists
// all files that differ.
func newConflict(s Submission, submitted content, current head, currentFiles []File) *ConflictError {
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
			Differences: Diff(fileConfig(s.Files, name), fileConfig(currentFiles, name)),
		})
	}
	return conflict
}

// lastChange returns the newest change of a file after the base, or false if the
// file was not changed since. If the change may be older than the history, it
// returns the newest accepted change instead.
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

// fileConfig returns the configuration in one file, which is empty if there is
// no such file.
func fileConfig(files []File, name string) Config {
	for _, f := range files {
		if f.Name == name {
			c, _ := mergeAccepted([]File{f})
			return c
		}
	}
	return Config{}
}
