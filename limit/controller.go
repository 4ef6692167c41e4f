package limit

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/member"
	"hawthornway/outcome"
	"hawthornway/peer"
	"hawthornway/team"
)

// Controller limits the teams' requests at this host and runs the ledgers of the
// shards that the host has leased.
type Controller interface {
	Limiter
	// Run reports to ledgers and divides limits among domains until the context
	// ends.
	Run(ctx context.Context) error
	// Forget transfers the shares of a failure domain to the others, for all
	// teams. The caller must make sure that no host of the domain admits requests
	// any more, since it could still spend tokens of the old shares. It can be
	// repeated after an error.
	Forget(ctx context.Context, domain fleet.DomainID) error
	// CanRelease reports whether no write for a shard's ledgers is in progress. It
	// is for member.WithReleaseCheck.
	CanRelease(shard member.Shard) bool
}

// Option changes a setting of a Controller.
type Option func(*controller)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(c *controller) { c.clock = clock }
}

// WithDomains sets the function that returns the configured failure domains.
// Required.
func WithDomains(domains func() []fleet.DomainID) Option {
	return func(c *controller) { c.ledgers.domains = domains }
}

// WithTeams sets the function that returns all configured teams, whose ledgers are
// opened ahead of requests. Without it, a ledger is opened by its first request.
func WithTeams(teams func() []team.ID) Option {
	return func(c *controller) { c.ledgers.teams = teams }
}

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option {
	return func(c *controller) { c.ledgers.log = log }
}

// New returns a new Controller. It registers its handlers with the mesh, so it must
// be called before the mesh runs.
func New(own Ownership, mesh peer.Mesh, store keyvalue.Store, limits Limits, opts ...Option) Controller {
	c := &controller{
		ownership: own,
		mesh:      mesh,
		limits:    limits,
		clock:     clockwork.NewRealClock(),
		ledgers: &ledgerManager{
			ownership:      own,
			mesh:           mesh,
			store:          store,
			limits:         limits,
			domains:        func() []fleet.DomainID { return nil },
			teams:          func() []team.ID { return nil },
			log:            slog.Default(),
			changedRecords: make(chan *managedLedger, maxChangedRecords),
		},
	}
	for _, opt := range opts {
		opt(c)
	}
	c.ledgers.clock = c.clock
	c.registerHandlers()
	return c
}

const (
	// cacheShardCount is the number of shards of the map of token caches, each with
	// its own mutex.
	cacheShardCount = 64
	// maxTokenWait is the longest time that a request waits for tokens. Callers
	// that are refused retry after a second or more.
	maxTokenWait = time.Second
	// maxHandoverWait is the longest time that a request waits for a ledger that
	// is handed over to another host: three membership rounds of half a second, one
	// of which may fail with a write conflict, and the opening of the ledger.
	maxHandoverWait = 2500 * time.Millisecond
	// maxWaitingRequests is the largest number of requests of one team that wait at
	// a host.
	maxWaitingRequests = 64
	// maxChangedRecords is the size of the queue of ledgers whose changed records are
	// read early. Others wait for the next round of reconciliation.
	maxChangedRecords = 256
)

type controller struct {
	ownership   Ownership
	mesh        peer.Mesh
	limits      Limits
	clock       clockwork.Clock
	ledgers     *ledgerManager
	cacheShards [cacheShardCount]tokenCacheShard
	// runContext is the context that Run was called with; nil before.
	runContext atomic.Pointer[context.Context]
}

type tokenCacheShard struct {
	mu     sync.Mutex
	caches map[team.ID]*tokenCache
	// dirty holds the caches that have tokens or something to report.
	dirty map[*tokenCache]bool
}

// Reserve implements Limiter.
func (c *controller) Reserve(ctx context.Context, id team.ID, maxTokens team.Tokens) (Charge, *Refusal) {
	limit, known := c.limits(id)
	if !known {
		return nil, refuseUnknownTeam()
	}
	if maxTokens > limit.Burst {
		return nil, refuseTooLarge(maxTokens, limit.Burst)
	}
	cache := c.tokenCache(id)
	need := toMicroTokens(maxTokens)
	defer cache.waiting.Add(-1)
	waiting := cache.waiting.Add(1)
	if waiting == 1 {
		if charged := c.chargeCached(cache, need); charged != nil {
			return charged, nil
		}
	}
	if waiting > maxWaitingRequests {
		return nil, c.refuse(cache, c.rankedAccounts(cache), need)
	}
	return c.chargeInOrder(ctx, cache, need)
}

