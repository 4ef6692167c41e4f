package hawthornway

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"hawthornway/fleet"
	"hawthornway/hostlist"
	"hawthornway/member"
	"hawthornway/target"
)

// hostListInterval is the time between two readings of the platform's host list.
const hostListInterval = time.Second

// hostListCache reads the platform's host list and remembers it.
type hostListCache struct {
	client   hostlist.Client
	clock    clockwork.Clock
	log      *slog.Logger
	snapshot atomic.Pointer[hostListSnapshot]
}

// hostListSnapshot is one reading of the host list.
type hostListSnapshot struct {
	hosts    []member.ListedHost
	draining map[target.ID]bool
}

func newHostListCache(address string, clock clockwork.Clock, log *slog.Logger) *hostListCache {
	c := &hostListCache{clock: clock, log: log}
	c.snapshot.Store(&hostListSnapshot{})
	if address != "" {
		c.client = hostlist.NewClient(address)
	}
	return c
}

// Run reads the list until the context ends. A reading that fails leaves the
// last one in place.
func (c *hostListCache) Run(ctx context.Context) error {
	if c.client == nil {
		<-ctx.Done()
		return nil
	}
	ticker := c.clock.NewTicker(hostListInterval)
	defer ticker.Stop()
	failing := false
	for {
		err := c.read(ctx)
		if err != nil && !failing {
			c.log.Warn("machines: host list can't be read", "error", err)
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

func (c *hostListCache) read(ctx context.Context) error {
	entries, err := c.client.List(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	c.snapshot.Store(newHostListSnapshot(entries))
	return nil
}

func newHostListSnapshot(entries []hostlist.Entry) *hostListSnapshot {
	snapshot := &hostListSnapshot{draining: make(map[target.ID]bool)}
	for _, e := range entries {
		draining := e.State == hostlist.StateLeaving
		switch {
		case e.Kind == hostlist.KindHost:
			snapshot.hosts = append(snapshot.hosts, member.ListedHost{
				Host:    fleet.HostID(e.Name),
				Domain:  e.Domain,
				Address: e.Address,
				Leaving: draining,
			})
		case draining:
			snapshot.draining[target.ID(e.Name)] = true
		}
	}
	return snapshot
}

// Draining reports whether a target is about to go.
func (c *hostListCache) Draining(id target.ID) bool { return c.snapshot.Load().draining[id] }

// Hosts reads the hosts of all domains. It does not answer from memory, since
// absence from the list is a proof that a host is gone.
func (c *hostListCache) Hosts(ctx context.Context) ([]member.ListedHost, error) {
	entries, err := c.client.List(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return newHostListSnapshot(entries).hosts, nil
}
