package member

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hawthornway/fleet"
)

// process identifies one run of a host's process. Promises and proofs of death
// apply to processes, not to hosts.
type process struct {
	Host        fleet.HostID      `json:"host" cbor:"host"`
	Incarnation fleet.Incarnation `json:"incarnation" cbor:"incarnation"`
}

func processOf(m fleet.Member) process {
	return process{Host: m.Host, Incarnation: m.Incarnation}
}

// String returns the process as "host#incarnation".
func (p process) String() string { return fmt.Sprintf("%s#%d", p.Host, p.Incarnation) }

func (p process) isZero() bool { return p == process{} }

func compareProcesses(a, b process) int {
	if c := cmp.Compare(a.Host, b.Host); c != 0 {
		return c
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}

// rank orders processes by rendezvous hashing on a key, best first.
func rank(key string, processes []process) []process {
	ranked := slices.Clone(processes)
	slices.SortFunc(ranked, func(a, b process) int {
		if c := cmp.Compare(score(key, b), score(key, a)); c != 0 {
			return c
		}
		return compareProcesses(a, b)
	})
	return ranked
}

func score(key string, p process) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(p.Host))
}
