// Package quota keeps each team within its rate and burst over all hosts together.
// One host, the coordinator, runs a ledger that lends tokens to the token caches of the
// others. A host that can't reach the ledger spends from a reserve: a part of each
// team's rate that the ledger does not lend while hosts may be cut off.
package quota

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/catalog"
	"hawthornway/fleet"
	"hawthornway/team"
)

// TotalReserveShare is the fraction of each team's rate that hosts without a ledger may
// spend. The ledger divides it among hosts by their recent borrowing, and withholds
// the part of each host that is silent.
const TotalReserveShare = 0.6

// evenReserveShare is the fraction of the reserve that is divided evenly, for hosts that
// get callers only after others have failed.
const evenReserveShare = 0.3

// usageWindow is the time constant over which the tokens that a host borrows are counted.
const usageWindow = 5 * time.Second

// HostTTL is how long a silent host still counts. After it, a host counts as taken out
// of service.
const HostTTL = 30 * time.Second

// silentHostDelay is the time without a report after which a host counts as silent and
// may be spending its reserve. Hosts report about twice a second.
const silentHostDelay = 1500 * time.Millisecond

// unseenHostFactor is the reserve that a host is assumed to have while this ledger has not
// assigned it one, as a multiple of the average host's.
const unseenHostFactor = 2.0

// Ledger lends the tokens of all teams. It is safe for concurrent use.
type Ledger struct {
	clock        clockwork.Clock
	limits       func(team.ID) (catalog.Limit, bool)
	initialLevel func(catalog.Limit) team.Tokens
	// first is set if there was no ledger before.
	first bool
	// tolerance limits what hosts may cache; a window of zero means no limit.
	tolerance Tolerance

	startedAt time.Time
	mu        sync.Mutex
	buckets   map[team.ID]*bucket
	// hosts holds the time of the last report of each host, and told the parts of reserves that
	// hosts had when they first reported to this ledger.
	hosts map[fleet.HostID]time.Time
	told  map[fleet.HostID]map[team.ID]float64
	// previousHosts is the number of hosts that the previous ledger knew.
	previousHosts int
}

type bucket struct {
	level     float64
	updatedAt time.Time
	// queueEnd is when the requests that wait for tokens will all have theirs.
	queueEnd time.Time
	// used counts what each host recently borrowed, and assignedShare is the fraction
	// of the team's rate that the host was last allowed to spend from its reserve.
	used          map[fleet.HostID]float64
	assignedShare map[fleet.HostID]float64
	// formerShare holds the fraction of the team's rate that hosts may spend from reserves that
	// former ledgers assigned, as the hosts told.
	formerShare map[fleet.HostID]float64
	// withheld counts the tokens that weren't lent because a host was silent, and
	// withheldForUnseen those for hosts that have not reported to this ledger yet.
	withheld          map[fleet.HostID]float64
	withheldForUnseen float64
}

func newBucket(now time.Time, level team.Tokens) *bucket {
	return &bucket{
		level:         float64(level),
		updatedAt:     now,
		formerShare:   map[fleet.HostID]float64{},
		used:          map[fleet.HostID]float64{},
		assignedShare: map[fleet.HostID]float64{},
		withheld:      map[fleet.HostID]float64{},
	}
}

// hostShare returns the fraction of the reserve that a host needs, by its recent borrowing.
func (b *bucket) hostShare(host fleet.HostID, hosts int) float64 {
	sum := 0.0
	for _, used := range b.used {
		sum += used
	}
	even := 1 / float64(max(1, hosts))
	if sum <= 0 {
		return even
	}
	return evenReserveShare*even + (1-evenReserveShare)*b.used[host]/sum
}

// assignReserve assigns a part of the reserve to a host that holds another one, and returns it
// as a fraction of the team's rate. A host keeps its part while it is cut off, so the host that
// borrows gets no more than the others leave. Until its next request shows that it got the
// answer, it may have either part.
func (l *Ledger) assignReserve(b *bucket, host fleet.HostID, held, wanted float64, now time.Time) float64 {
	left := TotalReserveShare - l.formerShare(b, host, now)
	for other, share := range b.assignedShare {
		if _, counts := l.hosts[other]; counts && other != host {
			left -= share
		}
	}
	share := max(0, min(wanted, left))
	b.assignedShare[host] = max(share, held)
	return share
}

