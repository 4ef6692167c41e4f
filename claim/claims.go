// Package claim prevents calls to routes that are not idempotent from running
// more than once. A call with an Idempotency-Key is claimed in the platform's
// key-value service before it is sent, so that repeats at other hosts find the
// claim.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/team"
)

// The prefix of claim keys, and the timeouts and retry delays.
const (
	keyPrefix       = "claim/"
	minRetryDelay   = 20 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
	writeEndTimeout = 5 * time.Second
	// maxOutageWait is how long a call waits for a failing key-value service.
	maxOutageWait = 3 * time.Second
	// eraCheckInterval is how often a host looks whether the service has returned from an
	// older copy, and settleTime how long no new call is claimed after it has, while all
	// hosts write the claims again that they remember.
	eraCheckInterval = 250 * time.Millisecond
	settleTime       = 5 * time.Second
	// memoryTime is how long a host remembers a claim after its last write, which is longer
	// than a copy is old. MaxRemembered limits their number, and maxRememberedBody the bodies
	// of their responses.
	memoryTime        = 2 * time.Minute
	maxRemembered     = 5000
	maxRememberedBody = 1 << 10
)

// Request is a call with an idempotency key to a route that is not idempotent.
type Request struct {
	Route string
	Team  team.ID
	// Key is the caller's Idempotency-Key.
	Key string
	// Digest is the hash of the method, path and body.
	Digest [sha256.Size]byte
	// Attempt identifies the call in logs and in the record. It need not be unique,
	// since each Begin creates its own token.
	Attempt string
}

// recordKey returns the key of the request's claim in the key-value service.
func (r Request) recordKey() string {
	hash := sha256.New()
	for _, part := range []string{r.Route, string(r.Team), r.Key} {
		partHash := sha256.Sum256([]byte(part))
		hash.Write(partHash[:])
	}
	return keyPrefix + hex.EncodeToString(hash.Sum(nil))
}

// Claims decides which of several calls with the same key may be sent.
type Claims interface {
	// Begin returns Run for the one call that may be sent, and Replay or Refuse
	// for every repeat. It waits for a running call until the context's deadline.
	// It returns an error only for a record that can't be decoded.
	Begin(ctx context.Context, request Request) (Decision, error)
	// Run retries failed writes until the context ends.
	Run(ctx context.Context) error
	// Pending returns the number of pending writes.
	Pending() int
}

// Option changes a setting of Claims.
type Option func(*claims)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(c *claims) { c.clock = clock }
}

// WithHost sets the host that is stored in records.
func WithHost(host fleet.HostID) Option {
	return func(c *claims) { c.host = host }
}

// WithTokenSource sets the function that creates the tokens that identify
// claimants. Each token must be unique among all hosts for all time.
func WithTokenSource(newToken func() string) Option {
	return func(c *claims) { c.newToken = newToken }
}

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option {
	return func(c *claims) { c.log = log }
}

