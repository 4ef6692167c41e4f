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

// hostListReader reads the platform's host list periodically and keeps the last
// one.
type hostListReader struct {
	client hostlist.Client
	clock  clockwork.Clock
	log    *slog.Logger
	last   atomic.Pointer[hostListSnapshot]
}

// hostListSnapshot is the host list at the time of one read.
type hostListSnapshot struct {
	hosts           []member.ListedHost
	drainingTargets map[target.ID]bool
}

func newHostListReader(address string, clock clockwork.Clock, log *slog.Logger) *hostListReader {
	r := &hostListReader{clock: clock, log: log}
	r.last.Store(&hostListSnapshot{})
	if address != "" {
		r.client = hostlist.NewClient(address)
	}
	return r
}

// Run reads the list periodically until the context ends. If a read fails, the
// last list stays in use. Only the first of several consecutive failures is
// logged.
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
			r.log.Warn("machines: cannot read the host list; the last one stays in use", "error", err)
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
	r.last.Store(newHostListSnapshot(entries))
	return nil
}

func newHostListSnapshot(entries []hostlist.Entry) *hostListSnapshot {
	snapshot := &hostListSnapshot{drainingTargets: make(map[target.ID]bool)}
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
			snapshot.drainingTargets[target.ID(e.Name)] = true
		}
	}
	return snapshot
}

// Draining reports whether the platform is about to remove a target.
func (r *hostListReader) Draining(id target.ID) bool { return r.last.Load().drainingTargets[id] }

// Hosts reads the hosts of all domains from the platform. It does not use the last
// list, since a host's absence is taken as proof that it is gone.
func (r *hostListReader) Hosts(ctx context.Context) ([]member.ListedHost, error) {
	entries, err := r.client.List(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return newHostListSnapshot(entries).hosts, nil
}