// formerShare returns the fraction of a team's rate that hosts other than the given one may
// spend from reserves that former ledgers assigned. Until all hosts have told their parts, it
// includes what none has told.
func (l *Ledger) formerShare(b *bucket, host fleet.HostID, now time.Time) float64 {
	if l.first || now.Sub(l.startedAt) > HostTTL {
		return 0
	}
	told, held := 0.0, 0.0
	for other, share := range b.formerShare {
		told += share
		if _, assigned := b.assignedShare[other]; !assigned && other != host {
			held += share
		}
	}
	if l.previousHosts == 0 || len(l.told) < l.previousHosts {
		held += max(0, TotalReserveShare-told)
	}
	return held
}

// heldShare returns the fraction of a team's rate that a host may spend from its reserve as it
// sends a request. Hosts of older builds don't tell it, and count with an even part at first.
func (l *Ledger) heldShare(b *bucket, host fleet.HostID, request BorrowRequest) float64 {
	if request.ReserveShare != nil {
		return *request.ReserveShare
	}
	if _, assigned := b.assignedShare[host]; assigned || l.first {
		return 0
	}
	return TotalReserveShare / float64(max(1, l.previousHosts))
}

// LedgerOption sets an option of a Ledger.
type LedgerOption func(*Ledger)

// WithFullBuckets makes the ledger start with each team's whole burst. It is safe only
// if nothing has been spent before.
func WithFullBuckets() LedgerOption {
	return func(l *Ledger) {
		l.initialLevel = func(limit catalog.Limit) team.Tokens { return limit.Burst }
		l.first = true
	}
}

// WithTolerance limits what hosts may cache, and makes the ledger start with a part of
// the tolerance and with what has accrued since the previous ledger ended. Without it,
// the ledger starts empty, since the previous one may have lent everything.
func WithTolerance(t Tolerance, since time.Duration) LedgerOption {
	return func(l *Ledger) {
		l.tolerance = t
		l.initialLevel = func(limit catalog.Limit) team.Tokens { return t.initialLevel(limit, since) }
	}
}

// NewLedger returns a new Ledger for the limits in force.
func NewLedger(clock clockwork.Clock, limits func(team.ID) (catalog.Limit, bool), opts ...LedgerOption) *Ledger {
	l := &Ledger{
		clock:        clock,
		limits:       limits,
		initialLevel: func(catalog.Limit) team.Tokens { return 0 },
		startedAt:    clock.Now(),
		buckets:      map[team.ID]*bucket{},
		hosts:        map[fleet.HostID]time.Time{},
		told:         map[fleet.HostID]map[team.ID]float64{},
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// RecordReport records a report of a host, with the number of hosts that the previous
// ledger had announced to it. Shares holds the fractions of rates that the host may spend from
// its reserves, or is nil if the report doesn't tell them.
func (l *Ledger) RecordReport(host fleet.HostID, previousHosts int, shares map[team.ID]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[host] = l.clock.Now()
	l.previousHosts = max(l.previousHosts, previousHosts)
	if _, known := l.told[host]; known || shares == nil {
		return
	}
	l.told[host] = shares
	for id, b := range l.buckets {
		b.tell(host, shares[id])
	}
}

// tell records the part of the reserve that a former ledger assigned to a host, unless it is
// known already.
func (b *bucket) tell(host fleet.HostID, share float64) {
	if _, known := b.formerShare[host]; !known {
		b.formerShare[host] = share
	}
}

// unseenShare returns the fraction of each rate that may be spent by hosts that reached
// the previous ledger and have not reached this one.
func (l *Ledger) unseenShare(now time.Time) float64 {
	if l.previousHosts == 0 || now.Sub(l.startedAt) > HostTTL {
		return 0
	}
	missing := max(0, 1-float64(len(l.hosts))/float64(l.previousHosts))
	return TotalReserveShare * min(1, unseenHostFactor*missing)
}

// Hosts returns the number of hosts that may spend.
func (l *Ledger) Hosts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, _ := l.countHosts(l.clock.Now())
	return known
}

// SilentShare returns the fraction of the known hosts that are silent, and may be spending
// by themselves.
func (l *Ledger) SilentShare() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, silent := l.countHosts(l.clock.Now())
	return float64(len(silent)) / float64(max(1, known))
}

