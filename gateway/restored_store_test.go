package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/coordinator"
)

// The store is away for a moment and returns from a copy that has the former
// configuration, with a key that was withdrawn since, and none of the registrations of
// the last second. No host may take the key again, also not one that starts then, and
// models must be loaded again soon.
func TestStoreReturnsFromOlderCopy(t *testing.T) {
	t.Parallel()
	f := newFleet(t, config(1), 3)
	must.Eq(t, http.StatusOK, f.call(f.hosts[0], "secret", "m0").status)
	older := f.store.Copy()
	changed := config(2)
	changed.Keys = []string{"fresh"}
	changed.Apply(f.store)
	for _, h := range f.hosts {
		f.waitUntil("the new key", func() bool { return f.call(h, "fresh", "").status == http.StatusOK })
	}
	for _, e := range f.engines {
		e.Register() // after the copy
	}
	f.store.SetDown(true)
	time.Sleep(300 * time.Millisecond)
	f.store.Restore(older)
	f.store.SetDown(false)
	served := func(h *host, key, model string) func() bool {
		return func() bool {
			must.NotEq(t, http.StatusOK, f.call(h, "secret", "").status, must.Sprint("a withdrawn key is in force"))
			return f.call(h, key, model).status == http.StatusOK
		}
	}
	for _, h := range f.hosts {
		f.waitUntil("service after the return", served(h, "fresh", ""))
		f.waitUntil("a load after the return", served(h, "fresh", "m6"))
	}
	late := f.start("host-late", false)
	f.waitUntil("service at a host that started since", served(late, "fresh", "m0"))
	changed.Apply(f.store) // as the operator does
	f.waitUntil("service after that", served(late, "fresh", "m0"))
	f.checkOrders()
}

// All hosts start again while the store still has the former configuration from its copy:
// none of them has the newest. They must refuse rather than take a withdrawn key, until the
// operator writes the newest again; after that, a restart of all hosts costs no more than
// with a store that has never returned.
func TestRestartOfAllHostsOnOlderStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, config(1), 3)
	older := f.store.Copy()
	changed := config(2)
	changed.Keys = []string{"fresh"}
	changed.Apply(f.store)
	served := func(h *host, key string) bool {
		must.NotEq(t, http.StatusOK, f.call(h, "secret", "").status, must.Sprint("a withdrawn key is in force"))
		return f.call(h, key, "").status == http.StatusOK
	}
	for _, h := range f.hosts {
		f.waitUntil("the new key", func() bool { return f.call(h, "fresh", "").status == http.StatusOK })
	}
	f.store.SetDown(true)
	time.Sleep(300 * time.Millisecond)
	f.store.Restore(older)
	f.store.SetDown(false)
	f.waitUntil("a record of the newest version", func() bool { return f.store.Value("hawthornway/confirmed") != nil })
	for _, h := range f.hosts {
		f.waitUntil("service after the return", func() bool { return served(h, "fresh") })
	}

	restart := func(round int) {
		for _, h := range f.hosts {
			h.stop()
		}
		for i, h := range f.hosts {
			<-h.ended
			f.hosts[i] = f.launch(fmt.Sprintf("host-%d-%d", round, i), false)
		}
	}
	restart(1)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, h := range f.hosts {
			must.False(t, h.ready(), must.Sprint("ready with a configuration that isn't the newest"))
			served(h, "fresh")
		}
	}
	changed.Apply(f.store) // as the operator does
	for _, h := range f.hosts {
		f.waitUntil("service after that", func() bool { return served(h, "fresh") })
	}
	restart(2)
	restarted := time.Now()
	for _, h := range f.hosts {
		f.waitUntil("service after a restart of all hosts", func() bool { return served(h, "fresh") })
	}
	must.Less(t, coordinator.ReportTime, time.Since(restarted))
}
