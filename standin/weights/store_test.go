package weights

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/weightstore"
)

const bytesPerSecond = 1000 // full speed of a load

func settings(rate float64) Settings {
	return Settings{
		RatePerSecond:         rate,
		Slots:                 4,
		AdapterSlots:          32,
		ModelBytesPerSecond:   bytesPerSecond,
		AdapterBytesPerSecond: bytesPerSecond,
	}
}

func TestLoadTimes(t *testing.T) {
	cases := []struct {
		name     string
		rate     float64
		kind     Kind
		loads    int
		slowdown float64
		want     time.Duration
	}{
		{name: "one at full speed", rate: 1e6, kind: KindModel, loads: 1, want: time.Second},
		{name: "four at full speed", rate: 1e9, kind: KindModel, loads: 4, want: time.Second},
		{name: "eight at half speed", rate: 1e9, kind: KindModel, loads: 8, want: 2 * time.Second},
		{name: "starts are limited", rate: 2, kind: KindModel, loads: 3, want: 2 * time.Second},
		{name: "adapters beyond 32 slots slow down", rate: 1, kind: KindAdapter, loads: 64, want: 2 * time.Second},
		{name: "a slow store", rate: 1e9, kind: KindModel, loads: 1, slowdown: 3, want: 3 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(settings(c.rate), clockwork.NewRealClock())
				s.SetFaults(Faults{Slowdown: c.slowdown})
				start := time.Now()
				var group sync.WaitGroup
				for range c.loads {
					group.Go(func() { _ = s.Load(t.Context(), Load{Kind: c.kind, Bytes: bytesPerSecond}) })
				}
				group.Wait()
				must.Eq(t, c.want, time.Since(start).Round(time.Millisecond))
			})
		})
	}
}

func TestCancelledLoadIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(settings(1), clockwork.NewRealClock())
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		must.ErrorIs(t, s.Load(ctx, Load{Kind: KindModel, Bytes: bytesPerSecond}), context.DeadlineExceeded)
		must.Eq(t, 0, s.models.inFlight())
	})
}

func TestStateOverHTTP(t *testing.T) {
	s := New(settings(5), clockwork.NewRealClock())
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	address := server.Listener.Addr().String()
	must.NoError(t, NewLoader(address).Load(t.Context(), Load{Kind: KindModel, Bytes: 1}))
	state, err := weightstore.NewClient(address).State(t.Context())
	must.NoError(t, err)
	must.Eq(t, weightstore.State{RatePerSecond: 5, Slots: 4}, state)
	s.SetFaults(Faults{Fail: true})
	must.Error(t, NewLoader(address).Load(t.Context(), Load{Kind: KindModel, Bytes: 1}))
}
