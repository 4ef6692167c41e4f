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
	seedCount = flag.Int("seeds", 1000, "number of seeds of the random mix of faults")
	firstSeed = flag.Uint64("seed", 1, "first seed of the random mix of faults")
)

func TestRepeatsOfEndedAndRunningCalls(t *testing.T) {
	end := func(f func(context.Context, Claim) error) func(context.Context, Claim) error { return f }
	finish := func(body []byte) func(context.Context, Claim) error {
		return func(ctx context.Context, c Claim) error {
			return c.Finish(ctx, Response{Status: 201, Header: http.Header{"A": {"b"}}, Body: body})
		}
	}
	cases := []struct {
		name    string
		end     func(context.Context, Claim) error
		digest  byte
		status  int // of the refusal; zero if the repeat is not refused
		outcome string
	}{
		{"done, same request", finish([]byte("x")), 1, 0, "replay"},
		{"done, other request", finish([]byte("x")), 2, 422, "not-run"},
		{"done, large response", finish(make([]byte, maxStoredBodyBytes+1)), 1, 409, "unknown"},
		{"abandoned", end(func(ctx context.Context, c Claim) error { return c.Abandon(ctx) }), 1, 0, "run"},
		{"abandoned, other request", end(func(ctx context.Context, c Claim) error { return c.Abandon(ctx) }), 2, 0, "run"},
		{"unknown", end(func(ctx context.Context, c Claim) error { return c.Unknown(ctx) }), 1, 409, "unknown"},
		{"running", end(func(context.Context, Claim) error { return nil }), 1, 409, "unknown"},
		{"running, other request", end(func(context.Context, Claim) error { return nil }), 2, 422, "not-run"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newTestCluster(t, 1, 2, false)
				defer cluster.stop()
				first, err := cluster.hosts[0].claims.Begin(t.Context(), testRequest("k", 1))
				must.NoError(t, err)
				must.NoError(t, c.end(t.Context(), first.(Run).Claim))
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				second, err := cluster.hosts[1].claims.Begin(ctx, testRequest("k", c.digest))
				must.NoError(t, err)
				status, outcome := describeDecision(second)
				must.Eq(t, c.outcome, outcome)
				must.Eq(t, c.status, status)
			})
		})
	}
}

func describeDecision(d Decision) (int, string) {
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
		cluster := newTestCluster(t, 1, 2, false)
		defer cluster.stop()
		go cluster.send(cluster.hosts[0], "k", 1, targetAnswers)
		synctest.Wait()
		cluster.send(cluster.hosts[1], "k", 1, targetAnswers)
		must.Eq(t, 1, cluster.countOutcomes("replayed"))
		must.Eq(t, 1, cluster.maxRuns())
	})
}

func TestOutageRefusesAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 1, 1, false)
		defer cluster.stop()
		cluster.store.SetFaults(kvstore.Faults{Outage: true})
		start := time.Now()
		decision, err := cluster.hosts[0].claims.Begin(t.Context(), testRequest("k", 1))
		must.NoError(t, err)
		status, outcome := describeDecision(decision)
		must.Eq(t, 503, status)
		must.Eq(t, "not-run", outcome)
		must.LessEq(t, maxOutageWait+maxRetryDelay, time.Since(start))
	})
}

// TestLostCreateIsAbandoned guards against a claim that blocks all repeats: the
// answer to the write that creates it is lost, and its call is refused.
func TestLostCreateIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 1, 2, false)
		defer cluster.stop()
		cluster.store.SetFaults(kvstore.Faults{LoseResponses: 1})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		decision, err := cluster.hosts[0].claims.Begin(ctx, testRequest("k", 1))
		must.NoError(t, err)
		_, outcome := describeDecision(decision)
		must.Eq(t, "not-run", outcome)
		time.Sleep(time.Second)
		must.Zero(t, cluster.hosts[0].claims.Pending())
		decision, err = cluster.hosts[1].claims.Begin(t.Context(), testRequest("k", 1))
		must.NoError(t, err)
		_, outcome = describeDecision(decision)
		must.Eq(t, "run", outcome)
	})
}

func TestEndIsWrittenAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 1, 2, false)
		defer cluster.stop()
		decision, err := cluster.hosts[0].claims.Begin(t.Context(), testRequest("k", 1))
		must.NoError(t, err)
		cluster.store.SetFaults(kvstore.Faults{Outage: true})
		must.Error(t, decision.(Run).Claim.Finish(t.Context(), Response{Status: 200}))
		time.Sleep(time.Minute)
		must.Eq(t, 1, cluster.hosts[0].claims.Pending())
		cluster.store.SetFaults(kvstore.Faults{})
		time.Sleep(2 * maxRetryDelay)
		must.Zero(t, cluster.hosts[0].claims.Pending())
		decision, err = cluster.hosts[1].claims.Begin(t.Context(), testRequest("k", 1))
		must.NoError(t, err)
		_, outcome := describeDecision(decision)
		must.Eq(t, "replay", outcome)
	})
}

// runRandomMix sends calls with keys and their repeats through several hosts while
// faults are injected.
func runRandomMix(t *testing.T, seed uint64, ignoreConflicts bool) (*testCluster, int) {
	var cluster *testCluster
	faults := 0
	synctest.Test(t, func(t *testing.T) {
		cluster = newTestCluster(t, seed, 4, ignoreConflicts)
		defer cluster.stop()
		for i := range 30 {
			key := fmt.Sprintf("k%d", i)
			for range 2 + cluster.randomInt(4) {
				host, target := cluster.hosts[cluster.randomInt(len(cluster.hosts))], cluster.randomInt(targetKinds)
				digest := byte(cluster.randomInt(8) / 7)
				after := time.Duration(cluster.randomInt(12000)) * time.Millisecond
				time.AfterFunc(after, func() { cluster.send(host, key, digest, target) })
			}
			time.Sleep(time.Duration(cluster.randomInt(2000)) * time.Millisecond)
			if cluster.randomInt(2) == 0 {
				faults++
				cluster.injectFault()
			}
		}
		cluster.store.SetFaults(kvstore.Faults{})
		time.Sleep(2 * time.Minute)
	})
	return cluster, faults
}

// injectFault injects one random fault, most kinds for a few seconds.
func (c *testCluster) injectFault() {
	h := c.hosts[c.randomInt(len(c.hosts))]
	duration := time.Duration(1+c.randomInt(12000)) * time.Millisecond
	switch c.randomInt(6) {
	case 0:
		h.freeze()
		time.AfterFunc(duration, h.resume)
	case 1:
		if h != c.hosts[0] {
			h.kill()
		}
	case 2:
		c.store.SetFaults(kvstore.Faults{Outage: true})
		time.AfterFunc(duration, func() { c.store.SetFaults(kvstore.Faults{}) })
	case 3:
		c.store.SetFaults(kvstore.Faults{LoseResponses: 3, Seed: uint64(c.randomInt(1000))})
	case 4:
		c.store.SetFaults(kvstore.Faults{Delay: 800 * time.Millisecond})
		time.AfterFunc(duration, func() { c.store.SetFaults(kvstore.Faults{}) })
	case 5:
		c.setDelayWrites(true)
		time.AfterFunc(duration, func() { c.setDelayWrites(false) })
	}
}

func (c *testCluster) setDelayWrites(delayed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delayWrites = delayed
}

func TestKeyedCallsRunAtMostOnce(t *testing.T) {
	faults, calls, replays := 0, 0, 0
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		cluster, injected := runRandomMix(t, seed, false)
		faults += injected
		calls += len(cluster.outcomes)
		replays += cluster.countOutcomes("replayed")
		must.LessEq(t, 1, cluster.maxRuns(),
			must.Sprintf("replay: go test ./claim -run %s -seed %d -seeds 1", t.Name(), seed))
	}
	fmt.Printf("claim: %d seeds, %d faults, %d calls ended, %d of them replayed\n", *seedCount, faults, calls, replays)
	must.Positive(t, replays)
}

