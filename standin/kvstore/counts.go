package kvstore

// Counts are the calls that the store has taken, by kind. A waiting watch
// counts as one.
type Counts struct {
	Gets    int64 `json:"get"`
	Lists   int64 `json:"list"`
	Swaps   int64 `json:"swap"`
	Deletes int64 `json:"delete"`
	Watches int64 `json:"watch"`
	Leases  int64 `json:"lease"`
	// Limited is the number of calls over the rates, counted above as well.
	Limited int64 `json:"limited"`
}

// Reads returns the number of calls that count as reads.
func (c Counts) Reads() int64 { return c.Gets + c.Lists + c.Watches }

// Writes returns the number of calls that count as writes.
func (c Counts) Writes() int64 { return c.Swaps + c.Deletes + c.Leases }
