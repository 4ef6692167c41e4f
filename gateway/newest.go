package gateway

import (
	"sync/atomic"
	"time"

	"hawthornway/boottime"
	"hawthornway/catalog"
	"hawthornway/coordinator"
	"hawthornway/keyvalue"
	"hawthornway/platform"
)

// newestConfig is what other hosts have told of the newest configuration. The store may
// have an older one after it has returned from an older copy of itself, perhaps with keys
// that were withdrawn, until the operator writes the newest again.
type newestConfig struct {
	version atomic.Int64
	// namedAt is when the coordinator last named its version.
	namedAt atomic.Int64
	// era is the store's era when this host's configuration was last confirmed.
	era atomic.Int64
	// recorded is the store's own record of a confirmed version, and unrecorded the one
	// that the coordinator has yet to write there.
	recorded   atomic.Pointer[platform.ConfirmedConfig]
	unrecorded chan platform.ConfirmedConfig
}

func newNewestConfig() *newestConfig {
	n := &newestConfig{unrecorded: make(chan platform.ConfirmedConfig, 1)}
	n.recorded.Store(&platform.ConfirmedConfig{})
	return n
}

// learn records that a version exists.
func (n *newestConfig) learn(version catalog.Version) { raise(&n.version, int64(version)) }

// raise sets a value unless it is higher already.
func raise(value *atomic.Int64, to int64) {
	for {
		known := value.Load()
		if to <= known || value.CompareAndSwap(known, to) {
			return
		}
	}
}

func (n *newestConfig) get() catalog.Version { return catalog.Version(n.version.Load()) }

// named records that the coordinator has named its version.
func (n *newestConfig) named(at boottime.Instant) { n.namedAt.Store(int64(at)) }

// namedWithin reports whether the coordinator has named its version within a time.
func (n *newestConfig) namedWithin(now boottime.Instant, recent time.Duration) bool {
	at := n.namedAt.Load()
	return at != 0 && now.Sub(boottime.Instant(at)) < recent
}

// trustEra records that the configuration was confirmed in an era of the store.
func (n *newestConfig) trustEra(era keyvalue.Era) { raise(&n.era, int64(era)) }

// restoredSince reports whether the store has returned from an older copy since its
// configuration was last confirmed. A process that has just started can't know that, and
// takes any return for a recent one.
func (n *newestConfig) restoredSince(era keyvalue.Era) bool { return int64(era) > n.era.Load() }

// record lets the coordinator's confirmation be written to the store, unless the store has
// one of its era. One for each era is enough: within an era, the store doesn't go back.
func (n *newestConfig) record(c platform.ConfirmedConfig) {
	if c.Era == 0 || n.recorded.Load().Era == c.Era {
		return
	}
	select {
	case n.unrecorded <- c:
	default: // it is being written
	}
}

// storeReading is what a host knows when it has read the configuration from the store.
type storeReading struct {
	version, newest catalog.Version
	// restored is set if the store has returned from an older copy since this host last
	// confirmed its configuration, and fresh while that confirmation is recent.
	restored, fresh bool
	firstStart      bool
	// recorded is set if the store says itself that the version is the newest.
	recorded bool
	// leads is set if this host is the coordinator, for termAge.
	leads   bool
	termAge time.Duration
	// named is set if the coordinator has named its version recently, and isolated if
	// this host should have found a coordinator by now and hasn't.
	named, isolated bool
}

// isNewest reports whether the store's configuration may be taken for the newest. A host
// whose own is too old to tell, or that has just started, learns of a newer one from the
// coordinator, and the coordinator from the other hosts' reports. A host that reaches
// neither has to take the store's.
func (r storeReading) isNewest() bool {
	switch {
	case r.version < r.newest:
		return false
	case r.fresh || !r.restored || r.firstStart || r.recorded:
		return true
	case r.leads:
		return r.termAge >= coordinator.ReportTime
	default:
		return r.named || r.isolated
	}
}
