package claim

import (
	"context"
	"maps"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/keyvalue"
)

// observeEra returns the service's era, and whether new calls may be claimed in it. After the
// service has returned from an older copy, this host's claims may be missing there. A host
// that starts in a later era than the first can't know when that began.
func (c *claims) observeEra() (era keyvalue.Era, settled bool) {
	era = c.store.Era()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if era > c.era {
		c.log.Warn("claim: the key-value service is in a later era; writing claims again and claiming no new calls for a while", "era", era, "claims", len(c.remembered))
		c.era, c.settledAt = era, now.Add(settleTime)
		c.forget(now)
		for key := range c.remembered {
			c.unconfirmed[key] = true
		}
	}
	return era, !now.Before(c.settledAt)
}

// remember keeps a claim of this host for the case that the service loses it.
func (c *claims) remember(key string, r record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if r.Response != nil && len(r.Response.Body) > maxRememberedBody {
		r.Response, r.TooLarge = nil, true
	}
	if len(c.remembered) >= maxRemembered {
		c.forget(now)
	}
	if len(c.remembered) < maxRemembered || c.remembered[key].record.Token != "" {
		c.remembered[key] = rememberedClaim{record: r, at: now}
	}
}

// forget drops claims that are older than any copy of the service.
func (c *claims) forget(now time.Time) {
	maps.DeleteFunc(c.remembered, func(_ string, old rememberedClaim) bool { return now.Sub(old.at) > memoryTime })
}

// confirm writes the claims again that the service may have lost. It returns the number of
// those that remain.
func (c *claims) confirm(ctx context.Context) int {
	c.mu.Lock()
	lost := make(map[string]record, len(c.unconfirmed))
	for key := range c.unconfirmed {
		lost[key] = c.remembered[key].record
	}
	c.mu.Unlock()
	for key, r := range lost {
		if err := c.confirmClaim(ctx, key, r); err != nil {
			c.log.Debug("claim: claim not written again yet", "key", key, "error", err)
			continue
		}
		c.mu.Lock()
		delete(c.unconfirmed, key)
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unconfirmed)
}

// confirmClaim writes a claim again unless the service has it. What it has instead is older:
// of all claims of a call, only one is not abandoned, and only its host remembers it.
func (c *claims) confirmClaim(ctx context.Context, key string, r record) error {
	ctx, cancel := withClockTimeout(ctx, c, writeEndTimeout)
	defer cancel()
	found, revision, err := c.read(ctx, key)
	if err != nil {
		return trace.Wrap(err)
	}
	same := found.Token == r.Token
	if same && found.State == r.State || !same && r.State == stateAbandoned {
		return nil
	}
	_, err = c.store.Swap(ctx, key, revision, r.encode())
	return trace.Wrap(err)
}
