package pace

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Scheduler gives out places in the lines of targets to all hosts. It fails while it can't
// be reached.
type Scheduler interface {
	// Reserve gets a place in the line of one of the targets. A Held one takes room at the
	// target for hold, unless it is released before.
	Reserve(ctx context.Context, statements []Statement, maxWait, hold time.Duration) (Grant, error)
	// Release gives back room at a target, which has turned the request away or not. It
	// returns at once; room that isn't given back is free after its time.
	Release(key Key, turnedAway bool)
}

const (
	// reserveTimeout limits a call to the scheduler, which takes a few milliseconds.
	reserveTimeout = 300 * time.Millisecond
	// retryDelay is the time after a failed call until the scheduler is asked again.
	retryDelay = 500 * time.Millisecond
	// askIntervalPerHost is the interval, for each host of the fleet, at which a host sends a
	// target with a limit a request that could go elsewhere, since only the target's answers
	// tell when its limit changes.
	askIntervalPerHost = 250 * time.Millisecond
	// ownShare is the fraction of its part of a limit that a host uses while the scheduler
	// can't be reached, since the scheduler may not know yet and give out all of the limit.
	ownShare = 1.0 / 3
	// maxOwnWait is how far ahead a host gives out its own places. They overlap with the
	// scheduler's once that is back.
	maxOwnWait = 300 * time.Millisecond
	// unusedTTL is how long after its time a place may be used that its request didn't need.
	unusedTTL = time.Second
	// A host asks again for room at a target that had none after fullRestPerHost for each
	// host of the fleet, so that the scheduler bears all of them, and minFullRest at least.
	fullRestPerHost = 2 * time.Millisecond
	minFullRest     = 20 * time.Millisecond
)

// Reservation is a place in the line of a target.
type Reservation struct {
	Key Key
	// At is the time from which the request may be sent.
	At time.Time
	// Held is set if the reservation has to be released. The room is this host's own part
	// if own is set.
	Held, own bool
	// warm is set if the place begins when the target is warm.
	warm bool
}

// Pacer gets the places that the requests of one host need. It is safe for concurrent use.
type Pacer struct {
	limits    *Limits
	scheduler Scheduler
	// hosts returns the number of hosts of the fleet, or zero if it is unknown.
	hosts  func() int
	clock  clockwork.Clock
	log    *slog.Logger
	random func() float64

	mu sync.Mutex
	// own is this host's part of the lines while the scheduler can't be reached, or nil.
	own     *Schedule
	retryAt time.Time
	// unused are places that requests gave back.
	unused []Reservation
	// full holds, for targets whose line was too long, the time of their next place.
	full map[Key]fullLine
	// fullUntil holds until when targets without room aren't asked for some.
	fullUntil map[Key]time.Time
	// askedAt is when targets were last asked by requests that could go elsewhere.
	askedAt map[Key]time.Time
}

// fullLine is a line that had no place in time, while the target stated a rate.
type fullLine struct {
	rate Rate
	next time.Time
}

// PacerOption sets an option of a Pacer.
type PacerOption func(*Pacer)

// WithRandom sets the source of random numbers, which are at least 0 and below 1.
func WithRandom(random func() float64) PacerOption { return func(p *Pacer) { p.random = random } }