// countHosts returns the number of known hosts, and which of them are silent. It removes
// hosts that have been silent for HostTTL.
func (l *Ledger) countHosts(now time.Time) (known int, silent []fleet.HostID) {
	for host, lastReport := range l.hosts {
		age := now.Sub(lastReport)
		switch {
		case age > HostTTL:
			delete(l.hosts, host)
			continue
		case age > silentHostDelay:
			silent = append(silent, host)
		}
		known++
	}
	return known, silent
}

// Grant is the ledger's answer to a borrow request.
type Grant struct {
	Tokens team.Tokens
	// Wait is the time until the tokens are expected, if they weren't granted.
	Wait time.Duration
	// ReserveShare is the fraction of the team's rate that the host may spend from its
	// reserve while it can't reach the ledger.
	ReserveShare float64
	// ReserveStart is the part of the reserve that the host may spend as soon as it can't
	// reach the ledger, and MaxReserve what it may save up from then on.
	ReserveStart, MaxReserve team.Tokens
	// MaxOverdraft is the length of the longest requests for which the host may overdraw its
	// reserve.
	MaxOverdraft team.Tokens
	// MaxCached is the maximum number of tokens that the host may cache for later requests.
	MaxCached team.Tokens
}

// BorrowRequest is a request to borrow tokens.
type BorrowRequest struct {
	Need team.Tokens
	// MaxWait is how long the request waits for tokens. Queued is set if it has asked
	// before and was told to wait.
	MaxWait time.Duration
	Queued  bool
	// Extra is how many more to grant if the ledger has plenty.
	Extra team.Tokens
	// ReserveSpent is what the host has spent from its reserve since it last reached the
	// ledger.
	ReserveSpent team.Tokens
	// ReserveShare is the fraction of the team's rate that the last grant let the host spend from
	// its reserve. It is nil if a host of an older build doesn't tell.
	ReserveShare *float64
	// Ledgerless is how long the host could reach no ledger until now.
	Ledgerless time.Duration
	// Returned is the number of tokens that the host returns: refunds of requests that did
	// not run, beyond what the host may cache.
	Returned team.Tokens
}

