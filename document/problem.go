package document

import (
	"fmt"
	"strings"
)

// maxProblems limits the problems that one error lists.
const maxProblems = 200

// Problem is an error in a file.
type Problem struct {
	File string `json:"file"`
	// Line counts from one. It is zero if the problem has no line.
	Line int `json:"line,omitempty"`
	// Field is the path of the field, such as "targets[2].address".
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
}

// String returns the problem as "file:line: field: reason".
func (p Problem) String() string {
	if p.File == "" && p.Field == "" {
		return p.Reason
	}
	text := p.File
	if p.Line > 0 {
		text += fmt.Sprintf(":%d", p.Line)
	}
	switch {
	case p.File == "":
		text = p.Field
	case p.Field != "":
		text += ": " + p.Field
	}
	return text + ": " + p.Reason
}

// Problems lists all errors of one or more files. It implements error.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none. It truncates
// long lists and appends the number of the omitted problems.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	if rest := len(p) - maxProblems; rest > 0 {
		p = append(p[:maxProblems:maxProblems], Problem{Reason: fmt.Sprintf("%d more problems", rest)})
	}
	return p
}
