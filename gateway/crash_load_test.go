package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/platform/platformtest"
)

// Guards against a model whose load ends one engine after the other: after a few, requests
// for it are refused at once with the time until it is tried again, and others go on.
func TestModelWhoseLoadEndsEnginesIsRefused(t *testing.T) {
	t.Parallel()
	const broken = "m11"
	f := newFleetWithBrokenModel(t, config(1), 3, broken)
	crashes := func() (n int) {
		for _, e := range f.engines {
			n += e.Crashes()
		}
		return n
	}
	call := platformtest.Call{Key: "secret", Model: broken, Timeout: time.Second}
	for i := range 6 {
		must.Eq(t, http.StatusServiceUnavailable, f.send(f.hosts[i%3], call).status)
	}
	must.Eq(t, 3, crashes())
	sent := time.Now()
	r := f.send(f.hosts[1], call)
	must.Less(t, 300*time.Millisecond, time.Since(sent))
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.StrContains(t, r.body, "loads of the model have failed")
	rest, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	must.NoError(t, err)
	must.Between(t, 30, rest, 60)
	must.Eq(t, http.StatusOK, f.call(f.hosts[0], "secret", "m0").status)
	must.Eq(t, http.StatusOK, f.call(f.hosts[2], "secret", "m8").status)
}
