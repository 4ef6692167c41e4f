package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"hawthornway/boottime"
	"hawthornway/catalog"
	"hawthornway/relay"
)

// changeNoticeTime is how long after a change of the configuration a host may be told of it.
const changeNoticeTime = time.Second

// knownConfigs tracks which configurations newer than this host's this host knows of, and
// since when.
type knownConfigs struct {
	clock boottime.Clock
	// maxPending is how long one may be known before it has to be in force. Zero means no
	// limit.
	maxPending time.Duration

	mu      sync.Mutex
	inForce catalog.Version
	pending []knownConfig
	// oldest is when the first of pending became known, or zero.
	oldest atomic.Int64
}

type knownConfig struct {
	version catalog.Version
	at      boottime.Instant
}

// maxPendingConfig returns how long a host may know of a configuration that isn't in force,
// given the bound for a change to be in force everywhere.
func maxPendingConfig(maxDelay time.Duration) time.Duration {
	return max(maxDelay/2, maxDelay-changeNoticeTime)
}

// learn records that a version exists, and reports whether it is newer than all that were
// known.
func (k *knownConfigs) learn(version catalog.Version) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	newest := k.inForce
	if n := len(k.pending); n > 0 {
		newest = k.pending[n-1].version
	}
	if version <= newest {
		return false
	}
	k.pending = append(k.pending, knownConfig{version, k.clock.Now()})
	k.update()
	return true
}

// apply records that a version is in force, and returns for how long it had been known.
func (k *knownConfigs) apply(version catalog.Version) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.inForce = max(k.inForce, version)
	since := k.clock.Now()
	for len(k.pending) > 0 && k.pending[0].version <= k.inForce {
		since = min(since, k.pending[0].at)
		k.pending = k.pending[1:]
	}
	k.update()
	return k.clock.Now().Sub(since)
}

func (k *knownConfigs) update() {
	if len(k.pending) == 0 {
		k.oldest.Store(0)
		return
	}
	k.oldest.Store(int64(k.pending[0].at))
}

// state compares this host's configuration to the newest one that it knows of.
func (k *knownConfigs) state() relay.ConfigState {
	oldest := k.oldest.Load()
	switch {
	case oldest == 0:
		return relay.ConfigNewest
	case k.maxPending == 0 || k.clock.Now().Sub(boottime.Instant(oldest)) < k.maxPending:
		return relay.ConfigPending
	default:
		return relay.ConfigOverdue
	}
}
