package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/platform/platformtest"
)

// One part of some prompts crashes each engine that begins to respond to them, whichever
// host sends them and whatever else they ask for. The fleet must stop sending them after
// a few crashes, and go on to serve the requests that share their other parts.
func TestPromptPartThatCrashesEnginesIsQuarantined(t *testing.T) {
	const (
		requests = 40
		interval = 50 * time.Millisecond
		// maxCrashes is five crashes, and three requests that were on their way.
		maxCrashes = 8
	)
	t.Parallel()
	f := newFleet(t, config(1), 3)
	sound := func(i int) platformtest.Call {
		return platformtest.Call{Key: "secret", Model: "m0", Prefix: fmt.Sprintf("aa:10,bb:20,s%d:5", i)}
	}
	for i := range 3 {
		must.Eq(t, http.StatusOK, f.send(f.hosts[i], sound(i)).status)
	}
	crashes := func() (n int) {
		for _, e := range f.engines {
			n += e.Crashes()
		}
		return n
	}
	for i := range requests {
		f.send(f.hosts[i%3], platformtest.Call{Key: "secret", Model: fmt.Sprintf("m%d", i%6), Prefix: fmt.Sprintf("aa:10,%s:20,p%d:5", crashPart, i)})
		time.Sleep(interval)
	}
	must.LessEq(t, maxCrashes, crashes())
	// A model that nobody may load now: the refusal doesn't wait for it.
	sent := time.Now()
	waiting := f.send(f.hosts[1], platformtest.Call{Key: "secret", Model: "m11", Prefix: "aa:10," + crashPart + ":20,w:5"})
	must.Eq(t, http.StatusServiceUnavailable, waiting.status)
	must.Less(t, time.Second, time.Since(sent))
	last := f.send(f.hosts[0], platformtest.Call{Key: "secret", Model: "m0", Prefix: "aa:10," + crashPart + ":20,q:5"})
	must.Eq(t, http.StatusServiceUnavailable, last.status)
	for i := range 6 {
		must.Eq(t, http.StatusOK, f.send(f.hosts[i%3], sound(10+i)).status)
	}
}
