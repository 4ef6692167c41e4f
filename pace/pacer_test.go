package pace_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
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

// sequences is the number of random sequences of TestHostsShareALimitWhileCut.
var sequences = flag.Uint64("sequences", 120, "number of random sequences")

// The figures of the simulated fleet.
const (
	step     = 10 * time.Millisecond
	silentIn = 1500 * time.Millisecond
	lineWait = time.Second
	// minDemand is in requests per second.
	minDemand = 5.0
)

// simulation is a fleet of hosts whose requests all go to one target with a limit.
type simulation struct {
	clock  *clockwork.FakeClock
	boot   *boottime.FakeClock
	random *rand.Rand
	key    pace.Key
	rate   pace.Rate
	lines  *pace.Schedule
	hosts  []*simulatedHost
	sent   []time.Time
}

// simulatedHost is a host. The scheduler counts it as silent some time after it was cut off.
type simulatedHost struct {
	simulation *simulation
	limits     *pace.Limits
	pacer      *pace.Pacer
	cutSince   time.Time
	// sends are the times of its requests that have a place.
	sends []time.Time
}

var errCut = errors.New("cut off")

// Reserve implements pace.Scheduler.
func (h *simulatedHost) Reserve(ctx context.Context, statements []pace.Statement, maxWait, _ time.Duration) (pace.Grant, error) {
	s := h.simulation
	if err := ctx.Err(); err != nil {
		return pace.Grant{}, err
	}
	if !h.cutSince.IsZero() {
		return pace.Grant{}, errCut
	}
	silent := 0
	for _, other := range s.hosts {
		if !other.cutSince.IsZero() && s.clock.Since(other.cutSince) > silentIn {
			silent++
		}
	}
	share := pace.Rate(1 - float64(silent)/float64(len(s.hosts)))
	return s.lines.Reserve(s.clock.Now(), []pace.Candidate{{Key: s.key, Rate: statements[0].Rate * share}}, maxWait, 0), nil
}

// Release implements pace.Scheduler.
func (*simulatedHost) Release(pace.Key, bool) {}

func newSimulation(seed uint64, hosts int, rate pace.Rate) *simulation {
	s := &simulation{
		clock: clockwork.NewFakeClock(), boot: boottime.NewFakeClock(boottime.Instant(time.Hour)), random: rand.New(rand.NewPCG(seed, 1)),
		key: pace.Key{Target: "t", Start: 1}, rate: rate, lines: pace.NewSchedule(time.Time{}, nil),
	}
	for range hosts {
		h := &simulatedHost{simulation: s, limits: pace.NewLimits(s.boot)}
		h.pacer = pace.NewPacer(h.limits, h, func() int { return hosts }, s.clock, slog.New(slog.DiscardHandler), pace.WithRandom(s.random.Float64))
		h.limits.Record(pace.Statement{Key: s.key, Rate: rate, At: s.boot.Now()})
		s.hosts = append(s.hosts, h)
	}
	return s
}

// run lets requests come at three times the limit or at minDemand, and calls a function before each step.
func (s *simulation) run(d time.Duration, before func()) {
	for end := s.clock.Now().Add(d); s.clock.Now().Before(end); {
		before()
		for arrivals := max(3*float64(s.rate), minDemand) * step.Seconds(); arrivals > 0; arrivals-- {
			h := s.hosts[s.random.IntN(len(s.hosts))]
			if s.random.Float64() >= arrivals {
				continue
			}
			if r, _, ok := h.pacer.Reserve(context.Background(), []pace.Key{s.key}, lineWait, 0); ok {
				h.sends = append(h.sends, r.At)
			}
		}
		for _, h := range s.hosts {
			h.sends = slices.DeleteFunc(h.sends, func(at time.Time) bool {
				due := !s.clock.Now().Before(at)
				if due {
					s.sent = append(s.sent, s.clock.Now())
				}
				return due
			})
		}
		s.clock.Advance(step)
		s.boot.Advance(step)
	}
}

// excess returns how many requests more than the users' rule allows were sent in the worst
// window of one to ten seconds: half as many again as the limit, and five.
func (s *simulation) excess() (worst float64) {
	worst = -100
	for window := time.Second; window <= 10*time.Second; window += time.Second {
		allowed := 1.5*float64(s.rate)*window.Seconds() + 5
		from := 0
		for to := range s.sent {
			for s.sent[to].Sub(s.sent[from]) > window {
				from++
			}
			worst = max(worst, float64(to-from+1)-allowed)
		}
	}
	return worst
}

// Guards against hosts that together exceed the limit of a target, and against a limit that
// is hardly used because it was divided among hosts.
func TestHostsShareALimit(t *testing.T) {
	for _, hosts := range []int{1, 9, 60, 200} {
		for _, rate := range []pace.Rate{0.3, 1, 10, 100} {
			t.Run(fmt.Sprintf("%d hosts, %g a second", hosts, rate), func(t *testing.T) {
				const duration = time.Minute
				s := newSimulation(1, hosts, rate)
				s.run(duration, func() {})
				must.LessEq(t, 0, s.excess())
				used := float64(len(s.sent)) / (float64(rate) * duration.Seconds())
				must.Between(t, 0.9, used, 1.0)
			})
		}
	}
}

