package claim

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/keyvalue"
)

// maxPendingResponses limits the number of responses that wait to be written. Beyond
// it only the end of a call is kept, without its response.
const maxPendingResponses = 128

// Claim is the right to send one call. Exactly one of Finish, Abandon and
// Unknown ends it. Each of them writes the end, and leaves the write to Claims.Run
// if the key-value service fails; the error is for logs only.
type Claim interface {
	// Finish stores the target's complete response for repeats.
	Finish(ctx context.Context, response Response) error
	// Abandon records that the call has not run and won't be sent any more. A
	// repeat may then run.
	Abandon(ctx context.Context) error
	// Unknown records that the call may have run and that its response will never be
	// known. No repeat will run.
	Unknown(ctx context.Context) error
}

type claim struct {
	claims *claims
	key    string
	// runningRecord is the claim's record as it is stored while the call runs.
	runningRecord record
	revision      keyvalue.Revision
	// era is that of the revision.
	era keyvalue.Era
}

// Finish implements Claim.
func (c *claim) Finish(ctx context.Context, response Response) error {
	return c.end(ctx, c.runningRecord.ended(c.claims.clock.Now(), stateDone, &response))
}

// Abandon implements Claim.
func (c *claim) Abandon(ctx context.Context) error {
	return c.end(ctx, c.runningRecord.ended(c.claims.clock.Now(), stateAbandoned, nil))
}

// Unknown implements Claim.
func (c *claim) Unknown(ctx context.Context) error {
	return c.end(ctx, c.runningRecord.ended(c.claims.clock.Now(), stateUnknown, nil))
}

func (c *claim) end(ctx context.Context, ended record) error {
	c.claims.remember(c.key, ended)
	if c.claims.store.Era() != c.era {
		// The revision may stand for another record.
		c.claims.writeLater(c.key, ended)
		return errNotSettled
	}
	_, err := c.claims.store.Swap(ctx, c.key, c.revision, ended.encode())
	if err != nil {
		c.claims.writeLater(c.key, ended)
	}
	return trace.Wrap(err)
}

// writeLater queues the end of a call to be written by Run.
func (c *claims) writeLater(key string, ended record) {
	c.mu.Lock()
	if len(c.pending) >= maxPendingResponses && ended.Response != nil {
		ended.Response = nil
		ended.TooLarge = true
	}
	c.pending[ended.Token] = pendingEnd{key: key, end: ended}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Pending implements Claims.
func (c *claims) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// Run implements Claims.
func (c *claims) Run(ctx context.Context) error {
	for delay := minRetryDelay; ; {
		c.observeEra()
		if c.writePending(ctx)+c.confirm(ctx) == 0 {
			delay = minRetryDelay
			select {
			case <-ctx.Done():
				return nil
			case <-c.wake:
			case <-c.clock.After(eraCheckInterval):
			}
			continue
		}
		if !c.waitFor(ctx, delay) {
			return nil
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// waitFor waits for a delay. It returns false if the context ends first.
func (c *claims) waitFor(ctx context.Context, delay time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c.clock.After(delay):
		return true
	}
}

// writePending tries each pending write once and returns the number of those that
// remain.
func (c *claims) writePending(ctx context.Context) int {
	c.mu.Lock()
	all := make([]pendingEnd, 0, len(c.pending))
	for _, pending := range c.pending {
		all = append(all, pending)
	}
	c.mu.Unlock()
	for _, pending := range all {
		if err := c.writeEnd(ctx, pending); err != nil {
			c.log.Debug("claim: end of the call not written yet", "key", pending.key, "error", err)
			continue
		}
		c.mu.Lock()
		delete(c.pending, pending.end.Token)
		c.mu.Unlock()
	}
	return c.Pending()
}

// writeEnd writes the end of a call if its claim is still running. If the claim is
// missing, the write that creates it may still be in flight. The end is then
// written instead, so that the late write conflicts with it.
func (c *claims) writeEnd(ctx context.Context, pending pendingEnd) error {
	ctx, cancel := withClockTimeout(ctx, c, writeEndTimeout)
	defer cancel()
	found, revision, err := c.read(ctx, pending.key)
	if err != nil {
		return trace.Wrap(err)
	}
	ours := found.Token == pending.end.Token && found.State == stateRunning
	if !ours && revision != 0 {
		return nil
	}
	_, err = c.store.Swap(ctx, pending.key, revision, pending.end.encode())
	var conflict *keyvalue.ConflictError
	if errors.As(err, &conflict) {
		return trace.Wrap(err, "claim has changed meanwhile")
	}
	return trace.Wrap(err)
}

// withClockTimeout returns a context that ends after a timeout by the clock of the
// claims.
func withClockTimeout(ctx context.Context, c *claims, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := c.clock.AfterFunc(timeout, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}
