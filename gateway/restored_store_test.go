package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
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
