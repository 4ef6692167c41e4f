package coordinator

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/peer"
	"hawthornway/platform"
)

const (
	// proxyAttempts is the number of other hosts that are tried for one call. The store
	// may refuse some of them too.
	proxyAttempts = 3
	// peerSilenceMargin is how much longer than the interval of its reports a host may be
	// silent until it counts as out of reach.
	peerSilenceMargin = 300 * time.Millisecond
	// proxyTimeout is the time after which another host is tried as well, and maxProxyTime
	// the longest time for all of them.
	proxyTimeout = 400 * time.Millisecond
	maxProxyTime = 3 * time.Second
	// A host that is cut off only shows that after the wait of a watch, which is therefore
	// at most maxProxyWait, and proxyWatchTimeout in place of proxyTimeout.
	maxProxyWait      = 500 * time.Millisecond
	proxyWatchTimeout = 200 * time.Millisecond
)

// errFewHostsReached means that the coordinator has lost most hosts, which are better
// served by another one.
var errFewHostsReached = errors.New("most hosts are out of reach")

// StoreProxy calls the store through other hosts, for a coordinator that the store
// refuses or that is cut off from it. Otherwise the fleet would lose its coordinator
// although most hosts reach it.
type StoreProxy struct {
	mesh  peer.Mesh
	store platform.Metadata
	clock clockwork.Clock
	// hosts returns the number of hosts in the fleet, including this one.
	hosts func() int
	// next rotates the hosts that are tried, and answered is the one through which a call
	// last succeeded. It is tried first: one that is cut off from the store itself doesn't
	// say so before its own call has timed out.
	next     atomic.Uint32
	answered atomic.Pointer[fleet.HostID]
}

// NewStoreProxy returns a StoreProxy. It registers the handlers that call the store for
// other hosts.
func NewStoreProxy(mesh peer.Mesh, store platform.Metadata, clock clockwork.Clock, hosts func() int) *StoreProxy {
	p := &StoreProxy{mesh: mesh, store: store, clock: clock, hosts: hosts}
	mesh.Handle(kindRenew, p.handleRenew)
	mesh.Handle(kindStoreRead, p.handleRead)
	return p
}

// KeepAlive renews a lease. It fails with platform.ErrLeaseEnded if the lease has ended.
func (p *StoreProxy) KeepAlive(ctx context.Context, lease platform.Lease) error {
	result, err := callThrough[wireRenewed](ctx, p, kindRenew, wireRenew{Lease: lease.Number, Era: lease.Era}, proxyTimeout)
	if err != nil {
		return err
	}
	if result.Ended {
		return platform.ErrLeaseEnded
	}
	return nil
}

// Range returns all entries under a prefix, as platform.Metadata does.
func (p *StoreProxy) Range(ctx context.Context, prefix string) ([]keyvalue.Entry, keyvalue.Revision, error) {
	result, err := callThrough[wireStoreEvents](ctx, p, kindStoreRead, wireStoreRead{Prefix: prefix}, proxyTimeout)
	if err != nil {
		return nil, 0, err
	}
	entries := make([]keyvalue.Entry, 0, len(result.Events))
	for _, event := range result.Events {
		entries = append(entries, event.entry())
	}
	return entries, result.At, nil
}

// Watch waits for changes, as platform.Metadata does, for at most maxProxyWait.
func (p *StoreProxy) Watch(ctx context.Context, prefix string, after keyvalue.Revision, wait time.Duration) ([]keyvalue.Event, keyvalue.Revision, error) {
	wait = min(wait, maxProxyWait)
	request := wireStoreRead{Prefix: prefix, Watch: true, After: after, Wait: wait.Milliseconds()}
	result, err := callThrough[wireStoreEvents](ctx, p, kindStoreRead, request, wait+proxyWatchTimeout)
	if err != nil {
		return nil, 0, err
	}
	if result.Restored {
		return nil, 0, platform.ErrRestored
	}
	if result.Compacted {
		return nil, 0, platform.ErrCompacted
	}
	events := make([]keyvalue.Event, 0, len(result.Events))
	for _, event := range result.Events {
		events = append(events, keyvalue.Event{Entry: event.entry(), Deleted: event.Deleted})
	}
	return events, result.At, nil
}

