// Package quota keeps each team within its rate and burst over all hosts
// together. One host, the coordinator, keeps a ledger that lends tokens to the
// purses of the others. A host that can't reach the ledger spends a small part
// of each rate that the ledger leaves aside for it.
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

// AsideShare is the part of each team's rate that hosts without a ledger may
// spend. The ledger divides it by what each host borrowed of late, and lends
// that much less for each host that it doesn't hear.
const AsideShare = 0.6

// evenShare is the part of what is left aside that is divided evenly, for hosts
// whose callers come only when others are lost.
const evenShare = 0.3

// useMemory is the time over which the tokens that a host borrows are counted.
const useMemory = 5 * time.Second

// hostMemory is how long a host counts that is no longer heard. A host that was
// taken out of service stops counting after it.
const hostMemory = 30 * time.Second

// hostSilence is the time after which a host that isn't heard may be spending
// what is left aside. Hosts report about twice a second.
const hostSilence = 1500 * time.Millisecond

// unmetTimes is how many times the average host's share of what is left aside a
// host is taken to spend that this ledger hasn't told its share.
const unmetTimes = 2.0

// Ledger lends the tokens of all teams. It may be used concurrently.
type Ledger struct {
	clock  clockwork.Clock
	limits func(team.ID) (catalog.Limit, bool)
	start  func(catalog.Limit) team.Tokens
	// tolerance bounds what hosts may keep; a window of zero stands for no bound.
	tolerance Tolerance

	began   time.Time
	mu      sync.Mutex
	buckets map[team.ID]*bucket
	hosts   map[fleet.HostID]time.Time
	// before is the number of hosts that the last ledger knew.
	before int
}

type bucket struct {
	level float64
	at    time.Time
	// used is what each host borrowed of late, and told the share of what is left
	// aside that it last heard of.
	used map[fleet.HostID]float64
	told map[fleet.HostID]float64
	// withheld is what wasn't lent since a host was silent, and unmet what wasn't
	// for hosts that have not been heard yet.
	withheld map[fleet.HostID]float64
	unmet    float64
}

func newBucket(now time.Time) *bucket {
	return &bucket{
		at:       now,
		used:     map[fleet.HostID]float64{},
		told:     map[fleet.HostID]float64{},
		withheld: map[fleet.HostID]float64{},
	}
}

// share returns the part of what is left aside that a host may spend.
func (b *bucket) share(host fleet.HostID, hosts int) float64 {
	sum := 0.0
	for _, used := range b.used {
		sum += used
	}
	even := 1 / float64(max(1, hosts))
	if sum <= 0 {
		return even
	}
	return evenShare*even + (1-evenShare)*b.used[host]/sum
}

// LedgerOption sets an option of a Ledger.
type LedgerOption func(*Ledger)

// WithFullBuckets makes the ledger start with each team's whole burst, as it may
// if nothing has been spent before.
func WithFullBuckets() LedgerOption {
	return func(l *Ledger) { l.start = func(limit catalog.Limit) team.Tokens { return limit.Burst } }
}

// WithTolerance bounds what hosts may keep, and makes the ledger start with a part of what teams may use beyond
// their limits, and with what came in since the last ledger ended. Otherwise, it
// starts with none, since the last one may have lent all.
func WithTolerance(t Tolerance, since time.Duration) LedgerOption {
	return func(l *Ledger) {
		l.tolerance = t
		l.start = func(limit catalog.Limit) team.Tokens { return t.start(limit, since) }
	}
}

