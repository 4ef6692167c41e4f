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

// hostListInterval is the polling interval of the platform's host list.
const hostListInterval = time.Second

// hostListReader polls the platform's host list and caches it.
type hostListReader struct {
	client   hostlist.Client
	clock    clockwork.Clock
	log      *slog.Logger
	snapshot atomic.Pointer[hostListSnapshot]
}

// hostListSnapshot is the host list as of one read.
type hostListSnapshot struct {
	hosts    []member.ListedHost
	draining map[target.ID]bool
}

func newHostListReader(address string, clock clockwork.Clock, log *slog.Logger) *hostListReader {
	r := &hostListReader{clock: clock, log: log}
	r.snapshot.Store(&hostListSnapshot{})
	if address != "" {
		r.client = hostlist.NewClient(address)
	}
	return r
}

// Run polls the list until the context is cancelled. After a failed read, the
// previous snapshot stays in use.
func (r *hostListReader) Run(ctx context.Context) error {
	if r.client == nil {
		<-ctx.Done()
		return nil
	}
	ticker := r.clock.NewTicker(hostListInterval)
	defer ticker.Stop()
	failing := false
	for {
		err := r.read(ctx)
		if err != nil && !failing {
			r.log.Warn("machines: could not read the host list", "error", err)
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

func (r *hostListReader) read(ctx context.Context) error {
	entries, err := r.client.List(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	r.snapshot.Store(newHostListSnapshot(entries))
	return nil
}

func newHostListSnapshot(entries []hostlist.Entry) *hostListSnapshot {
	list := &hostListSnapshot{draining: make(map[target.ID]bool)}
	for _, e := range entries {
		draining := e.State == hostlist.StateLeaving
		switch {
		case e.Kind == hostlist.KindHost:
			list.hosts = append(list.hosts, member.ListedHost{
				Host:    fleet.HostID(e.Name),
				Domain:  e.Domain,
				Address: e.Address,
				Leaving: draining,
			})
		case draining:
			list.draining[target.ID(e.Name)] = true
		}
	}
	return list
}

// Draining reports whether the host list marks a target for removal.
func (r *hostListReader) Draining(id target.ID) bool { return r.snapshot.Load().draining[id] }

// Hosts reads the hosts of all domains. It bypasses the cache, since a host that
// is missing from the list counts as removed for good.
func (r *hostListReader) Hosts(ctx context.Context) ([]member.ListedHost, error) {
	entries, err := r.client.List(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return newHostListSnapshot(entries).hosts, nil
}
