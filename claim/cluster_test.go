package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/standin/kvstore"
)

// testCluster is a group of hosts that claim calls in one store, and a target that
// counts the calls that run.
type testCluster struct {
	t     *testing.T
	store *kvstore.Store
	hosts []*testHost

	mu          sync.Mutex
	rng         *rand.Rand
	delayWrites bool
	// runs holds the calls that reached the target, by key.
	runs map[string][]call
	// outcomes are the outcomes that were returned to callers.
	outcomes []callOutcome
}

type call struct{ digest byte }

// callOutcome is the outcome of one call as returned to its caller.
type callOutcome struct {
	key     string
	outcome string
}

// restoreOlder lets the store return from a copy that is some time old by then, after it was
// away for a moment.
func (c *testCluster) restoreOlder(age time.Duration) {
	older := c.store.Copy()
	time.AfterFunc(age, func() {
		c.store.SetFaults(kvstore.Faults{Outage: true})
		time.AfterFunc(300*time.Millisecond, func() {
			c.store.Restore(older)
			c.store.SetFaults(kvstore.Faults{})
		})
	})
}

// testHost is one host. It wraps the store for its claims, so that it can be frozen
// and killed.
type testHost struct {
	*kvstore.Store
	cluster *testCluster
	claims  Claims
	cancel  context.CancelFunc

	mu      sync.Mutex
	resumed chan struct{}
	killed  bool
}

func newTestCluster(t *testing.T, seed uint64, n int, ignoreConflicts bool) *testCluster {
	c := &testCluster{
		t:     t,
		store: kvstore.New(),
		rng:   rand.New(rand.NewPCG(seed, 3)),
		runs:  make(map[string][]call),
	}
	for i := range n {
		h := &testHost{Store: c.store, cluster: c}
		h.claims = New(h, WithHost(fleet.HostID(fmt.Sprintf("h%d", i))))
		h.claims.(*claims).ignoreConflicts = ignoreConflicts
		ctx, cancel := context.WithCancel(context.Background())
		h.cancel = cancel
		go func() { must.NoError(t, h.claims.Run(ctx)) }()
		c.hosts = append(c.hosts, h)
	}
	return c
}

func (c *testCluster) stop() {
	for _, h := range c.hosts {
		h.resume()
		h.cancel()
	}
}

func (c *testCluster) randomInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

func (h *testHost) freeze() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.resumed == nil {
		h.resumed = make(chan struct{})
	}
}

func (h *testHost) resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.resumed != nil {
		close(h.resumed)
		h.resumed = nil
	}
}

// kill stops the host permanently.
func (h *testHost) kill() {
	h.mu.Lock()
	h.killed = true
	h.mu.Unlock()
	h.cancel()
}

// waitWhileFrozen waits while the host is frozen. It returns false once the host is
// killed.
func (h *testHost) waitWhileFrozen() bool {
	h.mu.Lock()
	resumed := h.resumed
	h.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.killed
}

// Get implements keyvalue.Store for a host that can be frozen.
func (h *testHost) Get(ctx context.Context, key string) (keyvalue.Entry, error) {
	if !h.waitWhileFrozen() {
		return keyvalue.Entry{}, keyvalue.ErrUnavailable
	}
	entry, err := h.Store.Get(ctx, key)
	h.waitWhileFrozen()
	return entry, err
}

// Swap implements keyvalue.Store. A delayed write takes effect after its sender has
// received an unknown result.
func (h *testHost) Swap(ctx context.Context, key string, expected keyvalue.Revision, value []byte) (keyvalue.Revision, error) {
	if !h.waitWhileFrozen() {
		return 0, keyvalue.ErrUnavailable
	}
	h.cluster.mu.Lock()
	delayed := h.cluster.delayWrites && h.cluster.rng.IntN(3) == 0
	delay := time.Duration(h.cluster.rng.Int64N(int64(5 * time.Second)))
	h.cluster.mu.Unlock()
	if delayed {
		time.AfterFunc(delay, func() { _, _ = h.Store.Swap(context.Background(), key, expected, value) })
		return 0, keyvalue.ErrUnknown
	}
	revision, err := h.Store.Swap(ctx, key, expected, value)
	h.waitWhileFrozen()
	return revision, err
}

func testRequest(key string, digest byte) Request {
	r := Request{Route: "bookings", Team: "rafiq", Key: key, Attempt: "r/1"}
	r.Digest[0] = digest
	return r
}

// The reactions of the target to a call.
const (
	targetAnswers = iota
	targetRefuses
	targetIsSilent
	targetKinds
)

// send sends a call with a key through a host.
func (c *testCluster) send(h *testHost, key string, digest byte, target int) {
	if !h.waitWhileFrozen() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	decision, err := h.claims.Begin(ctx, testRequest(key, digest))
	must.NoError(c.t, err)
	if !h.waitWhileFrozen() {
		return
	}
	switch d := decision.(type) {
	case Run:
		c.runClaimed(ctx, h, d.Claim, key, digest, target)
	case Replay:
		must.Eq(c.t, fmt.Sprintf("%s/%d", key, digest), string(d.Response.Body))
		c.addOutcome(key, "replayed")
	case Refuse:
		c.addOutcome(key, d.Outcome.Header())
	}
}

// runClaimed sends a claimed call to the target.
func (c *testCluster) runClaimed(ctx context.Context, h *testHost, claim Claim, key string, digest byte, target int) {
	time.Sleep(time.Duration(c.randomInt(2000)) * time.Millisecond)
	if !h.waitWhileFrozen() {
		return
	}
	if target == targetRefuses {
		_ = claim.Abandon(ctx)
		c.addOutcome(key, "not-run")
		return
	}
	c.mu.Lock()
	c.runs[key] = append(c.runs[key], call{digest: digest})
	c.mu.Unlock()
	time.Sleep(time.Duration(c.randomInt(2000)) * time.Millisecond)
	if !h.waitWhileFrozen() {
		return
	}
	if target == targetIsSilent {
		_ = claim.Unknown(ctx)
		c.addOutcome(key, "unknown")
		return
	}
	_ = claim.Finish(ctx, Response{Status: 200, Body: fmt.Appendf(nil, "%s/%d", key, digest)})
	c.addOutcome(key, "served")
}

func (c *testCluster) addOutcome(key, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, callOutcome{key: key, outcome: outcome})
}

// maxRuns returns the largest number of runs of one key.
func (c *testCluster) maxRuns() int {
	most := 0
	for _, runs := range c.runs {
		most = max(most, len(runs))
	}
	return most
}

// countOutcomes returns how often callers got an outcome.
func (c *testCluster) countOutcomes(outcome string) int {
	n := 0
	for _, o := range c.outcomes {
		if o.outcome == outcome {
			n++
		}
	}
	return n
}