// Guards against limits that are exceeded while hosts are cut off from the coordinator, come
// back, and the coordinator changes. Rates move meanwhile.
func TestHostsShareALimitWhileCut(t *testing.T) {
	for seed := range *sequences {
		random := rand.New(rand.NewPCG(seed, 2))
		hosts := []int{2, 9, 60}[random.IntN(3)]
		rate := []pace.Rate{0.3, 1, 10, 50}[random.IntN(4)]
		s := newSimulation(seed, hosts, rate)
		s.run(40*time.Second, func() {
			switch {
			case random.Float64() < step.Seconds()/4: // about every four seconds
				share := random.Float64()
				for _, h := range s.hosts {
					if random.Float64() < share {
						h.cutSince = s.clock.Now()
					}
				}
			case random.Float64() < step.Seconds()/4:
				for _, h := range s.hosts {
					h.cutSince = time.Time{}
				}
			case random.Float64() < step.Seconds()/8:
				s.lines = pace.NewSchedule(s.clock.Now().Add(pace.MaxWait), nil)
			}
		})
		test.LessEq(t, 0, s.excess(), test.Sprintf("seed %d: %d hosts, %g a second", seed, hosts, rate))
	}
}

// A place that a request no longer needs goes to the next one of the same host, unless that
// comes too late.
func TestUnusedPlaceIsTakenByAnotherRequest(t *testing.T) {
	s := newSimulation(1, 1, 1)
	h, targets := s.hosts[0], []pace.Key{s.key}
	s.clock.Advance(2 * time.Second)
	place, _, ok := h.pacer.Reserve(context.Background(), targets, 2*time.Second, 0)
	must.True(t, ok)
	must.Eq(t, time.Second, place.At.Sub(s.clock.Now()))
	_, wait, ok := h.pacer.Reserve(context.Background(), targets, 500*time.Millisecond, 0)
	must.False(t, ok)
	must.Eq(t, 2*time.Second, wait)
	h.pacer.GiveBack(place)
	again, _, ok := h.pacer.Reserve(context.Background(), targets, time.Second, 0)
	must.True(t, ok)
	must.Eq(t, place, again)
	h.pacer.GiveBack(again)
	s.clock.Advance(3 * time.Second)
	_, wait, ok = h.pacer.Reserve(context.Background(), targets, 0, 0)
	must.True(t, ok, must.Sprint(wait)) // a new one
}

// A caller that leaves while its place is asked for must not make the host take the scheduler
// for lost, or the line for full.
func TestCallerThatLeavesSaysNothingAboutTheScheduler(t *testing.T) {
	s := newSimulation(1, 9, 1)
	s.hosts[0].pacer.Reserve(context.Background(), []pace.Key{s.key}, time.Minute, 0) // begins the line
	s.clock.Advance(2 * time.Second)
	left, cancel := context.WithCancel(context.Background())
	cancel()
	_, _, ok := s.hosts[0].pacer.Reserve(left, []pace.Key{s.key}, 0, 0)
	must.False(t, ok)
	_, wait, ok := s.hosts[0].pacer.Reserve(context.Background(), []pace.Key{s.key}, 0, 0)
	must.True(t, ok, must.Sprint(wait))
}

// A host that has refused by its own part of the limit, which is small, asks the scheduler
// again once that is back.
func TestSchedulerIsAskedAgainOnceItIsBack(t *testing.T) {
	s := newSimulation(1, 9, 1)
	h, targets := s.hosts[0], []pace.Key{s.key}
	s.hosts[1].pacer.Reserve(context.Background(), targets, time.Minute, 0) // begins the line
	h.cutSince = s.clock.Now()
	_, wait, ok := h.pacer.Reserve(context.Background(), targets, 0, 0)
	must.False(t, ok)
	must.Greater(t, 3*time.Second, wait)
	h.cutSince = time.Time{}
	s.clock.Advance(3 * time.Second)
	_, wait, ok = h.pacer.Reserve(context.Background(), targets, 0, 0)
	must.True(t, ok, must.Sprint(wait))
}

// A host that knows neither the coordinator nor the size of the fleet sends nothing.
func TestHostThatKnowsNoFleetReservesNothing(t *testing.T) {
	s := newSimulation(1, 1, 100)
	lonely := &simulatedHost{simulation: s, limits: pace.NewLimits(s.boot), cutSince: s.clock.Now()}
	lonely.limits.Record(pace.Statement{Key: s.key, Rate: 100, At: s.boot.Now()})
	p := pace.NewPacer(lonely.limits, lonely, func() int { return 0 }, s.clock, slog.New(slog.DiscardHandler))
	_, wait, ok := p.Reserve(context.Background(), []pace.Key{s.key}, 0, 0)
	must.False(t, ok)
	must.Positive(t, wait)
}

// Only the answers of a target tell when its limit changes, so that it must get a request now
// and then although others could run it.
func TestLimitedTargetIsAskedNowAndThen(t *testing.T) {
	s := newSimulation(1, 9, 1)
	asked := 0
	s.run(time.Minute, func() {
		s.sent = s.sent[:0]
		if _, ok := s.hosts[0].pacer.ReserveToAsk(context.Background(), []pace.Key{s.key}, 0); ok {
			asked++
		}
	})
	must.LessEq(t, 3, asked) // others use nearly all of the limit
	quiet := newSimulation(1, 9, 1)
	for range 60 {
		quiet.clock.Advance(time.Second)
		quiet.boot.Advance(time.Second)
		if _, ok := quiet.hosts[0].pacer.ReserveToAsk(context.Background(), []pace.Key{quiet.key}, 0); ok {
			asked++
		}
	}
	must.Between(t, 15, asked, 30)
}

// BenchmarkRate measures the lookup of a limit for each target of a request.
func BenchmarkRate(b *testing.B) {
	l := pace.NewLimits(boottime.NewFakeClock(boottime.Instant(time.Hour)))
	for i := range 20 {
		l.Record(pace.Statement{Key: pace.Key{Target: "t", Start: 1}, Rate: pace.Rate(i + 1), At: boottime.Instant(time.Hour)})
	}
	key := pace.Key{Target: "other", Start: 1}
	for b.Loop() {
		l.Limit(key)
	}
}
