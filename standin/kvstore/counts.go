package kvstore

// Counts are the calls that the store has received, by kind. A watch counts once,
// however long it waits.
type Counts struct {
	Gets    int64 `json:"get"`
	Lists   int64 `json:"list"`
	Swaps   int64 `json:"swap"`
	Deletes int64 `json:"delete"`
	Watches int64 `json:"watch"`
	Leases  int64 `json:"lease"`
	// Limited is the number of calls refused by the rate limits. They are
	// included in the counts above.
	Limited int64 `json:"limited"`
}

// Reads returns the number of read calls.
func (c Counts) Reads() int64 { return c.Gets + c.Lists + c.Watches }

// Writes returns the number of write calls.
func (c Counts) Writes() int64 { return c.Swaps + c.Deletes + c.Leases }
