package pace_test

import (
	"context"
	"flag"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"hawthornway/boottime"
	"hawthornway/pace"
)

// warmingSequences is the number of random sequences of TestHostsShareWhatColdTargetsBear.
var warmingSequences = flag.Uint64("warming-sequences", 300, "number of random sequences with cold targets")

// Guards against a span that is begun anew by late news of it, or that isn't begun again by a
// target that turns cold a second time.
func TestSpansOfColdTargets(t *testing.T) {
	key := pace.Key{Target: "t", Start: 1}
	type step struct {
		after time.Duration
		do    func(l *pace.Limits, now boottime.Instant) bool
		news  bool
		cold  bool
	}
	observe := func(at pace.Period, left time.Duration) func(*pace.Limits, boottime.Instant) bool {
		return func(l *pace.Limits, _ boottime.Instant) bool { return l.Observe(key, at, 7, left) }
	}
	record := func(at pace.Period, left time.Duration, assumed bool) func(*pace.Limits, boottime.Instant) bool {
		return func(l *pace.Limits, now boottime.Instant) bool {
			return l.RecordWarming(pace.Warming{Key: key, Period: at, Rate: 7, Until: now.Add(left), Assumed: assumed})
		}
	}
	hear := func(at pace.Period, left time.Duration) func(*pace.Limits, boottime.Instant) bool {
		return func(l *pace.Limits, _ boottime.Instant) bool { return l.Hear(key, at, 7, left) }
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"a warm target", []step{{0, observe(1, 0), false, false}}},
		{"a span that runs out", []step{
			{0, observe(1, 3*time.Second), true, true},
			{time.Second, observe(2, 2*time.Second), false, true},
			{2 * time.Second, observe(3, 100*time.Millisecond), false, false},
		}},
		{"news on the way for some time", []step{
			{0, observe(1, 3*time.Second), true, true},
			{500 * time.Millisecond, observe(2, 3*time.Second), false, true},
		}},
		{"cold again while cold", []step{
			{0, observe(1, 3*time.Second), true, true},
			{2 * time.Second, observe(5, 3*time.Second), true, true},
			{2 * time.Second, observe(6, time.Second), false, true},
		}},
		{"cold again after a while", []step{
			{0, observe(1, time.Second), true, true},
			{5 * time.Second, observe(7, 3*time.Second), true, true},
		}},
		{"late news of a span that is over", []step{
			{0, observe(4, time.Second), true, true},
			{2 * time.Second, record(4, 3*time.Second, false), false, false},
			{0, record(3, 3*time.Second, false), false, false},
		}},
		{"news from other hosts", []step{
			{0, record(4, 2*time.Second, false), true, true},
			{0, record(4, 2*time.Second, false), false, true},
			{time.Second, record(9, 2*time.Second, false), true, true},
		}},
		{"assumed to be cold and warm", []step{
			{0, record(4, 3*time.Second, true), true, true},
			{0, observe(4, 0), false, true},
			{time.Second, observe(5, 0), true, false},
		}},
		{"assumed to be cold and cold", []step{
			{0, record(4, 3*time.Second, true), true, true},
			{time.Second, observe(5, 3*time.Second), true, true},
			{0, observe(6, 0), false, true},
		}},
		{"says so in an answer", []step{
			{0, hear(8, 3*time.Second), true, true},
			{0, hear(8, 3*time.Second), false, true},
			{time.Second, observe(9, 0), false, true},
			{time.Second, observe(10, 2*time.Second), true, true},
		}},
		{"an answer with no time", []step{{0, hear(8, 0), false, false}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := boottime.NewFakeClock(boottime.Instant(time.Hour))
			limits := pace.NewLimits(clock)
			for i, s := range c.steps {
				clock.Advance(s.after)
				must.Eq(t, s.news, s.do(limits, clock.Now()), must.Sprintf("step %d", i))
				statement, limited := limits.Limit(key)
				must.Eq(t, s.cold, limited, must.Sprintf("step %d", i))
				if limited {
					test.Eq(t, 7, statement.Rate)
					test.False(t, limits.Stated(key))
				}
			}
		})
	}
}

// Guards against a stated limit that is lost when its target turns cold, or that stays as low as
// while it was cold.
func TestStatedLimitOfAColdTarget(t *testing.T) {
	clock := boottime.NewFakeClock(boottime.Instant(time.Hour))
	limits := pace.NewLimits(clock)
	key := pace.Key{Target: "t", Start: 1}
	limits.Record(pace.Statement{Key: key, Rate: 20, At: clock.Now()})
	limits.Observe(key, 3, 7, 2*time.Second)
	s, _ := limits.Limit(key)
	test.Eq(t, 7, s.Rate)
	test.Eq(t, 20, s.StatedRate)
	test.True(t, limits.Stated(key))
	test.Eq(t, 0, s.WarmIn(clock.Now()), test.Sprint("the stated limit goes on"))
	limits.Record(pace.Statement{Key: key, Ended: true, At: clock.Now()})
	s, _ = limits.Limit(key)
	test.Eq(t, 2*time.Second, s.WarmIn(clock.Now()), test.Sprint("an answer without a limit doesn't warm the target"))
	clock.Advance(3 * time.Second)
	_, limited := limits.Limit(key)
	test.False(t, limited)
}

