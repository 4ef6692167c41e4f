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

// hostListReader reads the platform's host list and remembers it.
type hostListReader struct {
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

func newHostListReader(address string, clock clockwork.Clock, log *slog.Logger) *hostListReader {
	m := &hostListReader{clock: clock, log: log}
	m.snapshot.Store(&hostListSnapshot{})
	if address != "" {
		m.client = hostlist.NewClient(address)
	}
	return m
}

// Run reads the list until the context ends. A reading that fails leaves the
// last one in place.
func (m *hostListReader) Run(ctx context.Context) error {
	if m.client == nil {
		<-ctx.Done()
		return nil
	}
	ticker := m.clock.NewTicker(hostListInterval)
	defer ticker.Stop()
	failing := false
	for {
		err := m.read(ctx)
		if err != nil && !failing {
			m.log.Warn("machines: host list can't be read", "error", err)
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

func (m *hostListReader) read(ctx context.Context) error {
	entries, err := m.client.List(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	m.snapshot.Store(newHostListSnapshot(entries))
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

// Draining reports whether a target is about to go.
func (m *hostListReader) Draining(id target.ID) bool { return m.snapshot.Load().draining[id] }

// Hosts reads the hosts of all domains. It does not answer from memory, since
// absence from the list is a proof that a host is gone.
func (m *hostListReader) Hosts(ctx context.Context) ([]member.ListedHost, error) {
	entries, err := m.client.List(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return newHostListSnapshot(entries).hosts, nil
}
