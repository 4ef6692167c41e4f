package member

import "time"

// Settings are the timeouts of membership. The zero value of a field stands for
// its default.
type Settings struct {
	// PromiseTTL is how long a lease promise binds the host that made it. Default
	// 6 s.
	PromiseTTL time.Duration
	// OrderMargin is the time before the end of a promise at which its receiver
	// stops relying on it, so that orders in flight arrive before the promise
	// expires. Default 1 s.
	OrderMargin time.Duration
	// SilenceTimeout is the time without a heartbeat after which a member gets no
	// promises. Default 3 s.
	SilenceTimeout time.Duration
	// HostListLag is the time after which a member that is missing from the
	// platform's host list is considered dead. Default 60 s. If it is negative,
	// absence proves nothing.
	HostListLag time.Duration
	// ReleaseTimeout is the longest wait for the orders of a shard to be answered
	// before it is handed over. Default 10 s.
	ReleaseTimeout time.Duration
}

// The defaults of Settings, and the timeouts that aren't configurable.
const (
	defaultPromiseTTL     = 6 * time.Second
	defaultOrderMargin    = time.Second
	defaultSilenceTimeout = 3 * time.Second
	defaultHostListLag    = time.Minute
	defaultReleaseTimeout = 10 * time.Second

	tickInterval      = 500 * time.Millisecond
	heartbeatInterval = time.Second
	// maxAckAge is the age of the last heartbeat acknowledged by a peer at which the
	// peer stops counting as live.
	maxAckAge = 5 * time.Second
	// removalRankDelay is the delay between members that may remove another one,
	// so that only the first of them does.
	removalRankDelay = 2 * time.Second
	// minorityRemovalDelay is the extra delay in a minority partition.
	minorityRemovalDelay = 4 * time.Second
	// sponsorSearchTimeout is how long a starting host looks for a sponsor before
	// it may add itself.
	sponsorSearchTimeout = 6 * time.Second
	// fencedTakeoverDelay is how long a provisional member waits for others to
	// become live before it takes over shards for targets that check fences.
	fencedTakeoverDelay = 10 * time.Second
	// minSelfJoinDelay and maxSelfJoinDelay limit the delay after which a removed
	// host may add itself again.
	minSelfJoinDelay = time.Minute
	maxSelfJoinDelay = 30 * time.Minute
	// joinRequestTTL is how long a sponsor keeps a join request.
	joinRequestTTL = 5 * time.Second
	// silentPeerTTL is how long the state of a silent peer that isn't a member is
	// kept.
	silentPeerTTL = time.Minute
	// minReadInterval is the shortest time between reads of a record that is needed
	// urgently, and slowReadInterval between other reads.
	minReadInterval  = time.Second
	slowReadInterval = 10 * time.Second
	// handoverRetryDelay is the delay before the handover of a shard is tried again
	// after its orders were not answered in time.
	handoverRetryDelay = 2 * time.Minute
	// maxWriteRetryDelay limits the delay before a failed write is tried again.
	maxWriteRetryDelay = time.Second
)

func (s Settings) withDefaults() Settings {
	defaults := []struct {
		field *time.Duration
		value time.Duration
	}{
		{&s.PromiseTTL, defaultPromiseTTL},
		{&s.OrderMargin, defaultOrderMargin},
		{&s.SilenceTimeout, defaultSilenceTimeout},
		{&s.HostListLag, defaultHostListLag},
		{&s.ReleaseTimeout, defaultReleaseTimeout},
	}
	for _, d := range defaults {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return s
}

// disabledMechanisms selects safety mechanisms to disable, for tests that show that
// each of them is needed. In production all of them are enabled.
type disabledMechanisms struct {
	// If promiseCheck is set, a host acts without promises.
	promiseCheck bool
	// If removalWait is set, a silent member is removed before the promise to it has
	// expired.
	removalWait bool
	// If joinWait is set, a new member takes shards immediately, even those of members
	// from which it never received a heartbeat.
	joinWait bool
	// If revisionCheck is set, a host acts although a heartbeat announces a newer
	// record.
	revisionCheck bool
	// If wallClock is set, promises are timed by the monotonic clock only.
	wallClock bool
	// If unresolvedCheck is set, writes with an unknown result are ignored.
	unresolvedCheck bool
	// If priorOwnerCheck is set, a host acts although a prior owner may still act.
	priorOwnerCheck bool
	// If provisionalState is set, a host that added itself takes shards like a full
	// member.
	provisionalState bool
}