// Guards against hosts that send each other the same spans again and again, since the time that is
// left differs between them.
func TestDigestsOfTheSameSpansAreEqual(t *testing.T) {
	clock := boottime.NewFakeClock(boottime.Instant(time.Hour))
	first, second := pace.NewLimits(clock), pace.NewLimits(clock)
	first.Observe(pace.Key{Target: "t", Start: 1}, 3, 7, 2*time.Second)
	clock.Advance(40 * time.Millisecond)
	must.NotEq(t, first.Digest(), second.Digest())
	for _, w := range first.WarmingList() {
		w.Until = w.Until.Add(60 * time.Millisecond)
		second.RecordWarming(w)
	}
	must.Eq(t, first.Digest(), second.Digest())
	clock.Advance(2 * time.Second)
	must.Eq(t, first.Digest(), second.Digest(), must.Sprint("one is over, the other isn't"))
	clock.Advance(time.Minute)
	must.Eq(t, 0, first.Digest())
	must.SliceEmpty(t, first.WarmingList())
}

// warmingFleet is a fleet of hosts with requests for targets that are cold, as when a failure
// domain comes back under full load.
type warmingFleet struct {
	clock  *clockwork.FakeClock
	boot   *boottime.FakeClock
	random *rand.Rand
	lines  *pace.Schedule
	hosts  []*warmingHost
	// coldUntil holds until when targets are cold, and arrivals the arrivals until then.
	coldUntil map[pace.Key]time.Time
	arrivals  map[pace.Key][]time.Time
	// waiting are the requests that have a place.
	waiting []waitingRequest
}

// waitingRequest is a request that has a place and arrives some time after it.
type waitingRequest struct {
	host  *warmingHost
	place pace.Reservation
	late  time.Duration
}

type warmingHost struct {
	fleet  *warmingFleet
	limits *pace.Limits
	pacer  *pace.Pacer
	// cutSince is when the host was cut off, or zero. The scheduler counts it as silent silentIn
	// later.
	cutSince time.Time
}

// Reserve implements pace.Scheduler.
func (h *warmingHost) Reserve(_ context.Context, statements []pace.Statement, maxWait, _ time.Duration) (pace.Grant, error) {
	f := h.fleet
	if !h.cutSince.IsZero() {
		return pace.Grant{}, errCut
	}
	silent := 0
	for _, other := range f.hosts {
		if !other.cutSince.IsZero() && f.clock.Since(other.cutSince) > silentIn {
			silent++
		}
	}
	share := pace.Rate(1 - float64(silent)/float64(len(f.hosts)))
	var candidates []pace.Candidate
	for _, s := range statements {
		candidates = append(candidates, pace.Candidate{Key: s.Key, Rate: s.Rate * share, WarmIn: s.WarmIn(f.boot.Now())})
	}
	return f.lines.Reserve(f.clock.Now(), candidates, maxWait, 0), nil
}

// Release implements pace.Scheduler.
func (*warmingHost) Release(pace.Key, bool) {}

func newWarmingFleet(seed uint64, hosts int) *warmingFleet {
	f := &warmingFleet{
		clock: clockwork.NewFakeClock(), boot: boottime.NewFakeClock(boottime.Instant(time.Hour)), random: rand.New(rand.NewPCG(seed, 2)),
		lines: pace.NewSchedule(time.Time{}, nil), arrivals: map[pace.Key][]time.Time{}, coldUntil: map[pace.Key]time.Time{},
	}
	for range hosts {
		h := &warmingHost{fleet: f, limits: pace.NewLimits(f.boot)}
		h.pacer = pace.NewPacer(h.limits, h, func() int { return hosts }, f.clock, slog.New(slog.DiscardHandler), pace.WithRandom(f.random.Float64))
		f.hosts = append(f.hosts, h)
	}
	return f
}

func (f *warmingFleet) turnCold(key pace.Key, at pace.Period, rate pace.Rate, left time.Duration) {
	f.coldUntil[key] = f.clock.Now().Add(left)
	for _, h := range f.hosts {
		h.limits.Observe(key, at, rate, left)
	}
}

