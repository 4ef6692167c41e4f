package retry

// Cancelled says that the caller left or lost its key while the attempt ran. It
// says nothing of the target, and no attempt follows it.
type Cancelled struct{}

func (Cancelled) sealed() {}
