package keyvalue

import (
	"net/http"
	"strconv"
)

// Era numbers the histories of a store. It rises when the store returns from an older copy of
// itself, and gives out revisions and leases again.
type Era uint64

// HeaderEra states a store's era in its answers. Zero, or no header, is the era of a
// store that never returns from a copy.
const HeaderEra = "Store-Era"

// A position is a revision with its era: the era is in the upper bits and the store's own
// number in the lower ones. Positions, and the fences taken from them, rise over all eras. The
// revisions that package platform returns are positions; those of this package's client are
// not.
const (
	numberBits = 40
	maxNumber  = 1<<numberBits - 1
	// maxEra keeps positions exact where a fence is read as a JSON number of 53 bits.
	maxEra = 1<<13 - 1
)

// Position returns the position of a revision in an era. Zero stays zero, since it means
// that there is no revision.
func (e Era) Position(revision Revision) Revision {
	if revision == 0 {
		return 0
	}
	return Revision(e)<<numberBits | revision
}

// EraOf returns the era of a position.
func EraOf(position Revision) Era { return Era(position >> numberBits) }

// RevisionOf returns the store's own number of a position.
func RevisionOf(position Revision) Revision { return position & maxNumber }

// ParseEra returns the era that an answer of the store states, or false if it states none
// that is valid.
func ParseEra(header http.Header) (Era, bool) {
	n, err := strconv.ParseUint(header.Get(HeaderEra), 10, 64)
	return Era(n), err == nil && n <= maxEra
}