// New returns new Claims over the platform's key-value service.
func New(store keyvalue.Store, opts ...Option) Claims {
	c := &claims{
		store:    store,
		clock:    clockwork.NewRealClock(),
		newToken: uuid.NewString,
		log:      slog.Default(),
		pending:  make(map[string]pendingEnd),

		remembered:  make(map[string]rememberedClaim),
		unconfirmed: make(map[string]bool),
		wake:        make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

type claims struct {
	store    keyvalue.Store
	clock    clockwork.Clock
	host     fleet.HostID
	newToken func() string
	log      *slog.Logger
	// ignoreConflicts lets calls be sent although another call has the claim. Only
	// mutation tests set it.
	ignoreConflicts bool

	mu      sync.Mutex
	pending map[string]pendingEnd
	wake    chan struct{}
	// era is the service's era, and settledAt when new calls may be claimed in it.
	era       keyvalue.Era
	settledAt time.Time
	// remembered holds the last record of this host's recent claims by key. Those that may be
	// missing in the service are unconfirmed.
	remembered  map[string]rememberedClaim
	unconfirmed map[string]bool
}

// rememberedClaim is a claim of this host, as it last wrote it.
type rememberedClaim struct {
	record record
	at     time.Time
}

// pendingEnd is the end of a call that has not been written yet.
type pendingEnd struct {
	key string
	end record
}

// Begin implements Claims.
func (c *claims) Begin(ctx context.Context, request Request) (Decision, error) {
	own := record{
		State:   stateRunning,
		Token:   c.newToken(),
		Attempt: request.Attempt,
		Host:    c.host,
		Digest:  hex.EncodeToString(request.Digest[:]),
	}
	key := request.recordKey()
	written := false
	running := false
	failingSince := time.Time{}
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		decision, after, maybeWritten, err := c.tryClaim(ctx, key, own)
		written = written || maybeWritten
		if decision != nil || trace.IsBadParameter(err) {
			return decision, err
		}
		switch {
		case err == nil:
			running = true
			failingSince = time.Time{}
		case failingSince.IsZero():
			failingSince = c.clock.Now()
		case c.clock.Since(failingSince) > maxOutageWait:
			return c.refuseUndecided(key, own, written, running, err), nil
		}
		if !c.waitForChange(ctx, key, after, delay, err) {
			return c.refuseUndecided(key, own, written, running, err), nil
		}
	}
}

// tryClaim reads the claim, and creates it or takes it over if it is free. It
// returns no decision while another call runs (with the claim's revision) or if the
// service fails (with an error). The third result is true if a write of this call
// has taken effect or may still do so.
func (c *claims) tryClaim(ctx context.Context, key string, own record) (Decision, keyvalue.Revision, bool, error) {
	found, revision, err := c.read(ctx, key)
	if err != nil {
		return nil, 0, false, trace.Wrap(err)
	}
	era, settled := c.observeEra()
	if found.Token == own.Token && found.State == stateRunning {
		return c.newRun(key, own, revision, era), 0, true, nil
	}
	if !found.isClaimable() && !c.ignoreConflicts {
		return found.decideRepeat(own.Digest), revision, false, nil
	}
	if !settled {
		return nil, 0, false, errNotSettled
	}
	newRevision, err := c.store.Swap(ctx, key, revision, own.encode())
	if now, _ := c.observeEra(); err == nil && now != era && !c.ignoreConflicts {
		// Another host may have claimed the call in the former era.
		return nil, 0, true, errNotSettled
	}
	var conflict *keyvalue.ConflictError
	switch {
	case err == nil, c.ignoreConflicts:
		return c.newRun(key, own, newRevision, era), 0, true, nil
	case errors.As(err, &conflict), errors.Is(err, keyvalue.ErrUnavailable):
		return nil, 0, false, trace.Wrap(err)
	}
	return nil, 0, true, trace.Wrap(err)
}

// errNotSettled means that claims may be missing, since the service has returned from an older
// copy.
var errNotSettled = errors.New("the key-value service has returned from an older copy, and claims may be missing")

// waitForChange waits for a change of the claim, or for a delay if the last attempt
// to claim or the watch failed. It returns false if the context has ended.
func (c *claims) waitForChange(ctx context.Context, key string, after keyvalue.Revision, delay time.Duration, lastErr error) bool {
	if lastErr == nil {
		_, _, err := c.store.Watch(ctx, key, after)
		if err == nil {
			return ctx.Err() == nil
		}
	}
	select {
	case <-ctx.Done():
		return false
	case <-c.clock.After(delay):
		return true
	}
}

// refuseUndecided refuses a call for which no decision was possible in time.
func (c *claims) refuseUndecided(key string, own record, written, running bool, err error) Decision {
	if written {
		c.writeLater(key, own.ended(c.clock.Now(), stateAbandoned, nil))
	}
	c.log.Debug("claim: call refused without a decision", "key", key, "running", running, "error", err)
	if running {
		return refuseUnknownEnd()
	}
	return refuseUnsafe()
}

// read returns the claim and its revision. Both are zero if the claim is missing.
func (c *claims) read(ctx context.Context, key string) (record, keyvalue.Revision, error) {
	entry, err := c.store.Get(ctx, key)
	if errors.Is(err, keyvalue.ErrNotFound) {
		return record{}, 0, nil
	}
	if err != nil {
		return record{}, 0, trace.Wrap(err)
	}
	found, err := decodeRecord(entry.Value)
	return found, entry.Revision, trace.Wrap(err)
}

func (c *claims) newRun(key string, own record, revision keyvalue.Revision, era keyvalue.Era) Decision {
	c.remember(key, own)
	return Run{Claim: &claim{claims: c, key: key, runningRecord: own, revision: revision, era: era}}
}
