package config

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"

	"hawthornway/document"
)

// The maximum number of files and their maximum total size in one configuration
// folder.
const (
	MaxFiles = 2048
	MaxBytes = 8 << 20
)

var fileNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}\.ya?ml$`)

// Merge merges files in the order of their names and validates the result. A
// later entry replaces an earlier one of the same kind and name. The error is a
// document.Problems that lists all problems.
func Merge(files []File) (Config, error) {
	m := newMerger()
	m.files(files)
	c := &checker{locate: m.locate, problems: m.problems}
	c.config(m.config)
	return m.config, c.problems.Err()
}

// mergeAccepted merges files that were accepted already, perhaps by a host of a
// newer version. It skips unknown fields and does not validate the result.
func mergeAccepted(files []File) (Config, error) {
	m := newMerger(document.WithUnknownFields())
	m.files(files)
	return m.config, m.problems.Err()
}

// location is the file and field in which an entry is defined.
type location struct {
	doc   *document.Document
	field string
}

type entryKey struct {
	kind Kind
	name string
}

// merger merges files into one configuration.
type merger struct {
	options   []document.Option
	config    Config
	locations map[entryKey]location
	problems  document.Problems
}

func newMerger(opts ...document.Option) *merger {
	return &merger{options: opts, locations: map[entryKey]location{}}
}

// locate returns the location of an entry.
func (m *merger) locate(kind Kind, name string) location { return m.locations[entryKey{kind, name}] }

func (m *merger) files(files []File) {
	files = slices.Clone(files)
	slices.SortStableFunc(files, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	if !m.checkSize(files) {
		return
	}
	for i, file := range files {
		if i > 0 && files[i-1].Name == file.Name {
			m.fail(file.Name, "is sent twice")
			continue
		}
		m.file(file)
	}
}

func (m *merger) fail(file, format string, args ...any) {
	m.problems = append(m.problems, document.Problem{File: file, Reason: fmt.Sprintf(format, args...)})
}

// checkSize reports whether the files are within the limits.
func (m *merger) checkSize(files []File) bool {
	total := 0
	for _, file := range files {
		total += len(file.Data)
	}
	if len(files) > MaxFiles || total > MaxBytes {
		m.fail("folder", "has %d files and %d bytes, more than %d files or %d bytes", len(files), total, MaxFiles, MaxBytes)
		return false
	}
	return true
}

func (m *merger) file(file File) {
	if !fileNamePattern.MatchString(file.Name) {
		m.fail(file.Name, "must be named with letters, digits, dots, hyphens and underscores, ending in .yaml")
		return
	}
	var c Config
	doc, problems := document.Decode(file.Name, file.Data, &c, m.options...)
	m.problems = append(m.problems, problems...)
	mergeKind(m, doc, KindDomain, &m.config.Domains, c.Domains)
	mergeKind(m, doc, KindTarget, &m.config.Targets, c.Targets)
	mergeKind(m, doc, KindModel, &m.config.Models, c.Models)
	mergeKind(m, doc, KindAdapter, &m.config.Adapters, c.Adapters)
	mergeKind(m, doc, KindTeam, &m.config.Teams, c.Teams)
	mergeKind(m, doc, KindRoute, &m.config.Routes, c.Routes)
	mergeKind(m, doc, KindObjective, &m.config.Objectives, c.Objectives)
	mergeKind(m, doc, KindEvacuation, &m.config.Evacuations, c.Evacuations)
}

// mergeKind merges one file's entries of a kind into those of earlier files.
func mergeKind[E entry](m *merger, doc *document.Document, kind Kind, into *[]E, from []E) {
	index := make(map[string]int, len(*into))
	for i, e := range *into {
		index[e.name()] = i
	}
	for i, e := range from {
		key := entryKey{kind, e.name()}
		path := fmt.Sprintf("%s[%d]", kind, i)
		before, exists := m.locations[key]
		if exists && before.doc == doc {
			m.problems = append(m.problems, doc.Problem(path+".name", "%q is also at line %d", key.name, doc.Line(before.field)))
			continue
		}
		m.locations[key] = location{doc, path}
		if at, known := index[key.name]; known {
			(*into)[at] = e
			continue
		}
		index[key.name] = len(*into)
		*into = append(*into, e)
	}
}
