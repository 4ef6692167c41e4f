package retry

// Cancelled means that the caller left or its key was withdrawn during the
// attempt. It says nothing about the target, and no further attempt is made.
type Cancelled struct{}

func (Cancelled) sealed() {}