// Borrow lends tokens to a host. It takes from the bucket what the host has spent from
// its reserve beyond what was withheld for it.
func (l *Ledger) Borrow(host fleet.HostID, id team.ID, request BorrowRequest) Grant {
	need, extra := request.Need, request.Extra
	limit, ok := l.limits(id)
	if !ok {
		return Grant{Tokens: need}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.hosts[host] = now
	b, rate := l.refill(id, limit, now)
	known, _ := l.countHosts(now)
	held := l.heldShare(b, host, request)
	wanted := held
	if _, assigned := b.assignedShare[host]; assigned {
		b.settle(host, request.ReserveSpent)
		wanted = TotalReserveShare * b.hostShare(host, known)
	} else {
		b.tell(host, held)
		l.settleFirst(b, host, request, held*float64(limit.Rate), now)
	}
	share := l.assignReserve(b, host, held, wanted, now)
	fraction := share / TotalReserveShare
	grant := Grant{
		ReserveShare: share,
		ReserveStart: l.tolerance.reserveStart(limit, fraction),
		MaxReserve:   l.tolerance.maxReserve(limit, fraction),
		MaxOverdraft: l.tolerance.maxOverdraft(limit, known),
		MaxCached:    l.tolerance.maxCached(limit, known),
	}
	b.level = min(float64(limit.Burst), b.level+float64(request.Returned))
	extra = min(extra, grant.MaxCached)
	switch {
	case b.level >= float64(need):
		grant.Tokens = need
		if b.level/2 >= float64(need+extra) {
			grant.Tokens += extra
		}
		b.level -= float64(grant.Tokens)
		b.used[host] += float64(grant.Tokens)
	case rate <= 0 || need > limit.Burst:
		grant.Wait = time.Second
	default:
		grant.Wait = b.enqueue(now, request, rate)
	}
	return grant
}

// enqueue returns the time until a request's tokens are expected, behind the requests that
// wait already. One that doesn't wait for so long is refused, and has no place in the
// queue: when it comes back, a request that can still be on time has the same chance.
func (b *bucket) enqueue(now time.Time, request BorrowRequest, rate float64) time.Duration {
	seconds := func(tokens float64) time.Duration { return time.Duration(tokens / rate * float64(time.Second)) }
	wait := seconds(float64(request.Need) - b.level)
	if request.Queued {
		return wait
	}
	turn := seconds(float64(request.Need))
	if b.queueEnd.After(now) {
		wait = max(wait, b.queueEnd.Sub(now)+turn)
	}
	if wait <= request.MaxWait {
		b.queueEnd = now.Add(wait)
	}
	return wait
}

// settle takes from the bucket what a host has spent from its reserve, except for tokens
// that were withheld meanwhile.
func (b *bucket) settle(host fleet.HostID, spent team.Tokens) {
	b.level -= max(0, float64(spent)-b.withheld[host])
	delete(b.withheld, host)
}

// settleFirst settles what a host that reaches this ledger for the first time has spent from
// a reserve that a former ledger assigned. Until this ledger began, the reserve grew by tokens
// that the former one withheld, unless the host had been silent for too short a time, or that
// no ledger lent. Growth is in tokens a second.
func (l *Ledger) settleFirst(b *bucket, host fleet.HostID, request BorrowRequest, growth float64, now time.Time) {
	spent := float64(request.ReserveSpent)
	covered := min(b.withheldForUnseen, max(0, spent-b.withheld[host]))
	b.withheldForUnseen -= covered
	before := request.Ledgerless - now.Sub(l.startedAt) - silentHostDelay
	grown := growth * max(0, before).Seconds()
	b.settle(host, team.Tokens(max(0, spent-covered-grown)))
}

// reserveShare returns the fraction of a team's rate that a silent host may be spending.
// A host that hasn't borrowed from this ledger may still have a share that the previous
// one assigned.
func (l *Ledger) reserveShare(b *bucket, host fleet.HostID) float64 {
	share, assigned := b.assignedShare[host]
	if !assigned && l.previousHosts > 0 {
		return unseenHostFactor * TotalReserveShare / float64(l.previousHosts)
	}
	return share
}

// refill brings a bucket up to date, and returns it with the current rate, which excludes
// what is withheld for silent hosts and for those that have not reported yet.
func (l *Ledger) refill(id team.ID, limit catalog.Limit, now time.Time) (*bucket, float64) {
	b, ok := l.buckets[id]
	if !ok {
		b = newBucket(now, l.initialLevel(limit))
		for host, shares := range l.told {
			b.tell(host, shares[id])
		}
		l.buckets[id] = b
	}
	elapsed := now.Sub(b.updatedAt).Seconds()
	rate := float64(limit.Rate)
	_, silent := l.countHosts(now)
	for _, host := range silent {
		reserve := l.reserveShare(b, host) * float64(limit.Rate)
		b.withheld[host] += reserve * elapsed
		rate -= reserve
	}
	unseen := l.unseenShare(now) * float64(limit.Rate)
	b.withheldForUnseen += unseen * elapsed
	rate = max(0, rate-unseen)
	b.level = min(float64(limit.Burst), b.level+rate*elapsed)
	for host := range b.used {
		b.used[host] *= math.Exp(-elapsed / usageWindow.Seconds())
	}
	b.updatedAt = now
	return b, rate
}