// NewPacer returns a Pacer.
func NewPacer(limits *Limits, scheduler Scheduler, hosts func() int, clock clockwork.Clock, log *slog.Logger, opts ...PacerOption) *Pacer {
	p := &Pacer{limits: limits, scheduler: scheduler, hosts: hosts, clock: clock, log: log, random: rand.Float64, full: map[Key]fullLine{}, fullUntil: map[Key]time.Time{}, askedAt: map[Key]time.Time{}}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Reserve gets a place in the line of one of the targets, no later than maxWait from now.
// If there is none, it returns the time until there is one, or zero if nobody knows, since
// the targets have no room. A target that has lost its limit meanwhile has a place at once.
// Hold is how long the request may take room at the target.
func (p *Pacer) Reserve(ctx context.Context, targets []Key, maxWait, hold time.Duration) (Reservation, time.Duration, bool) {
	now := p.clock.Now()
	statements := p.limits.Statements(targets)
	if len(statements) < len(targets) {
		for _, key := range targets {
			if _, limited := p.limits.Limit(key); !limited {
				return Reservation{Key: key, At: now}, 0, true
			}
		}
	}
	if r, ok := p.takeUnused(targets, now, maxWait); ok {
		return r, 0, true
	}
	if wait, full := p.knownFull(statements, now, maxWait); full {
		return Reservation{}, wait, false
	}
	if p.knownWithoutRoom(statements, now) {
		return Reservation{}, 0, false
	}
	grant, own := p.ask(ctx, statements, maxWait, hold)
	switch {
	case grant.Full:
		return Reservation{}, 0, false
	case grant.Refused:
		return Reservation{}, grant.Wait, false
	}
	return Reservation{Key: grant.Key, At: p.clock.Now().Add(grant.Wait), Held: grant.Held, own: own, warm: grant.Warm}, 0, true
}

// Valid reports whether a place may still be used. One for the time when its target is warm may
// not if the target has turned cold again meanwhile.
func (p *Pacer) Valid(r Reservation) bool {
	if !r.warm {
		return true
	}
	s, limited := p.limits.Limit(r.Key)
	return !limited || s.Cold.Until == 0
}

// knownWithoutRoom reports whether none of the targets had room a moment ago.
func (p *Pacer) knownWithoutRoom(statements []Statement, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range statements {
		if !now.Before(p.fullUntil[s.Key]) {
			return false
		}
	}
	return len(statements) > 0
}

// FullRest returns the time after which this host asks again for room at a target that had
// none.
func (p *Pacer) FullRest() time.Duration {
	return max(minFullRest, time.Duration(p.hosts())*fullRestPerHost)
}

// recordWithoutRoom records that none of the targets has room. The caller holds the lock.
func (p *Pacer) recordWithoutRoom(statements []Statement) {
	now := p.clock.Now()
	maps.DeleteFunc(p.fullUntil, func(_ Key, until time.Time) bool { return !now.Before(until) })
	for _, s := range statements {
		p.fullUntil[s.Key] = now.Add(p.FullRest())
	}
}

// Release gives back the room of a reservation, if it has any. The target has turned the
// request away or not.
func (p *Pacer) Release(r Reservation, turnedAway bool) {
	if !r.Held {
		return
	}
	if !r.own {
		p.scheduler.Release(r.Key, turnedAway)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.own != nil {
		p.own.Release(r.Key, turnedAway)
	}
}

// ReserveToAsk gets a place at once in the line of one of the targets that this host hasn't
// asked for some time, for a request that could go elsewhere.
func (p *Pacer) ReserveToAsk(ctx context.Context, targets []Key, hold time.Duration) (Reservation, bool) {
	key, ok := p.dueToAsk(targets)
	if !ok {
		return Reservation{}, false
	}
	r, _, ok := p.Reserve(ctx, []Key{key}, 0, hold)
	return r, ok
}

// dueToAsk returns the first of the targets that is due to be asked, and counts it as asked.
func (p *Pacer) dueToAsk(targets []Key) (Key, bool) {
	interval := time.Duration(max(1, p.hosts())) * askIntervalPerHost
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, key := range targets {
		if now.Sub(p.askedAt[key]) < interval {
			continue
		}
		maps.DeleteFunc(p.askedAt, func(_ Key, at time.Time) bool { return now.Sub(at) >= interval })
		p.askedAt[key] = now
		return key, true
	}
	return Key{}, false
}

// GiveBack makes a place available to other requests of this host.
func (p *Pacer) GiveBack(r Reservation) {
	if r.Held {
		p.Release(r, false)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.unused = slices.DeleteFunc(p.unused, func(old Reservation) bool { return now.Sub(old.At) > unusedTTL })
	p.unused = append(p.unused, r)
}

func (p *Pacer) takeUnused(targets []Key, now time.Time, maxWait time.Duration) (Reservation, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.unused, func(r Reservation) bool {
		return now.Sub(r.At) <= unusedTTL && r.At.Sub(now) <= maxWait && slices.Contains(targets, r.Key) && (r.At.After(now) || p.Valid(r))
	})
	if i < 0 {
		return Reservation{}, false
	}
	r := p.unused[i]
	p.unused = slices.Delete(p.unused, i, i+1)
	return r, true
}

// knownFull reports whether all lines are known to have no place in time, and the time
// until the first place.
func (p *Pacer) knownFull(statements []Statement, now time.Time, maxWait time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var soonest time.Duration
	for i, s := range statements {
		f, ok := p.full[s.Key]
		wait := f.next.Sub(now)
		if !ok || f.rate != s.Rate || wait <= maxWait {
			return 0, false
		}
		if i == 0 || wait < soonest {
			soonest = wait
		}
	}
	return soonest, true
}

// recordFull records when the scheduler expects the next place in the lines. The caller holds
// the lock.
func (p *Pacer) recordFull(statements []Statement, next time.Time) {
	now := p.clock.Now()
	for key, f := range p.full {
		if f.next.Before(now) {
			delete(p.full, key)
		}
	}
	for _, s := range statements {
		p.full[s.Key] = fullLine{rate: s.Rate, next: next}
	}
}

// ask asks the scheduler for a place, or this host's own part of the lines if the scheduler
// can't be reached.
func (p *Pacer) ask(ctx context.Context, statements []Statement, maxWait, hold time.Duration) (grant Grant, own bool) {
	p.mu.Lock()
	lost := p.clock.Now().Before(p.retryAt)
	p.mu.Unlock()
	if !lost {
		callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
		defer cancel()
		grant, err := p.scheduler.Reserve(callCtx, statements, maxWait, hold)
		p.mu.Lock()
		defer p.mu.Unlock()
		if err == nil {
			p.own, p.retryAt = nil, time.Time{}
			switch {
			case grant.Full:
				p.recordWithoutRoom(statements)
			case grant.Refused:
				p.recordFull(statements, p.clock.Now().Add(grant.Wait))
			}
			return grant, false
		}
		if ctx.Err() != nil {
			// The caller has left, which says nothing about the scheduler.
			return Grant{Refused: true, Wait: retryDelay}, false
		}
		if p.own == nil {
			p.log.Warn("pace: places in the lines of targets can't be had; keeping to this host's part of their limits", "hosts", p.hosts(), "error", err)
			// At random, so that not all hosts send at the same time.
			p.own = NewSchedule(p.clock.Now(), p.random)
		}
		p.retryAt = p.clock.Now().Add(retryDelay)
		return p.reserveOwn(statements, maxWait, hold), true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reserveOwn(statements, maxWait, hold), true
}

func (p *Pacer) reserveOwn(statements []Statement, maxWait, hold time.Duration) Grant {
	hosts := p.hosts()
	if hosts == 0 || p.own == nil {
		// Another host is likely to know more.
		return Grant{Refused: true, Wait: max(retryDelay, maxWait)}
	}
	var candidates []Candidate
	for _, s := range statements {
		room := int(float64(s.Room) * ownShare / float64(hosts))
		if s.Room > 0 && room == 0 {
			continue // this host's part is less than one request
		}
		candidates = append(candidates, Candidate{Key: s.Key, Rate: s.Rate * ownShare / Rate(hosts), Room: room, WarmIn: s.WarmIn(p.limits.clock.Now())})
	}
	if len(candidates) == 0 {
		return Grant{Refused: true, Wait: max(retryDelay, maxWait)}
	}
	return p.own.Reserve(p.clock.Now(), candidates, min(maxWait, maxOwnWait), hold)
}
