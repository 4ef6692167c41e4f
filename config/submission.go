package config

import (
	"regexp"

	"github.com/gravitational/trace"
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@+-]{0,99}$`)

// Submission is a complete configuration to apply.
type Submission struct {
	Files []File
	// Base is the revision that the files are based on.
	Base   Revision
	Change ChangeID
	Author Author
}

// check validates everything except the files.
func (s Submission) check() error {
	if !idPattern.MatchString(string(s.Change)) {
		return trace.BadParameter("change id must be 1 to 100 letters, digits and any of . _ @ + -")
	}
	if !idPattern.MatchString(string(s.Author)) {
		return trace.BadParameter("author must be 1 to 100 letters, digits and any of . _ @ + -")
	}
	return nil
}
