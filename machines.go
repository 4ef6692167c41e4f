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

// listEvery is the time between two readings of the platform's host list.
const listEvery = time.Second

// machines reads the platform's host list and remembers it.
type machines struct {
	client hostlist.Client
	clock  clockwork.Clock
	log    *slog.Logger
	list   atomic.Pointer[machineList]
}

// machineList is one reading of the host list.
type machineList struct {
	hosts   []member.ListedHost
	leaving map[target.ID]bool
}

func newMachines(address string, clock clockwork.Clock, log *slog.Logger) *machines {
	m := &machines{clock: clock, log: log}
	m.list.Store(&machineList{})
	if address != "" {
		m.client = hostlist.NewClient(address)
	}
	return m
}

// Run reads the list until the context ends. A reading that fails leaves the
// last one in place.
func (m *machines) Run(ctx context.Context) error {
	if m.client == nil {
		<-ctx.Done()
		return nil
	}
	ticker := m.clock.NewTicker(listEvery)
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

func (m *machines) read(ctx context.Context) error {
	entries, err := m.client.List(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	m.list.Store(newMachineList(entries))
	return nil
}

func newMachineList(entries []hostlist.Entry) *machineList {
	list := &machineList{leaving: make(map[target.ID]bool)}
	for _, e := range entries {
		leaving := e.State == hostlist.StateLeaving
		switch {
		case e.Kind == hostlist.KindHost:
			list.hosts = append(list.hosts, member.ListedHost{
				Host:    fleet.HostID(e.Name),
				Domain:  e.Domain,
				Address: e.Address,
				Leaving: leaving,
			})
		case leaving:
			list.leaving[target.ID(e.Name)] = true
		}
	}
	return list
}

// Leaving reports whether a target is about to go.
func (m *machines) Leaving(id target.ID) bool { return m.list.Load().leaving[id] }

// Hosts reads the hosts of all domains. It does not answer from memory, since
// absence from the list is a proof that a host is gone.
func (m *machines) Hosts(ctx context.Context) ([]member.ListedHost, error) {
	entries, err := m.client.List(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return newMachineList(entries).hosts, nil
}
