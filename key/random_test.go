package key

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/keyvalue"
	"hawthornway/outcome"
	"hawthornway/standin/kvstore"
)

var (
	seedCount = flag.Int("seeds", defaultSeeds, "number of seeds of TestRandomFaults")
	firstSeed = flag.Uint64("seed", 1, "first seed of TestRandomFaults")
)

const (
	stepInterval = 250 * time.Millisecond
	runDuration  = 45 * time.Second
	// maxWithdrawTime is the time after which every host must refuse a
	// withdrawn key.
	maxWithdrawTime = 8 * time.Second
	// maxHealTime is the time after the last cut link is restored after which
	// every host must accept all valid keys.
	maxHealTime = 8 * time.Second
)

// silentStore is a key-value store whose watches can be made to hang.
type silentStore struct {
	keyvalue.Store
	silent atomic.Bool
}

func (s *silentStore) Watch(ctx context.Context, prefix string, after keyvalue.Revision) ([]keyvalue.Event, keyvalue.Revision, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return nil, after, keyvalue.ErrUnavailable
	}
	return s.Store.Watch(ctx, prefix, after)
}

// faultRun is one run of random faults and withdrawals.
type faultRun struct {
	*fixture
	random    *rand.Rand
	keys      []Secret
	withdrawn map[int]time.Time
	// healedAt is when all links were last restored, and cuts the number of
	// cuts since then.
	healedAt time.Time
	cuts     int
	faults   map[string]int
}

func TestRandomFaults(t *testing.T) {
	faults := map[string]int{}
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFaults(t, seed, faults) })
		})
	}
	t.Logf("%d seeds, faults: %v", *seedCount, faults)
}

func runFaults(t *testing.T, seed uint64, faults map[string]int) {
	run := &faultRun{
		fixture:   newFixture(t),
		random:    rand.New(rand.NewPCG(seed, 0)),
		withdrawn: map[int]time.Time{},
		healedAt:  time.Now(),
		faults:    faults,
	}
	for i := range 6 {
		run.keys = append(run.keys, run.grant(ID(fmt.Sprint("k", i)), "rafiq"))
	}
	for end := time.Now().Add(runDuration); time.Now().Before(end); {
		if run.random.IntN(6) == 0 {
			run.fault()
		}
		if run.random.IntN(60) == 0 {
			run.withdraw()
		}
		advance(stepInterval)
		run.check()
	}
	run.heal()
	advance(2 * maxHealTime)
	run.check()
	for i, secret := range run.keys {
		want := repeat("", 6)
		if _, withdrawn := run.withdrawn[i]; withdrawn {
			want = repeat(outcome.ReasonKeyWithdrawn, 6)
		}
		must.Eq(t, want, run.reasons(secret))
	}
	for _, s := range run.stores {
		must.SliceEmpty(t, s.pending.list(time.Now(), ""))
	}
}

func (run *faultRun) countFault(fault string) { run.faults[fault]++ }

// heal ends all faults.
func (run *faultRun) heal() {
	run.network.HealAll()
	run.healedAt, run.cuts = time.Now(), 0
	run.kv.SetFaults(kvstore.Faults{})
	for _, s := range run.kvStores {
		s.silent.Store(false)
	}
}

// fault starts a random fault, or ends all.
func (run *faultRun) fault() {
	switch run.random.IntN(8) {
	case 0:
		run.countFault("domain cut")
		run.cut([]string{"a", "b", "c"}[run.random.IntN(3)])
		run.cuts++
	case 1:
		from, to := run.hosts[run.random.IntN(6)], run.hosts[run.random.IntN(6)]
		if from[0] != to[0] {
			run.countFault("one-way cut")
			run.network.CutOneWay(from, to)
			run.cuts++
		}
	case 2:
		a, b := run.hosts[run.random.IntN(6)], run.hosts[run.random.IntN(6)]
		if a[0] != b[0] {
			run.countFault("silent link")
			run.network.Silence(a, b)
			run.cuts++
		}
	case 3:
		run.countFault("outage")
		run.kv.SetFaults(kvstore.Faults{Outage: true})
	case 4:
		run.countFault("lost responses")
		run.kv.SetFaults(kvstore.Faults{LoseResponses: 5, Seed: run.random.Uint64()})
	case 5:
		run.countFault("slow service")
		run.kv.SetFaults(kvstore.Faults{Delay: time.Duration(run.random.IntN(1500)) * time.Millisecond})
	case 6:
		run.countFault("silent watch")
		run.kvStores[run.random.IntN(len(run.kvStores))].silent.Store(true)
	case 7:
		run.heal()
	}
}

func (run *faultRun) withdraw() {
	i := run.random.IntN(len(run.keys))
	if _, withdrawn := run.withdrawn[i]; withdrawn {
		return
	}
	s := run.stores[run.random.IntN(6)]
	run.withdrawn[i] = time.Now()
	_, err := s.Withdraw(run.t.Context(), []ID{ID(fmt.Sprint("k", i))})
	must.NoError(run.t, err)
}

// check verifies that no host accepts a withdrawn key after maxWithdrawTime,
// and that none refuses a valid key once all links have been up for
// maxHealTime.
func (run *faultRun) check() {
	healed := run.cuts == 0 && time.Since(run.healedAt) > maxHealTime
	for i, secret := range run.keys {
		at, withdrawn := run.withdrawn[i]
		for h, reason := range run.reasons(secret) {
			if withdrawn && reason == "" {
				must.LessEq(run.t, maxWithdrawTime, time.Since(at), must.Sprint(run.hosts[h]))
			}
			if !withdrawn && healed {
				must.EqOp(run.t, "", reason, must.Sprint(run.hosts[h]))
			}
		}
	}
}
