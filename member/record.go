package member

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/gravitational/trace"

	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/target"
)

// keyPrefix is the prefix of the keys of all domain records.
const keyPrefix = "domain/"

func recordKey(domain fleet.DomainID) string { return keyPrefix + string(domain) }

// record is the record of one domain. A missing record has revision zero.
type record struct {
	Revision keyvalue.Revision
	// Fence is the highest fence assigned so far.
	Fence   target.Fence
	Members []memberEntry
	Shards  [Shards]shardEntry
}

// memberEntry is one member of a domain.
type memberEntry struct {
	fleet.Member
	// Leaving members get no shards.
	Leaving bool
	// Provisional members added themselves while no other member was reachable.
	// Owners don't need their promises, so they may take shards from others only
	// for targets that check fences.
	Provisional bool
}

// shardEntry is the owner of one shard.
type shardEntry struct {
	// Owner is zero for a shard without an owner.
	Owner process
	Fence target.Fence
	// HandedOver is set if the previous owner had stopped and all its orders were
	// answered.
	HandedOver bool
	// PriorOwners lists previous owners that may still act for targets that don't
	// check fences.
	PriorOwners []process
}

func (e memberEntry) process() process { return processOf(e.Member) }

func (r record) clone() record {
	r.Members = slices.Clone(r.Members)
	for i := range r.Shards {
		r.Shards[i].PriorOwners = slices.Clone(r.Shards[i].PriorOwners)
	}
	return r
}

func (r record) member(p process) (memberEntry, bool) {
	i := slices.IndexFunc(r.Members, func(e memberEntry) bool { return e.process() == p })
	if i < 0 {
		return memberEntry{}, false
	}
	return r.Members[i], true
}

func (r record) host(host fleet.HostID) (memberEntry, bool) {
	i := slices.IndexFunc(r.Members, func(e memberEntry) bool { return e.Host == host })
	if i < 0 {
		return memberEntry{}, false
	}
	return r.Members[i], true
}

// isFull reports whether a process is a member that is not provisional.
func (r record) isFull(p process) bool {
	e, ok := r.member(p)
	return ok && !e.Provisional
}

func (r record) hasFull() bool { return len(r.full()) > 0 }

// full returns the members that are not provisional.
func (r record) full() []process {
	var full []process
	for _, e := range r.Members {
		if !e.Provisional {
			full = append(full, e.process())
		}
	}
	return full
}

// put adds a member or replaces its entry.
func (r *record) put(e memberEntry) {
	r.Members = slices.DeleteFunc(r.Members, func(old memberEntry) bool { return old.process() == e.process() })
	r.Members = append(r.Members, e)
	slices.SortFunc(r.Members, func(a, b memberEntry) int { return compareProcesses(a.process(), b.process()) })
}

// remove removes a member that no longer acts for any shard, and leaves its shards
// without an owner.
func (r *record) remove(p process) {
	r.Members = slices.DeleteFunc(r.Members, func(e memberEntry) bool { return e.process() == p })
	for i := range r.Shards {
		s := &r.Shards[i]
		s.PriorOwners = slices.DeleteFunc(s.PriorOwners, func(prior process) bool { return prior == p })
		if s.Owner == p {
			s.Owner = process{}
			s.HandedOver = false
		}
	}
}

// assign assigns a shard to an owner with a new fence.
func (r *record) assign(shard Shard, owner process, handedOver bool) {
	r.Fence++
	s := &r.Shards[shard]
	s.Owner = owner
	s.Fence = r.Fence
	s.HandedOver = handedOver
}

func (r record) load(p process) int {
	n := 0
	for _, s := range r.Shards {
		if s.Owner == p {
			n++
		}
	}
	return n
}

func (r record) owned(p process) []Shard {
	var owned []Shard
	for i, s := range r.Shards {
		if s.Owner == p {
			owned = append(owned, Shard(i))
		}
	}
	return owned
}

func (r record) members() []fleet.Member {
	members := make([]fleet.Member, 0, len(r.Members))
	for _, e := range r.Members {
		members = append(members, e.Member)
	}
	slices.SortFunc(members, func(a, b fleet.Member) int { return cmp.Compare(a.Host, b.Host) })
	return members
}

type wireRecord struct {
	Domain  fleet.DomainID `json:"domain"`
	Fence   target.Fence   `json:"fence"`
	Members []wireMember   `json:"members"`
	Shards  []wireShard    `json:"shards"`
}

type wireMember struct {
	Host        fleet.HostID      `json:"host"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	PeerAddress string            `json:"peer-address"`
	State       string            `json:"state"`
	Provisional bool              `json:"provisional,omitempty"`
}

type wireShard struct {
	Owner       process      `json:"owner"`
	Fence       target.Fence `json:"fence"`
	HandedOver  bool         `json:"handed-over"`
	PriorOwners []process    `json:"unreleased,omitempty"`
}

// The states of a member in the record.
const (
	stateActive  = "active"
	stateLeaving = "leaving"
)

func (r record) encode(domain fleet.DomainID) ([]byte, error) {
	wire := wireRecord{Domain: domain, Fence: r.Fence}
	for _, e := range r.Members {
		state := stateActive
		if e.Leaving {
			state = stateLeaving
		}
		wire.Members = append(wire.Members, wireMember{e.Host, e.Incarnation, e.PeerAddress, state, e.Provisional})
	}
	for _, s := range r.Shards {
		wire.Shards = append(wire.Shards, wireShard(s))
	}
	value, err := json.Marshal(wire)
	return value, trace.Wrap(err)
}

func decodeRecord(value []byte, revision keyvalue.Revision) (fleet.DomainID, record, error) {
	var wire wireRecord
	if err := json.Unmarshal(value, &wire); err != nil {
		return "", record{}, trace.Wrap(err)
	}
	if len(wire.Shards) != Shards {
		return "", record{}, trace.BadParameter("record of domain %q has %d shards, not %d", wire.Domain, len(wire.Shards), Shards)
	}
	r := record{Revision: revision, Fence: wire.Fence}
	for _, e := range wire.Members {
		m := fleet.Member{Host: e.Host, Domain: wire.Domain, Incarnation: e.Incarnation, PeerAddress: e.PeerAddress}
		r.put(memberEntry{Member: m, Leaving: e.State == stateLeaving, Provisional: e.Provisional})
	}
	for i, s := range wire.Shards {
		r.Shards[i] = shardEntry(s)
	}
	return wire.Domain, r, nil
}