// NewLedger returns a new Ledger for the limits in force.
func NewLedger(clock clockwork.Clock, limits func(team.ID) (catalog.Limit, bool), opts ...LedgerOption) *Ledger {
	l := &Ledger{
		clock:   clock,
		limits:  limits,
		start:   func(catalog.Limit) team.Tokens { return 0 },
		began:   clock.Now(),
		buckets: map[team.ID]*bucket{},
		hosts:   map[fleet.HostID]time.Time{},
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// RecordReport takes note that a host reaches the ledger, and of the number of hosts
// that the last ledger told it of.
func (l *Ledger) RecordReport(host fleet.HostID, before int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[host] = l.clock.Now()
	l.before = max(l.before, before)
}

// unmet returns the part of what is left aside that hosts may be spending which
// reached the last ledger and have not reached this one.
func (l *Ledger) unmet(now time.Time) float64 {
	if l.before == 0 || now.Sub(l.began) > hostMemory {
		return 0
	}
	missing := max(0, 1-float64(len(l.hosts))/float64(l.before))
	return AsideShare * min(1, unmetTimes*missing)
}

// Hosts returns the number of hosts that may spend.
func (l *Ledger) Hosts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, _ := l.count(l.clock.Now())
	return known
}

// count returns the number of hosts that are known, and those that aren't heard.
func (l *Ledger) count(now time.Time) (known int, silent []fleet.HostID) {
	for host, heard := range l.hosts {
		age := now.Sub(heard)
		switch {
		case age > hostMemory:
			delete(l.hosts, host)
			continue
		case age > hostSilence:
			silent = append(silent, host)
		}
		known++
	}
	return known, silent
}

// Grant is the ledger's answer to a request for tokens.
type Grant struct {
	Tokens team.Tokens
	// Wait is the time until the tokens are there, if they weren't granted.
	Wait time.Duration
	// ReserveShare is the part of the team's rate that the host may spend while it
	// doesn't reach the ledger.
	ReserveShare float64
	// MaxCached is the most tokens that the host may keep for later requests.
	MaxCached team.Tokens
}

// BorrowRequest is a request for tokens.
type BorrowRequest struct {
	Need team.Tokens
	// Extra is how much more is welcome if there are plenty.
	Extra team.Tokens
	// ReserveSpent is what the host has spent of what is left aside since it last
	// reached the ledger.
	ReserveSpent team.Tokens
	// Returned is what requests gave back, as they did not run, beyond what the host may
	// keep.
	Returned team.Tokens
}

// Borrow lends tokens to a host. What the host spent while it didn't reach the
// ledger, beyond what was withheld for it, is taken from the bucket.
func (l *Ledger) Borrow(host fleet.HostID, id team.ID, loan BorrowRequest) Grant {
	need, spare := loan.Need, loan.Extra
	limit, ok := l.limits(id)
	if !ok {
		return Grant{Tokens: need}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.hosts[host] = now
	b, rate := l.refill(id, limit, now)
	known, _ := l.count(now)
	lent := Grant{ReserveShare: AsideShare * b.share(host, known), MaxCached: l.tolerance.keep(limit, known)}
	b.settle(host, loan)
	b.level = min(float64(limit.Burst), b.level+float64(loan.Returned))
	spare = min(spare, lent.MaxCached)
	b.told[host] = lent.ReserveShare
	switch {
	case b.level >= float64(need):
		lent.Tokens = need
		if b.level/2 >= float64(need+spare) {
			lent.Tokens += spare
		}
		b.level -= float64(lent.Tokens)
		b.used[host] += float64(lent.Tokens)
	case rate <= 0 || need > limit.Burst:
		lent.Wait = time.Second
	default:
		lent.Wait = time.Duration((float64(need) - b.level) / rate * float64(time.Second))
	}
	return lent
}

// settle takes what a host spent of what is left aside from the bucket, as far as
// it was lent to others meanwhile.
func (b *bucket) settle(host fleet.HostID, loan BorrowRequest) {
	over := max(0, float64(loan.ReserveSpent)-b.withheld[host])
	delete(b.withheld, host)
	if _, met := b.told[host]; !met {
		unmet := min(over, b.unmet)
		b.unmet -= unmet
		over -= unmet
	}
	b.level -= over
}

// shareOf returns the part of a team's rate that a silent host may be spending. A
// host that hasn't borrowed yet may have a share by the last ledger's word.
func (l *Ledger) shareOf(b *bucket, host fleet.HostID) float64 {
	share, told := b.told[host]
	if !told && l.before > 0 {
		return unmetTimes * AsideShare / float64(l.before)
	}
	return share
}

// refill brings a bucket up to now and returns it with the rate in force, which
// leaves out what hosts that aren't heard may spend.
func (l *Ledger) refill(id team.ID, limit catalog.Limit, now time.Time) (*bucket, float64) {
	b, ok := l.buckets[id]
	if !ok {
		b = newBucket(now)
		b.level = float64(l.start(limit))
		l.buckets[id] = b
	}
	elapsed := now.Sub(b.at).Seconds()
	rate := float64(limit.Rate)
	_, silent := l.count(now)
	for _, host := range silent {
		aside := l.shareOf(b, host) * float64(limit.Rate)
		b.withheld[host] += aside * elapsed
		rate -= aside
	}
	unmet := l.unmet(now) * float64(limit.Rate)
	b.unmet += unmet * elapsed
	rate = max(0, rate-unmet)
	b.level = min(float64(limit.Burst), b.level+rate*elapsed)
	for host := range b.used {
		b.used[host] *= math.Exp(-elapsed / useMemory.Seconds())
	}
	b.at = now
	return b, rate
}
