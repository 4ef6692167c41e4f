package jsonhttp

import "hawthornway/memory"

// parsedHeadBytes is what the head of a response holds at most once it is parsed, if it has
// MaxHeadBytes: one of many short fields holds many times its size.
const parsedHeadBytes = 16 * MaxHeadBytes

// ReserveHead lends a request the memory for the head of its response, which net/http parses before
// anything can be counted, and reports whether there is room. The returned function gives it back; it
// must be called once the head has arrived.
func ReserveHead(loan *memory.Loan) (giveBack func(), ok bool) {
	before := loan.Answers()
	ok = loan.GrowAnswer(parsedHeadBytes)
	return func() { loan.ShrinkAnswers(before) }, ok
}
