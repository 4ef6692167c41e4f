package limit

import (
	"encoding/json"

	"github.com/gravitational/trace"

	"hawthornway/fleet"
	"hawthornway/target"
	"hawthornway/team"
)

const recordPrefix = "limit/"

// shareRecord is the division of a team's limit among domains, as stored in the
// key-value service.
type shareRecord struct {
	Domains map[fleet.DomainID]shareEntry `json:"domains"`
}

// shareEntry is the entry of one domain. Only the domain's own ledger lowers its share.
type shareEntry struct {
	// Share is in millionths.
	Share Share `json:"share"`
	// Fence is the fence of the last ledger that was opened; zero if there was none.
	// Each ledger writes it before it lends, so that writes of an earlier ledger
	// that are still in flight fail.
	Fence target.Fence `json:"fence"`
	// Host is the host of the last ledger.
	Host fleet.HostID `json:"host,omitempty"`
	// Raised is set once the share has grown since the record was created.
	Raised bool `json:"raised,omitempty"`
	// Forgotten is set when the domain is gone. It gets no share until a ledger is
	// opened in it.
	Forgotten bool `json:"forgotten,omitempty"`
	// Credit is the sum, in millionths, of all tokens that were transferred along
	// with shares. A ledger adds to its bucket what Credit grows by after it was
	// opened.
	Credit MicroTokens `json:"credit,omitempty"`
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
		return shareRecord{}, trace.BadParameter("decode limit record: %v", err)
	}
	if r.Domains == nil || r.shares().Sum() > WholeLimit {
		return shareRecord{}, trace.BadParameter("limit record has no domains, or shares that exceed the whole limit")
	}
	return r, nil
}

func (r shareRecord) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(trace.Wrap(err, "encode limit record"))
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

// forgotten returns the domains that are marked as forgotten.
func (r shareRecord) forgotten() []fleet.DomainID {
	var domains []fleet.DomainID
	for d, entry := range r.Domains {
		if entry.Forgotten {
			domains = append(domains, d)
		}
	}
	return domains
}

// forgetDomain returns the record with all shares of a domain transferred to others,
// and the domain marked as forgotten.
func (r shareRecord) forgetDomain(gone fleet.DomainID, others []fleet.DomainID) shareRecord {
	shares := r.shares().Transfer(gone, others, nil, Limit{})
	moved := r.transfer(gone, shares, 0)
	entry := moved.Domains[gone]
	entry.Forgotten = true
	moved.Domains[gone] = entry
	return moved
}

// transfer returns the record with shares moved from one domain to others, along with
// the tokens that no longer fit into the bucket of that domain.
func (r shareRecord) transfer(from fleet.DomainID, shares Shares, tokens MicroTokens) shareRecord {
	moved := shareRecord{Domains: make(map[fleet.DomainID]shareEntry, len(r.Domains))}
	for d, entry := range r.Domains {
		moved.Domains[d] = entry
	}
	for d, share := range shares {
		entry := moved.Domains[d]
		entry.Share += share
		entry.Raised = true
		entry.Credit += MicroTokens(float64(tokens) * float64(share) / float64(shares.Sum()))
		moved.Domains[d] = entry
	}
	source := moved.Domains[from]
	source.Share -= shares.Sum()
	moved.Domains[from] = source
	return moved
}
