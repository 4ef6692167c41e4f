package coordinator

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/peer/peertest"
	"hawthornway/platform"
	"hawthornway/platform/platformtest"
)

// The store refuses the coordinator's host and one of three others. Calls through the
// others have the results and the errors of direct ones, and fail if the store refuses
// all.
func TestStoreProxyOfRefusedCoordinator(t *testing.T) {
	store, refusing := platformtest.NewStore(), platformtest.NewStore()
	defer store.Close()
	defer refusing.Close()
	refusing.SetDown(true)
	store.Put("servers/e1", "engine")
	direct := platform.NewMetadata(store.Address())
	network := peertest.NewNetwork(1)
	fleetHosts := 4
	join := func(host fleet.HostID, m platform.Metadata) *StoreProxy {
		return NewStoreProxy(network.Join(fleet.Member{Host: host, Incarnation: 1}), m, clockwork.NewRealClock(), func() int { return fleetHosts })
	}
	proxy := join("coordinator", platform.NewMetadata(refusing.Address()))
	join("a", platform.NewMetadata(refusing.Address()))
	join("b", direct)
	join("c", direct)

	lease, err := direct.Grant(t.Context(), time.Minute)
	must.NoError(t, err)
	for range 4 { // whichever host is tried first
		must.NoError(t, proxy.KeepAlive(t.Context(), lease))
	}
	must.ErrorIs(t, proxy.KeepAlive(t.Context(), platform.Lease{Number: lease.Number + 1, Era: lease.Era}), platform.ErrLeaseEnded)

	wantEntries, wantAt, err := direct.Range(t.Context(), "servers/")
	must.NoError(t, err)
	entries, at, err := proxy.Range(t.Context(), "servers/")
	must.NoError(t, err)
	must.Eq(t, wantEntries, entries)
	must.Eq(t, wantAt, at)

	store.Put("servers/e2", "engine")
	store.Delete("servers/e1")
	wantEvents, wantAt, err := direct.Watch(t.Context(), "", at, time.Second)
	must.NoError(t, err)
	events, until, err := proxy.Watch(t.Context(), "", at, time.Second)
	must.NoError(t, err)
	must.Eq(t, wantEvents, events)
	must.Eq(t, wantAt, until)

	store.Compact()
	_, _, err = proxy.Watch(t.Context(), "", at, time.Second)
	must.ErrorIs(t, err, platform.ErrCompacted)

	store.SetDown(true)
	_, _, err = proxy.Range(t.Context(), "")
	must.Error(t, err)
	must.Error(t, proxy.KeepAlive(t.Context(), lease))
	must.NotEq[keyvalue.Revision](t, 0, at)

	// Cut off from the store and from half of the fleet, a coordinator must let go.
	store.SetDown(false)
	fleetHosts = 8
	must.ErrorIs(t, proxy.KeepAlive(t.Context(), lease), errFewHostsReached)
	_, _, err = proxy.Range(t.Context(), "")
	must.ErrorIs(t, err, errFewHostsReached)
}

// slowStore is a store that takes some time to answer reads, as over a slow link.
type slowStore struct {
	platform.Metadata
	delay time.Duration
	reads atomic.Int32
}

func (s *slowStore) Range(ctx context.Context, _ string) ([]keyvalue.Entry, keyvalue.Revision, error) {
	s.reads.Add(1)
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(s.delay):
		return []keyvalue.Entry{{Key: "k", Revision: 3}}, 3, nil
	}
}

// The store refuses the coordinator while the configuration is large, and all hosts that
// it asks have slow links. It must get the answer of the first one, and ask no more than
// a few.
func TestStoreProxyWaitsForSlowHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := peertest.NewNetwork(1)
		hosts := func() int { return 6 }
		proxy := NewStoreProxy(network.Join(fleet.Member{Host: "coordinator", Incarnation: 1}), nil, clockwork.NewRealClock(), hosts)
		stores := make([]*slowStore, 5)
		for i := range stores {
			stores[i] = &slowStore{delay: 1500 * time.Millisecond}
			NewStoreProxy(network.Join(fleet.Member{Host: fleet.HostID(rune('a' + i)), Incarnation: 1}), stores[i], clockwork.NewRealClock(), hosts)
		}
		start := time.Now()
		entries, at, err := proxy.Range(t.Context(), "k")
		must.NoError(t, err)
		must.SliceLen(t, 1, entries)
		must.Eq(t, 3, at)
		must.LessEq(t, 1600*time.Millisecond, time.Since(start))
		reads := int32(0)
		for _, s := range stores {
			reads += s.reads.Load()
		}
		must.LessEq(t, proxyAttempts, reads)
		time.Sleep(maxProxyTime) // ends the other calls
	})
}