func (f *warmingFleet) advance(d time.Duration) {
	f.clock.Advance(d)
	f.boot.Advance(d)
	f.waiting = slices.DeleteFunc(f.waiting, func(r waitingRequest) bool {
		if f.clock.Now().Before(r.place.At) {
			return false
		}
		if arrival := f.clock.Now().Add(r.late); r.host.pacer.Valid(r.place) && arrival.Before(f.coldUntil[r.place.Key]) {
			f.arrivals[r.place.Key] = append(f.arrivals[r.place.Key], arrival)
		}
		return true
	})
}

// send lets a host get a place for a request to one of the targets, which arrives up to late after
// its time.
func (f *warmingFleet) send(h *warmingHost, keys []pace.Key, late time.Duration) {
	r, _, ok := h.pacer.Reserve(context.Background(), keys, time.Second, time.Second)
	if !ok {
		return
	}
	f.waiting = append(f.waiting, waitingRequest{h, r, time.Duration(f.random.Int64N(int64(late) + 1))})
}

// most returns the largest number of arrivals at a target within a second.
func (f *warmingFleet) most(key pace.Key) int {
	arrivals := slices.SortedFunc(slices.Values(f.arrivals[key]), time.Time.Compare)
	most, from := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Load: targets come back cold while more requests wait for them than they bear, half of the hosts
// are cut off from the coordinator, and targets turn cold again. Guards against more arrivals in a
// second than all hosts together may send.
func TestHostsShareWhatColdTargetsBear(t *testing.T) {
	for seed := range *warmingSequences {
		random := rand.New(rand.NewPCG(seed, 1))
		hosts := 3 + random.IntN(197)
		f := newWarmingFleet(seed, hosts)
		rate := pace.Rate(2 + random.Float64()*10)
		keys := []pace.Key{{Target: "a", Start: 1}, {Target: "b", Start: 1}}
		for _, key := range keys {
			f.turnCold(key, 1, rate, 3*time.Second)
		}
		cutAt := random.IntN(150)
		again := 50 + random.IntN(150)
		for step := range 250 {
			f.advance(10 * time.Millisecond)
			if step == cutAt {
				for i, h := range f.hosts {
					if i%2 == 0 {
						h.cutSince = f.clock.Now()
					}
				}
			}
			if step == again {
				f.turnCold(keys[0], 2, rate, 3*time.Second)
			}
			if random.IntN(3) == 0 {
				f.send(f.hosts[random.IntN(hosts)], keys, 300*time.Millisecond)
			}
		}
		// The deployments that state cold targets allow one and a half of the rate and five more.
		allowed := int(float64(rate)*1.5 + 5)
		for _, key := range keys {
			if most := f.most(key); most > allowed {
				t.Fatalf("seed %d: %d hosts sent %d requests in a second to a target that bears %.1f, allowed are %d", seed, hosts, most, rate, allowed)
			}
		}
	}
}

// Load: more requests wait for one cold target than it bears. Guards against places that are
// withheld from it, and against a step when it is warm.
func TestColdTargetIsUsed(t *testing.T) {
	for _, hosts := range []int{9, 60, 200} {
		f := newWarmingFleet(1, hosts)
		key := pace.Key{Target: "a", Start: 1}
		const rate, span = 7, 20 * time.Second
		began := f.clock.Now()
		f.turnCold(key, 1, rate, span)
		for f.clock.Since(began) < span-time.Second {
			f.advance(5 * time.Millisecond)
			f.send(f.hosts[f.random.IntN(hosts)], []pace.Key{key}, 0)
		}
		used := float64(len(f.arrivals[key])) / (rate * span.Seconds())
		t.Logf("%d hosts: %.2f of the rate is used, at most %d in a second", hosts, used, f.most(key))
		must.Greater(t, 0.9, used, must.Sprintf("%d hosts", hosts))
		must.LessEq(t, rate+1, f.most(key), must.Sprintf("%d hosts", hosts))
	}
}

// Guards against a request that is refused although its target will be warm in time.
func TestPlacesBeginAtTheLatestOnceATargetIsWarm(t *testing.T) {
	clock := clockwork.NewFakeClock()
	lines := pace.NewSchedule(time.Time{}, nil)
	cold := pace.Candidate{Key: pace.Key{Target: "a", Start: 1}, Rate: 0.5, WarmIn: 700 * time.Millisecond}
	for range 5 {
		grant := lines.Reserve(clock.Now(), []pace.Candidate{cold}, time.Second, 0)
		must.False(t, grant.Refused)
		must.Eq(t, cold.WarmIn, grant.Wait)
	}
	grant := lines.Reserve(clock.Now(), []pace.Candidate{cold}, 500*time.Millisecond, 0)
	must.True(t, grant.Refused)
	must.Eq(t, cold.WarmIn, grant.Wait)
}
