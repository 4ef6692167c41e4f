package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/platform/platformtest"
)

// Guards against a request that comes again and again, at any host, and each time crashes
// the targets that begin to run it: it must be recognised and kept from them, while requests
// of the same caller and route go on.
func TestRequestThatCrashesItsTargetsIsQuarantined(t *testing.T) {
	const (
		requests = 30
		interval = 100 * time.Millisecond
		// maxCrashes is three crashes, the users' three retries after that, and one request
		// that is on its way.
		maxCrashes = 7
	)
	cases := []struct{ name, model string }{
		{"plain service", ""},
		{"engine", "m0"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, config(1), 3)
			targets := f.engines
			if tc.model == "" {
				targets = []*platformtest.Engine{f.plain}
				for i := range 2 {
					targets = append(targets, f.addPlain(fmt.Sprintf("i-plain-%d", i)))
				}
			}
			sound := platformtest.Call{Key: "secret", Model: tc.model, Body: "sound"}
			crashing := platformtest.Call{Key: "secret", Model: tc.model, Body: crashBody, Timeout: 2 * time.Second}
			crashes := func() (n int) {
				for _, e := range targets {
					n += e.Crashes()
				}
				return n
			}
			for i := range 3 {
				must.Eq(t, http.StatusOK, f.send(f.hosts[i], sound).status)
			}
			served := 0
			for i := range requests {
				f.send(f.hosts[i%3], crashing)
				time.Sleep(interval)
				if f.send(f.hosts[(i+1)%3], sound).status == http.StatusOK {
					served++
				}
			}
			t.Logf("%d targets crashed; %d of %d sound requests served", crashes(), served, requests)
			must.LessEq(t, maxCrashes, crashes())
			must.GreaterEq(t, requests*8/10, served)
			last := f.send(f.hosts[0], crashing)
			must.Eq(t, http.StatusServiceUnavailable, last.status)
			must.Eq(t, "", last.header.Get("Retry-After"))
		})
	}
}

// Guards against a caller whose every request is new and crashes the targets that run it:
// after some crashes the caller is refused for a while, and others go on.
func TestCallerWhoseRequestsCrashTargetsIsHeldBack(t *testing.T) {
	const (
		requests = 16
		interval = 250 * time.Millisecond
		// maxCrashes is six crashes, and those of requests that are on their way at each host.
		maxCrashes = 6 + 2*3
	)
	t.Parallel()
	two := config(1)
	two.Keys = append(two.Keys, "other")
	f := newFleet(t, two, 3)
	targets := []*platformtest.Engine{f.plain, f.addPlain("i-plain-0"), f.addPlain("i-plain-1")}
	for i := range 3 {
		must.Eq(t, http.StatusOK, f.call(f.hosts[i], "other", "").status)
	}
	served := 0
	for i := range requests {
		f.send(f.hosts[i%3], platformtest.Call{Key: "secret", Body: fmt.Sprint(crashBody, i), Timeout: 2 * time.Second})
		time.Sleep(interval)
		if f.call(f.hosts[(i+1)%3], "other", "").status == http.StatusOK {
			served++
		}
	}
	crashes := 0
	for _, e := range targets {
		crashes += e.Crashes()
	}
	t.Logf("%d targets crashed; %d of %d other requests served", crashes, served, requests)
	must.LessEq(t, maxCrashes, crashes)
	must.GreaterEq(t, requests*6/10, served)
	last := f.send(f.hosts[0], platformtest.Call{Key: "secret", Body: "sound"})
	must.Eq(t, http.StatusServiceUnavailable, last.status)
	must.NotEq(t, "", last.header.Get("Retry-After"))
	must.Eq(t, http.StatusOK, f.call(f.hosts[0], "secret", "m0").status) // another route
}
