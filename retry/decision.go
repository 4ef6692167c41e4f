package retry

import (
	"hawthornway/outcome"
)

// Decision is what to do after an attempt: TryAgain, Stop or Finish.
type Decision interface {
	decision()
}

// TryAgain means that another target should be tried.
type TryAgain struct {
	// ResumeFrom is the token at which to resume the response. Zero starts
	// over.
	ResumeFrom int
}

// Stop means that the request ends with an outcome.
type Stop struct {
	Outcome outcome.Outcome
}

// Finish means that the response is complete.
type Finish struct{}

func (TryAgain) decision() {}
func (Stop) decision()     {}
func (Finish) decision()   {}
