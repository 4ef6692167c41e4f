package member

import (
	"slices"

	"hawthornway/fleet"
	"hawthornway/keyvalue"
)

// view holds the newest known records of all domains.
type view struct {
	records map[fleet.DomainID]record
	// newestRevision is the highest revision among the records.
	newestRevision keyvalue.Revision
}

func newView() *view { return &view{records: map[fleet.DomainID]record{}} }

// learn stores a record if it is newer than the known one, and reports whether it
// was.
func (v *view) learn(domain fleet.DomainID, r record) bool {
	if old, ok := v.records[domain]; ok && old.Revision >= r.Revision {
		return false
	}
	v.records[domain] = r
	v.newestRevision = max(v.newestRevision, r.Revision)
	return true
}

// remove drops a record that the key-value service no longer has as of the given
// revision, and reports whether there was one.
func (v *view) remove(domain fleet.DomainID, revision keyvalue.Revision) bool {
	old, ok := v.records[domain]
	if !ok || old.Revision > revision {
		return false
	}
	delete(v.records, domain)
	return true
}

func (v *view) domains() []fleet.DomainID {
	domains := make([]fleet.DomainID, 0, len(v.records))
	for domain := range v.records {
		domains = append(domains, domain)
	}
	slices.Sort(domains)
	return domains
}

func (v *view) owner(domain fleet.DomainID, shard Shard) (fleet.Member, bool) {
	r := v.records[domain]
	if int(shard) >= len(r.Shards) {
		return fleet.Member{}, false
	}
	e, ok := r.member(r.Shards[shard].Owner)
	return e.Member, ok
}

// members returns the members of all domains.
func (v *view) members() []fleet.Member {
	var members []fleet.Member
	for _, domain := range v.domains() {
		members = append(members, v.records[domain].members()...)
	}
	return members
}
