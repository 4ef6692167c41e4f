package member

import (
	"context"
	"errors"
	"strings"

	"hawthornway/fleet"
	"hawthornway/keyvalue"
)

// writeRecord writes this domain's record and passes the result to the state
// machine.
func (c *Controller) writeRecord(e swapRecord) {
	value, err := e.record.encode(c.self.Domain)
	if err != nil {
		c.log.Error("member: record can't be encoded", "error", err)
		c.apply(swapEnded{result: swapUnavailable})
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	revision, err := c.store.Swap(ctx, recordKey(c.self.Domain), e.expected, value)
	result := swapResultOf(err)
	if result == swapSucceeded {
		c.log.Info("member: record written", "revision", revision, "reason", e.reason)
	} else {
		c.log.Info("member: record not written", "reason", e.reason, "error", err)
	}
	c.apply(swapEnded{result: result, revision: revision})
}

func swapResultOf(err error) swapResult {
	var conflict *keyvalue.ConflictError
	switch {
	case err == nil:
		return swapSucceeded
	case errors.As(err, &conflict):
		return swapConflict
	case errors.Is(err, keyvalue.ErrUnavailable) && !errors.Is(err, keyvalue.ErrUnknown):
		return swapUnavailable
	default:
		return swapUnknown
	}
}

// readRecords reads the records of all domains from the key-value service.
func (c *Controller) readRecords() {
	if _, err := c.listRecords(); err != nil {
		c.log.Info("member: records can't be read", "error", err)
		c.apply(readFailed{})
	}
}

// listRecords reads the records of all domains and returns the revision of the
// key-value service.
func (c *Controller) listRecords() (keyvalue.Revision, error) {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	entries, revision, err := c.store.List(ctx, keyPrefix)
	if err != nil {
		return 0, err
	}
	found := map[fleet.DomainID]bool{}
	for _, e := range entries {
		found[domainOf(e.Key)] = true
		c.learnEntry(e)
	}
	c.removeMissingRecords(found, revision)
	return revision, nil
}

func domainOf(key string) fleet.DomainID {
	return fleet.DomainID(strings.TrimPrefix(key, keyPrefix))
}

func (c *Controller) learnEntry(e keyvalue.Entry) {
	if err := c.learn(wireDomainRecord{Revision: e.Revision, Value: e.Value}, true); err != nil {
		c.log.Error("member: record can't be read", "key", e.Key, "error", err)
	}
}

// removeMissingRecords drops the records that the key-value service doesn't have.
func (c *Controller) removeMissingRecords(found map[fleet.DomainID]bool, revision keyvalue.Revision) {
	if !found[c.self.Domain] {
		c.removeRecord(c.self.Domain, revision)
	}
	for _, domain := range c.Domains() {
		if !found[domain] && domain != c.self.Domain {
			c.removeRecord(domain, revision)
		}
	}
}

func (c *Controller) removeRecord(domain fleet.DomainID, revision keyvalue.Revision) {
	if domain == c.self.Domain {
		c.apply(recordMissing{revision: revision})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view.remove(domain, revision) {
		c.notifyWaiters()
	}
}
