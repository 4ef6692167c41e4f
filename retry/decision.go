package retry

import (
	"hawthornway/outcome"
)

// Decision is what to do after an attempt. It is one of Again, Stop and Finish.
type Decision interface {
	decision()
}

// TryAgain says to try another target.
type TryAgain struct {
	// ResumeFrom is the token at which the answer goes on; zero starts anew.
	ResumeFrom int
}

// Stop says to end the request with an outcome.
type Stop struct {
	Outcome outcome.Outcome
}

// Finish says that the answer is whole.
type Finish struct{}

func (TryAgain) decision() {}
func (Stop) decision()     {}
func (Finish) decision()   {}