// chargeInOrder charges a request after all earlier ones have been charged or
// refused, so that small requests can't starve a large one.
func (c *controller) chargeInOrder(ctx context.Context, cache *tokenCache, need MicroTokens) (Charge, *Refusal) {
	start := c.clock.Now()
	if !cache.lockBorrowing(ctx) {
		return nil, refuseDeadline()
	}
	defer cache.unlockBorrowing()
	for {
		charge, refusal := c.borrowAndCharge(ctx, cache, need)
		if refusal == nil || !c.waitForRetry(ctx, start, refusal) {
			return charge, refusal
		}
	}
}

// waitForRetry waits until a refused request may be tried again, if that is soon
// enough to spare the caller a retry. It reports whether to try again.
func (c *controller) waitForRetry(ctx context.Context, start time.Time, refusal *Refusal) bool {
	pause, maxWait := refusal.RetryAfter, maxTokenWait
	switch {
	case refusal.notLeased:
		pause, maxWait = notLeasedDelay, maxHandoverWait
	case refusal.Reason != outcome.ReasonRate:
		return false
	}
	if c.clock.Since(start)+pause > maxWait {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-c.clock.After(pause):
		return true
	}
}

// Run implements Controller.
func (c *controller) Run(ctx context.Context) error {
	c.runContext.Store(&ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.ledgers.run(ctx)
	}()
	ticker := c.clock.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			<-done
			return nil
		case <-ticker.Chan():
			c.reportAll(ctx)
		}
	}
}

// Forget implements Controller.
func (c *controller) Forget(ctx context.Context, domain fleet.DomainID) error {
	return trace.Wrap(c.ledgers.forgetDomain(ctx, domain))
}

// CanRelease implements Controller.
func (c *controller) CanRelease(shard member.Shard) bool {
	return c.ledgers.canRelease(shard)
}

// tokenCache returns the cache of a team, which it creates if needed.
func (c *controller) tokenCache(id team.ID) *tokenCache {
	s := c.cacheShard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	cache := s.caches[id]
	if cache != nil {
		return cache
	}
	if s.caches == nil {
		s.caches = make(map[team.ID]*tokenCache)
		s.dirty = make(map[*tokenCache]bool)
	}
	cache = newTokenCache(id, c.ownership.Self().Domain)
	s.caches[id] = cache
	return cache
}

// chargeCached charges a request with cached tokens, or returns nil if there are
// too few.
func (c *controller) chargeCached(cache *tokenCache, n MicroTokens) *charge {
	charged := cache.charge(c.clock.Now(), n)
	if charged == nil {
		return nil
	}
	charged.scheduleReport, charged.clock = c.scheduleReport, c.clock
	c.markDirty(cache)
	return charged
}

// markDirty includes a cache in the next round of reports.
func (c *controller) markDirty(cache *tokenCache) {
	s := c.cacheShard(cache.team)
	s.mu.Lock()
	s.dirty[cache] = true
	s.mu.Unlock()
}

// registerHandlers registers the handlers of messages from other hosts.
func (c *controller) registerHandlers() {
	c.mesh.Handle(kindGrant, func(ctx context.Context, from fleet.Member, body []byte) (any, error) {
		var request grantRequest
		if err := peer.Decode(body, &request); err != nil {
			return nil, trace.Wrap(err)
		}
		return c.ledgers.serve(ctx, from.Domain, request), nil
	})
	c.mesh.Handle(kindSettle, func(ctx context.Context, from fleet.Member, body []byte) (any, error) {
		var request settleRequest
		if err := peer.Decode(body, &request); err != nil {
			return nil, trace.Wrap(err)
		}
		return c.ledgers.applyReports(ctx, from.Domain, request), nil
	})
	c.mesh.Handle(kindInherit, func(_ context.Context, _ fleet.Member, body []byte) (any, error) {
		var request inheritRequest
		if err := peer.Decode(body, &request); err != nil {
			return nil, trace.Wrap(err)
		}
		return c.ledgers.handOver(request), nil
	})
	c.mesh.Handle(kindRaised, func(_ context.Context, _ fleet.Member, body []byte) (any, error) {
		var notice raisedNotice
		if err := peer.Decode(body, &notice); err != nil {
			return nil, trace.Wrap(err)
		}
		c.ledgers.recordChanged(notice.Team)
		return nil, nil
	})
}

// timeout returns a context that is cancelled after a time by the controller's
// clock.
func (c *controller) timeout(ctx context.Context, bound time.Duration) (context.Context, context.CancelFunc) {
	return c.ledgers.timeout(ctx, bound)
}