// TestMutationClaimCheck shows that TestKeyedCallsRunAtMostOnce detects
// calls that are sent without a claim.
func TestMutationClaimCheck(t *testing.T) {
	for seed := range uint64(20) {
		cluster, _ := runRandomMix(t, seed, true)
		if cluster.maxRuns() > 1 {
			t.Logf("seed %d runs a call %d times", seed, cluster.maxRuns())
			return
		}
	}
	t.Fatal("none of 20 seeds runs a call twice")
}

// Guards against a second run of a call whose claim is lost, since the service has returned
// from an older copy: hosts write the claims again that they remember, and claim no new call
// until all had time to.
func TestClaimsOutlastTheReturnOfAnOlderStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 1, 3, false)
		defer cluster.stop()
		older := cluster.store.Copy()
		begin := func(host int, key string, timeout time.Duration) (Decision, string) {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			d, err := cluster.hosts[host].claims.Begin(ctx, testRequest(key, 1))
			must.NoError(t, err)
			_, result := describeDecision(d)
			return d, result
		}
		done, _ := begin(0, "done", time.Second)
		must.NoError(t, done.(Run).Claim.Finish(t.Context(), Response{Status: 201, Body: []byte("x")}))
		running, _ := begin(0, "running", time.Second)
		abandoned, _ := begin(0, "abandoned", time.Second)
		must.NoError(t, abandoned.(Run).Claim.Abandon(t.Context()))
		cluster.store.Restore(older)
		// The claims may have been written again already.
		for key, allowed := range map[string][]string{"done": {"not-run", "replay"}, "running": {"not-run", "unknown"}, "abandoned": {"not-run"}} {
			_, result := begin(1, key, 20*time.Millisecond)
			must.SliceContains(t, allowed, result, must.Sprint(key))
		}
		time.Sleep(settleTime)
		_, result := begin(1, "done", time.Second)
		must.Eq(t, "replay", result)
		_, result = begin(2, "running", time.Second)
		must.Eq(t, "unknown", result)
		_, result = begin(2, "abandoned", time.Second)
		must.Eq(t, "run", result)
		must.Error(t, running.(Run).Claim.Finish(t.Context(), Response{Status: 200, Body: []byte("y")})) // written by Run
		time.Sleep(time.Second)
		_, result = begin(1, "running", time.Second)
		must.Eq(t, "replay", result)
	})
}

// Calls with keys and their repeats while the service returns from older copies, fails and
// loses answers. Hosts that are killed or frozen then lose what only they remember, and are
// left out.
func TestKeyedCallsRunAtMostOnceOverReturnsOfTheStore(t *testing.T) {
	returns := 0
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount)/4; seed++ {
		var cluster *testCluster
		synctest.Test(t, func(t *testing.T) {
			cluster = newTestCluster(t, seed, 4, false)
			defer cluster.stop()
			for i := range 30 {
				key := fmt.Sprintf("k%d", i)
				for range 2 + cluster.randomInt(4) {
					host, target := cluster.hosts[cluster.randomInt(len(cluster.hosts))], cluster.randomInt(targetKinds)
					after := time.Duration(cluster.randomInt(12000)) * time.Millisecond
					time.AfterFunc(after, func() { cluster.send(host, key, 1, target) })
				}
				time.Sleep(time.Duration(cluster.randomInt(2000)) * time.Millisecond)
				switch cluster.randomInt(8) {
				case 0:
					returns++
					cluster.restoreOlder(time.Duration(cluster.randomInt(8000)) * time.Millisecond)
				case 1:
					cluster.store.SetFaults(kvstore.Faults{LoseResponses: 3, Seed: uint64(cluster.randomInt(1000))})
				}
			}
			time.Sleep(2 * time.Minute)
		})
		must.LessEq(t, 1, cluster.maxRuns(), must.Sprintf("replay: go test ./claim -run %s -seed %d -seeds 4", t.Name(), seed))
	}
	must.Positive(t, returns)
}
