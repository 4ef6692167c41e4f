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

// hostListInterval is the interval at which the platform's host list is read.
const hostListInterval = time.Second

// hostListCache reads the platform's host list periodically and caches it.
type hostListCache struct {
	client   hostlist.Client
	clock    clockwork.Clock
	log      *slog.Logger
	snapshot atomic.Pointer[hostListSnapshot]
}

// hostListSnapshot is the content of the host list at one time.
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

// Run reads the list until the context ends. If a read fails, the last snapshot
// stays in use.
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
			c.log.Warn("host list: reading failed; using the last known list", "error", err)
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

// Draining reports whether the host list marks a target as leaving.
func (c *hostListCache) Draining(id target.ID) bool { return c.snapshot.Load().draining[id] }

// Hosts reads the hosts of all domains from the platform. It does not use the
// cache, since absence from the list is taken as proof that a host is gone.
func (c *hostListCache) Hosts(ctx context.Context) ([]member.ListedHost, error) {
	entries, err := c.client.List(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return newHostListSnapshot(entries).hosts, nil
}