// watchedStore is a store without changes. If it is silent, it never answers.
type watchedStore struct {
	platform.Metadata
	silent  bool
	watches atomic.Int32
}

func (s *watchedStore) Watch(_ context.Context, _ string, after keyvalue.Revision, wait time.Duration) ([]keyvalue.Event, keyvalue.Revision, error) {
	s.watches.Add(1)
	if s.silent {
		time.Sleep(2 * maxProxyTime)
		return nil, 0, keyvalue.ErrUnknown
	}
	time.Sleep(wait)
	return nil, after, nil
}

// The coordinator and some hosts are cut off from the store, which answers none of them. A
// watch that asks one of these sees changes late, so that watches must go through a host
// that has answered.
func TestStoreProxyKeepsToHostThatAnswers(t *testing.T) {
	const (
		wait    = time.Second
		watches = 12
	)
	synctest.Test(t, func(t *testing.T) {
		network := peertest.NewNetwork(1)
		hosts := func() int { return 6 }
		proxy := NewStoreProxy(network.Join(fleet.Member{Host: "coordinator", Incarnation: 1}), nil, clockwork.NewRealClock(), hosts)
		stores := make([]*watchedStore, 5)
		for i := range stores {
			stores[i] = &watchedStore{silent: i < 2}
			NewStoreProxy(network.Join(fleet.Member{Host: fleet.HostID(rune('a' + i)), Incarnation: 1}), stores[i], clockwork.NewRealClock(), hosts)
		}
		late := 0
		for range watches {
			start := time.Now()
			_, _, err := proxy.Watch(t.Context(), "", 1, wait)
			must.NoError(t, err)
			if time.Since(start) > wait+proxyTimeout/2 {
				late++
			}
		}
		must.LessEq(t, 1, late) // the first one may ask any host
		answered := int32(0)
		for _, s := range stores[2:] {
			answered += s.watches.Load()
		}
		must.LessEq(t, watches+1, answered)
		time.Sleep(3 * maxProxyTime) // ends the other calls
	})
}

// Guards against changes that the coordinator learns late: it reads the store through a host
// whose domain is then cut off, and asks others of that domain next.
func TestStoreProxyLeavesDomainThatIsCutOff(t *testing.T) {
	const (
		wait = time.Second
		// maxDelay leaves hosts time to read a configuration within the users' two seconds.
		maxDelay = time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		network := peertest.NewNetwork(1)
		hosts := func() int { return 10 }
		proxy := NewStoreProxy(network.Join(fleet.Member{Host: "coordinator", Domain: "d0", Incarnation: 1}), nil, clockwork.NewRealClock(), hosts)
		stores := map[fleet.DomainID][]*changedStore{}
		for i := range 9 {
			domain := fleet.DomainID(rune('1' + i/3))
			s := &changedStore{}
			stores[domain] = append(stores[domain], s)
			NewStoreProxy(network.Join(fleet.Member{Host: fleet.HostID(rune('a' + i)), Domain: domain, Incarnation: 1}), s, clockwork.NewRealClock(), hosts)
		}
		_, _, err := proxy.Watch(t.Context(), "", 1, wait)
		must.NoError(t, err)
		for domain, members := range stores {
			answered := slices.ContainsFunc(members, func(s *changedStore) bool { return s.answers.Load() > 0 })
			for _, s := range members {
				s.cut.Store(answered)
			}
			if !answered {
				continue
			}
			start := time.Now()
			_, _, err = proxy.Watch(t.Context(), "", 1, wait)
			test.NoError(t, err)
			test.LessEq(t, maxDelay, time.Since(start), test.Sprint(domain))
			break
		}
		time.Sleep(3 * maxProxyTime) // ends the other calls
	})
}

// changedStore is a store with a change, from which its host may be cut off.
type changedStore struct {
	platform.Metadata
	cut     atomic.Bool
	answers atomic.Int32
}

func (s *changedStore) Watch(context.Context, string, keyvalue.Revision, time.Duration) ([]keyvalue.Event, keyvalue.Revision, error) {
	if s.cut.Load() {
		time.Sleep(2 * maxProxyTime)
		return nil, 0, keyvalue.ErrUnknown
	}
	s.answers.Add(1)
	return []keyvalue.Event{{}}, 2, nil
}
