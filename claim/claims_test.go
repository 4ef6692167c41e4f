package claim

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/standin/kvstore"
)

var (
	seedCount = flag.Int("seeds", 1000, "number of seeds of the random mix")
	firstSeed = flag.Uint64("seed", 1, "first seed of the random mix")
)

func TestRepeatsAfterTheEnd(t *testing.T) {
	end := func(f func(context.Context, Claim) error) func(context.Context, Claim) error { return f }
	finish := func(body []byte) func(context.Context, Claim) error {
		return func(ctx context.Context, c Claim) error {
			return c.Finish(ctx, Answer{Status: 201, Header: http.Header{"A": {"b"}}, Body: body})
		}
	}
	cases := []struct {
		name   string
		end    func(context.Context, Claim) error
		digest byte
		status int // of the refusal; zero when the repeat is not refused
		told   string
	}{
		{"done, same request", finish([]byte("x")), 1, 0, "replay"},
		{"done, other request", finish([]byte("x")), 2, 422, "not-run"},
		{"done, large answer", finish(make([]byte, maxStoredBody+1)), 1, 409, "unknown"},
		{"abandoned", end(func(ctx context.Context, c Claim) error { return c.Abandon(ctx) }), 1, 0, "run"},
		{"abandoned, other request", end(func(ctx context.Context, c Claim) error { return c.Abandon(ctx) }), 2, 0, "run"},
		{"unknown", end(func(ctx context.Context, c Claim) error { return c.Unknown(ctx) }), 1, 409, "unknown"},
		{"running", end(func(context.Context, Claim) error { return nil }), 1, 409, "unknown"},
		{"running, other request", end(func(context.Context, Claim) error { return nil }), 2, 422, "not-run"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newTestHosts(t, 1, 2, false)
				defer a.stop()
				first, err := a.hosts[0].claims.Begin(t.Context(), testRequest("k", 1))
				must.NoError(t, err)
				must.NoError(t, c.end(t.Context(), first.(Run).Claim))
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				second, err := a.hosts[1].claims.Begin(ctx, testRequest("k", c.digest))
				must.NoError(t, err)
				status, told := describe(second)
				must.Eq(t, c.told, told)
				must.Eq(t, c.status, status)
			})
		})
	}
}

func describe(d Decision) (int, string) {
	switch d := d.(type) {
	case Run:
		return 0, "run"
	case Replay:
		return 0, "replay"
	case Refuse:
		return d.Status, d.Outcome.Header()
	}
	return 0, ""
}

func TestRepeatWaitsForTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestHosts(t, 1, 2, false)
		defer a.stop()
		go a.send(a.hosts[0], "k", 1, targetAnswers)
		synctest.Wait()
		a.send(a.hosts[1], "k", 1, targetAnswers)
		must.Eq(t, 1, a.told("replayed"))
		must.Eq(t, 1, a.mostRuns())
	})
}

func TestOutageRefusesAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestHosts(t, 1, 1, false)
		defer a.stop()
		a.store.SetFaults(kvstore.Faults{Outage: true})
		begin := time.Now()
		decision, err := a.hosts[0].claims.Begin(t.Context(), testRequest("k", 1))
		must.NoError(t, err)
		status, told := describe(decision)
		must.Eq(t, 503, status)
		must.Eq(t, "not-run", told)
		must.LessEq(t, patience+longestPause, time.Since(begin))
	})
}

// TestLostCreateIsAbandoned checks that a call that gave up on a claim that was
// made after all does not bar its repeats for good.
func TestLostCreateIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestHosts(t, 1, 2, false)
		defer a.stop()
		a.store.SetFaults(kvstore.Faults{LoseAnswers: 1})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		decision, err := a.hosts[0].claims.Begin(ctx, testRequest("k", 1))
		must.NoError(t, err)
		_, told := describe(decision)
		must.Eq(t, "not-run", told)
		time.Sleep(time.Second)
		must.Zero(t, a.hosts[0].claims.Pending())
		decision, err = a.hosts[1].claims.Begin(t.Context(), testRequest("k", 1))
		must.NoError(t, err)
		_, told = describe(decision)
		must.Eq(t, "run", told)
	})
}

func TestEndIsWrittenAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestHosts(t, 1, 2, false)
		defer a.stop()
		decision, err := a.hosts[0].claims.Begin(t.Context(), testRequest("k", 1))
		must.NoError(t, err)
		a.store.SetFaults(kvstore.Faults{Outage: true})
		must.Error(t, decision.(Run).Claim.Finish(t.Context(), Answer{Status: 200}))
		time.Sleep(time.Minute)
		must.Eq(t, 1, a.hosts[0].claims.Pending())
		a.store.SetFaults(kvstore.Faults{})
		time.Sleep(2 * longestPause)
		must.Zero(t, a.hosts[0].claims.Pending())
		decision, err = a.hosts[1].claims.Begin(t.Context(), testRequest("k", 1))
		must.NoError(t, err)
		_, told := describe(decision)
		must.Eq(t, "replay", told)
	})
}

// runMix sends keyed calls and their repeats at several hosts under faults.
func runMix(t *testing.T, seed uint64, unchecked bool) (*testHosts, int) {
	var a *testHosts
	faults := 0
	synctest.Test(t, func(t *testing.T) {
		a = newTestHosts(t, seed, 4, unchecked)
		defer a.stop()
		for i := range 30 {
			key := fmt.Sprintf("k%d", i)
			for range 2 + a.draw(4) {
				host, target := a.hosts[a.draw(len(a.hosts))], a.draw(targetKinds)
				digest := byte(a.draw(8) / 7)
				after := time.Duration(a.draw(12000)) * time.Millisecond
				time.AfterFunc(after, func() { a.send(host, key, digest, target) })
			}
			time.Sleep(time.Duration(a.draw(2000)) * time.Millisecond)
			if a.draw(2) == 0 {
				faults++
				a.fault()
			}
		}
		a.store.SetFaults(kvstore.Faults{})
		time.Sleep(2 * time.Minute)
	})
	return a, faults
}

// fault brings about one fault for a few seconds.
func (a *testHosts) fault() {
	h := a.hosts[a.draw(len(a.hosts))]
	lasts := time.Duration(1+a.draw(12000)) * time.Millisecond
	switch a.draw(6) {
	case 0:
		h.freeze()
		time.AfterFunc(lasts, h.thaw)
	case 1:
		if h != a.hosts[0] {
			h.kill()
		}
	case 2:
		a.store.SetFaults(kvstore.Faults{Outage: true})
		time.AfterFunc(lasts, func() { a.store.SetFaults(kvstore.Faults{}) })
	case 3:
		a.store.SetFaults(kvstore.Faults{LoseAnswers: 3, Seed: uint64(a.draw(1000))})
	case 4:
		a.store.SetFaults(kvstore.Faults{Delay: 800 * time.Millisecond})
		time.AfterFunc(lasts, func() { a.store.SetFaults(kvstore.Faults{}) })
	case 5:
		a.setLate(true)
		time.AfterFunc(lasts, func() { a.setLate(false) })
	}
}

func (a *testHosts) setLate(late bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.late = late
}

func TestKeyedCallsRunAtMostOnce(t *testing.T) {
	faults, calls, replays := 0, 0, 0
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		a, n := runMix(t, seed, false)
		faults += n
		calls += len(a.ends)
		replays += a.told("replayed")
		must.LessEq(t, 1, a.mostRuns(),
			must.Sprintf("replay with: go test ./claim -run %s -seed %d -seeds 1", t.Name(), seed))
	}
	fmt.Printf("claim: %d seeds, %d faults, %d calls ended, %d of them replayed\n", *seedCount, faults, calls, replays)
	must.Positive(t, replays)
}

// TestMutationClaimCheck shows that the proof above sees calls that are sent
// without their claim.
func TestMutationClaimCheck(t *testing.T) {
	for seed := range uint64(20) {
		a, _ := runMix(t, seed, true)
		if a.mostRuns() > 1 {
			t.Logf("seed %d runs a call %d times", seed, a.mostRuns())
			return
		}
	}
	t.Fatal("no seed of 20 runs a call twice")
}
