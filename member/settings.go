package member

import "time"

// Settings are the times of membership. The zero value of a field stands for
// its default.
type Settings struct {
	// PledgeTime is how long a pledge binds its giver. Default 6 s.
	PledgeTime time.Duration
	// OrderMargin is the part of a pledge that its holder doesn't use, so that
	// an order in flight arrives before the pledge runs out. Default 1 s.
	OrderMargin time.Duration
	// SilenceTime is the silence after which a member gets no pledges. Default
	// 3 s.
	SilenceTime time.Duration
	// HostListLag is the time after which a member that is missing from the
	// platform's host list is taken for dead. Default 60 s. Negative says that
	// absence proves nothing.
	HostListLag time.Duration
	// ReleaseTime bounds the wait for the orders of a shard before it is handed
	// over. Default 10 s.
	ReleaseTime time.Duration
}

// The defaults of Settings, and the times that aren't settings.
const (
	defaultPledgeTime  = 6 * time.Second
	defaultOrderMargin = time.Second
	defaultSilenceTime = 3 * time.Second
	defaultHostListLag = time.Minute
	defaultReleaseTime = 10 * time.Second

	tickEvery      = 500 * time.Millisecond
	heartbeatEvery = time.Second
	// ackTime bounds the age of the last heartbeat of this host that a peer
	// has acknowledged, while both hear each other.
	ackTime = 5 * time.Second
	// rankWait spaces the members that may remove another, so that one does.
	rankWait = 2 * time.Second
	// minorityWait is the extra wait of members that hear fewer than half.
	minorityWait = 4 * time.Second
	// aloneWait is how long a starting host looks for a sponsor.
	aloneWait = 6 * time.Second
	// softTakeWait is how long a provisional member waits for the others to
	// show themselves before it takes shards for targets that check fences.
	softTakeWait = 10 * time.Second
	// The wait of a host that was removed before it may add itself again.
	minSelfAddWait = time.Minute
	maxSelfAddWait = 30 * time.Minute
	// joinRequestTime is how long a sponsor keeps a request to join.
	joinRequestTime = 5 * time.Second
	// peerMemory is how long a silent peer that isn't a member is remembered.
	peerMemory = time.Minute
	// readWait spaces reads of the record that this host needs at once.
	readWait     = time.Second
	slowReadWait = 10 * time.Second
	// giveAgainWait is the wait before a shard whose orders were not answered
	// in time is offered again.
	giveAgainWait = 2 * time.Minute
	// retryWait spaces writes after one failed.
	retryWait = time.Second
)

func (s Settings) withDefaults() Settings {
	defaults := []struct {
		field *time.Duration
		value time.Duration
	}{
		{&s.PledgeTime, defaultPledgeTime},
		{&s.OrderMargin, defaultOrderMargin},
		{&s.SilenceTime, defaultSilenceTime},
		{&s.HostListLag, defaultHostListLag},
		{&s.ReleaseTime, defaultReleaseTime},
	}
	for _, d := range defaults {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return s
}

// checks switches single mechanisms off, for tests that show that each one is
// needed. All are off in service.
type checks struct {
	// noPledgeCheck acts without pledges.
	noPledgeCheck bool
	// noRemovalWait removes a silent member before the pledge to it ran out.
	noRemovalWait bool
	// noJoinWait lets a new member take shards at once, also of members that it
	// never heard.
	noJoinWait bool
	// noRevisionCheck goes on though a pledge tells of a later record.
	noRevisionCheck bool
	// noWallClock trusts the monotonic clock alone.
	noWallClock bool
	// noUnresolvedCheck forgets a write whose answer was lost.
	noUnresolvedCheck bool
	// noUnreleasedCheck acts though an owner before may still act.
	noUnreleasedCheck bool
	// noProvisional lets a host that added itself take shards like others.
	noProvisional bool
}
