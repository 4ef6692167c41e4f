package gateway

import (
	"sync/atomic"
	"time"

	"hawthornway/boottime"
	"hawthornway/platform"
	"hawthornway/roster"
)

// freshness tracks whether the configuration was confirmed recently enough.
type freshness struct {
	clock       boottime.Clock
	maxAgeNanos atomic.Int64
	confirmedAt atomic.Int64
}

func (f *freshness) setMaxAge(maxAge time.Duration) { f.maxAgeNanos.Store(int64(maxAge)) }

// maxAge returns the age from which the configuration is no longer trusted.
func (f *freshness) maxAge() time.Duration { return time.Duration(f.maxAgeNanos.Load()) }

// confirm records that the configuration was current at an instant.
func (f *freshness) confirm(at boottime.Instant) { raise(&f.confirmedAt, int64(at)) }

// age returns the time since the last confirmation.
func (f *freshness) age() time.Duration {
	return f.clock.Now().Sub(boottime.Instant(f.confirmedAt.Load()))
}

// confirmed reports whether there was a confirmation.
func (f *freshness) confirmed() bool { return f.confirmedAt.Load() != 0 }

// current reports whether the last confirmation is recent enough.
func (f *freshness) current() bool {
	at := f.confirmedAt.Load()
	return at != 0 && f.clock.Now().Sub(boottime.Instant(at)) < f.maxAge()
}

// serviceVersions are the versions of the targets in service, for a lineage.Book.
type serviceVersions struct {
	*roster.Roster
	// age returns the time since the targets were last known to be complete, and maxAge the
	// age that it has at most while the store is followed, mostly.
	age, maxAge func() time.Duration
}

// Complete implements lineage.Versions.
func (v serviceVersions) Complete() bool { return v.age() <= v.maxAge() }

// relayedStateAge returns the age that the relayed state of the store mostly has at most.
func (g *gateway) relayedStateAge() time.Duration {
	return platform.WatchWait(g.settings.Bounds.MaxWithdrawalDelay) + g.coordinatorClient.ReportInterval()
}
