package document

import (
	"fmt"
	"strings"
)

// Problem is one thing wrong with a file.
type Problem struct {
	File string `json:"file"`
	// Line counts from one. Zero means that the problem has no line.
	Line int `json:"line,omitempty"`
	// Field is the path of the field, such as "targets[2].address".
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
}

// String returns the problem as "file:line: field: reason".
func (p Problem) String() string {
	text := p.File
	if p.Line > 0 {
		text += fmt.Sprintf(":%d", p.Line)
	}
	if p.Field != "" {
		text += ": " + p.Field
	}
	return text + ": " + p.Reason
}

// Problems is all that is wrong with one or more files. It is an error.
type Problems []Problem

// Error returns the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
