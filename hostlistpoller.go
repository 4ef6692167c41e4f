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

// hostListInterval is the time between two reads of the platform's host list.
const hostListInterval = time.Second

// hostListPoller polls the platform's host list and keeps the latest result.
type hostListPoller struct {
	client hostlist.Client
	clock  clockwork.Clock
	log    *slog.Logger
	latest atomic.Pointer[hostListSnapshot]
}

// hostListSnapshot is the result of one read of the host list.
type hostListSnapshot struct {
	hosts    []member.ListedHost
	draining map[target.ID]bool
}

func newHostListPoller(address string, clock clockwork.Clock, log *slog.Logger) *hostListPoller {
	p := &hostListPoller{clock: clock, log: log}
	p.latest.Store(&hostListSnapshot{})
	if address != "" {
		p.client = hostlist.NewClient(address)
	}
	return p
}

// Run polls the list until the context is cancelled. A failed read keeps the
// previous snapshot.
func (p *hostListPoller) Run(ctx context.Context) error {
	if p.client == nil {
		<-ctx.Done()
		return nil
	}
	ticker := p.clock.NewTicker(hostListInterval)
	defer ticker.Stop()
	failing := false
	for {
		err := p.read(ctx)
		if err != nil && !failing {
			p.log.Warn("hostlist: failed to read the platform's host list", "error", err)
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

func (p *hostListPoller) read(ctx context.Context) error {
	entries, err := p.client.List(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	p.latest.Store(newHostListSnapshot(entries))
	return nil
}

func newHostListSnapshot(entries []hostlist.Entry) *hostListSnapshot {
	snapshot := &hostListSnapshot{draining: make(map[target.ID]bool)}
	for _, e := range entries {
		leaving := e.State == hostlist.StateLeaving
		switch {
		case e.Kind == hostlist.KindHost:
			snapshot.hosts = append(snapshot.hosts, member.ListedHost{
				Host:    fleet.HostID(e.Name),
				Domain:  e.Domain,
				Address: e.Address,
				Leaving: leaving,
			})
		case leaving:
			snapshot.draining[target.ID(e.Name)] = true
		}
	}
	return snapshot
}

// Draining reports whether the platform is about to remove a target.
func (p *hostListPoller) Draining(id target.ID) bool { return p.latest.Load().draining[id] }

// Hosts reads the hosts of all domains. It always queries the platform, since
// absence from the list is taken as proof that a host is gone.
func (p *hostListPoller) Hosts(ctx context.Context) ([]member.ListedHost, error) {
	entries, err := p.client.List(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return newHostListSnapshot(entries).hosts, nil
}
