package limit

import (
	"encoding/json"

	"github.com/gravitational/trace"

	"hawthornway/fleet"
	"hawthornway/target"
	"hawthornway/team"
)

const recordPrefix = "limit/"

// shareRecord is a team's division as the key-value service keeps it.
type shareRecord struct {
	Domains map[fleet.DomainID]shareEntry `json:"domains"`
}

// shareEntry is one domain's part. Only the domain's own ledger lowers it.
type shareEntry struct {
	// Share is in millionths.
	Share Share `json:"share"`
	// Fence is that of the last ledger that was opened; zero for none. Each
	// ledger writes it before it lends, so that a write of an earlier ledger
	// that is still under way fails.
	Fence target.Fence `json:"fence"`
	// Host kept the last ledger.
	Host fleet.HostID `json:"host,omitempty"`
	// Raised says that the share has grown since the record was made.
	Raised bool `json:"raised,omitempty"`
	// Forgotten says that the domain is gone. It gets no share until a ledger
	// is opened in it.
	Forgotten bool `json:"forgotten,omitempty"`
	// Credit is the sum, in millionths, of all tokens that came with shares.
	// A ledger takes in what is added to it after it was opened.
	Credit Micro `json:"credit,omitempty"`
}

func recordKey(id team.ID) string { return recordPrefix + string(id) }

func newShareRecord(domains []fleet.DomainID) shareRecord {
	r := shareRecord{Domains: make(map[fleet.DomainID]shareEntry, len(domains))}
	for d, share := range EqualShares(domains) {
		r.Domains[d] = shareEntry{Share: share}
	}
	return r
}

func decodeShareRecord(value []byte) (shareRecord, error) {
	var r shareRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return shareRecord{}, trace.BadParameter("limit record: %v", err)
	}
	if r.Domains == nil || r.shares().Sum() > WholeLimit {
		return shareRecord{}, trace.BadParameter("limit record gives out more than the whole")
	}
	return r, nil
}

func (r shareRecord) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(trace.Wrap(err, "limit record"))
	}
	return value
}

func (r shareRecord) shares() Shares {
	s := make(Shares, len(r.Domains))
	for d, entry := range r.Domains {
		s[d] = entry.Share
	}
	return s
}

// forgotten returns the domains that are gone.
func (r shareRecord) forgotten() []fleet.DomainID {
	var gone []fleet.DomainID
	for d, entry := range r.Domains {
		if entry.Forgotten {
			gone = append(gone, d)
		}
	}
	return gone
}

// forget gives all shares of a domain that is gone to others.
func (r shareRecord) forget(gone fleet.DomainID, others []fleet.DomainID) shareRecord {
	given := r.shares().Give(gone, others, nil, Limit{})
	moved := r.move(gone, given, 0)
	entry := moved.Domains[gone]
	entry.Forgotten = true
	moved.Domains[gone] = entry
	return moved
}

// move takes what is given from one domain and adds it to the others, with the
// tokens that had no place any more in the giver's bucket.
func (r shareRecord) move(from fleet.DomainID, given Shares, tokens Micro) shareRecord {
	moved := shareRecord{Domains: make(map[fleet.DomainID]shareEntry, len(r.Domains))}
	for d, entry := range r.Domains {
		moved.Domains[d] = entry
	}
	for d, share := range given {
		entry := moved.Domains[d]
		entry.Share += share
		entry.Raised = true
		entry.Credit += Micro(float64(tokens) * float64(share) / float64(given.Sum()))
		moved.Domains[d] = entry
	}
	giver := moved.Domains[from]
	giver.Share -= given.Sum()
	moved.Domains[from] = giver
	return moved
}
