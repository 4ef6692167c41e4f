package coordinator

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
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