// callThrough asks other hosts, one after another, until one has called the store. A host
// that hasn't answered within a timeout may still do so while the next one is asked, since a
// large answer takes long over a slow link.
func callThrough[T any](ctx context.Context, p *StoreProxy, kind peer.Kind, request any, timeout time.Duration) (T, error) {
	type result struct {
		host   fleet.HostID
		answer T
		err    error
	}
	var none T
	peers, hosts := p.mesh.Peers(), p.hosts()
	maxSilence := reportInterval(hosts) + peerSilenceMargin
	peers = slices.DeleteFunc(peers, func(other peer.Peer) bool { return p.clock.Since(other.LastReceived) > maxSilence })
	if len(peers) == 0 || 2*(len(peers)+1) <= hosts {
		return none, errFewHostsReached
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+maxProxyTime)
	defer cancel()
	asked := p.choose(peers)
	attempts := len(asked)
	results := make(chan result, attempts)
	started, pending := 0, 0
	var err error
	for {
		if started < attempts {
			r := result{host: asked[started]}
			started, pending = started+1, pending+1
			go func() {
				r.err = p.mesh.Call(ctx, r.host, kind, request, &r.answer)
				results <- r
			}()
		}
		var next <-chan time.Time
		if started < attempts {
			next = p.clock.After(timeout)
		}
		select {
		case r := <-results:
			if r.err == nil {
				p.answered.Store(&r.host)
			}
			if r.err == nil || ctx.Err() != nil {
				return r.answer, trace.Wrap(r.err)
			}
			if err, pending = r.err, pending-1; pending == 0 && started == attempts {
				return none, trace.Wrap(err, "store through other hosts")
			}
		case <-next:
		}
	}
}

// choose returns the hosts to ask, in order: the one that answered last, then others by turns,
// each of a domain that isn't asked before if there is one.
func (p *StoreProxy) choose(peers []peer.Peer) []fleet.HostID {
	first := int(p.next.Add(1)) % len(peers)
	rest := slices.Concat(peers[first:], peers[:first])
	if answered := p.answered.Load(); answered != nil {
		slices.SortStableFunc(rest, func(a, b peer.Peer) int { return cmp.Compare(rank(a.Host != *answered), rank(b.Host != *answered)) })
	}
	var hosts []fleet.HostID
	domains := map[fleet.DomainID]bool{}
	for len(hosts) < proxyAttempts && len(rest) > 0 {
		i := max(0, slices.IndexFunc(rest, func(other peer.Peer) bool { return !domains[other.Domain] }))
		hosts = append(hosts, rest[i].Host)
		domains[rest[i].Domain] = true
		rest = slices.Delete(rest, i, i+1)
	}
	return hosts
}

// rank orders false before true.
func rank(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (p *StoreProxy) handleRenew(ctx context.Context, _ fleet.Member, body []byte) (any, error) {
	var request wireRenew
	if err := peer.Decode(body, &request); err != nil {
		return nil, trace.Wrap(err)
	}
	err := p.store.KeepAlive(ctx, platform.Lease{Number: request.Lease, Era: request.Era})
	if errors.Is(err, platform.ErrLeaseEnded) {
		return wireRenewed{Ended: true}, nil
	}
	return wireRenewed{}, trace.Wrap(err)
}

func (p *StoreProxy) handleRead(ctx context.Context, _ fleet.Member, body []byte) (any, error) {
	var request wireStoreRead
	if err := peer.Decode(body, &request); err != nil {
		return nil, trace.Wrap(err)
	}
	var result wireStoreEvents
	if !request.Watch {
		entries, at, err := p.store.Range(ctx, request.Prefix)
		for _, entry := range entries {
			result.Events = append(result.Events, wireStoreEvent{Key: entry.Key, Revision: entry.Revision, Value: entry.Value})
		}
		result.At = at
		return result, trace.Wrap(err)
	}
	events, at, err := p.store.Watch(ctx, request.Prefix, request.After, time.Duration(request.Wait)*time.Millisecond)
	if errors.Is(err, platform.ErrRestored) {
		return wireStoreEvents{Restored: true}, nil
	}
	if errors.Is(err, platform.ErrCompacted) {
		return wireStoreEvents{Compacted: true}, nil
	}
	for _, event := range events {
		result.Events = append(result.Events, wireStoreEvent{Key: event.Key, Revision: event.Revision, Value: event.Value, Deleted: event.Deleted})
	}
	result.At = at
	return result, trace.Wrap(err)
}
