package gateway_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/platform/platformtest"
)

// versionedModel is the only model of newVersionedFleet.
const versionedModel = "m0"

// newVersionedFleet returns a fleet with engines of two software versions, two of each, that
// hold versionedModel. There are no other engines, on which the model could be prefetched.
func newVersionedFleet(t *testing.T, hosts int) (f *fleet, engines []*platformtest.Engine) {
	t.Helper()
	f = &fleet{t: t, store: platformtest.NewStore()}
	t.Cleanup(f.store.Close)
	platformtest.Config{Version: 1, Models: []string{versionedModel}, Keys: []string{"secret"}, Resumable: true}.Apply(f.store)
	for i, version := range []string{"v1", "v2", "v1", "v2"} {
		e := platformtest.NewEngine(f.store, fmt.Sprintf("i-version-%d", i), platformtest.EngineSpec{
			Service: platformtest.ModelService, Zone: "zone-0", Models: []string{versionedModel}, Capacity: 1,
			Version: version, Events: 40, Gap: 5 * time.Millisecond,
		})
		f.t.Cleanup(e.Close)
		engines = append(engines, e)
	}
	for i := range hosts {
		f.start(fmt.Sprintf("host-%d", i), true)
	}
	f.waitUntil("the engines are in use", func() bool { return f.call(f.hosts[0], "secret", versionedModel).status == http.StatusOK })
	return f, engines
}

// stream is what a caller has received of a stream, over all its tries.
type stream struct {
	// first is the request that brought the first event, and lastEvent the last one.
	first     string
	lastEvent int
	versions  map[string]bool
	status    int
	complete  bool
}

// read sends a request for a stream, or one that takes the stream up, and leaves after a
// number of events unless it is zero.
func (s *stream) read(f *fleet, h *host, leaveAfter int, received func(s *stream)) {
	f.t.Helper()
	call := platformtest.Call{ID: fmt.Sprintf("r%d", f.next.Add(1)), Key: "secret", Model: versionedModel, Timeout: 8 * time.Second, Resumes: s.first, LastEvent: s.lastEvent}
	req, err := call.NewRequest(h.Callers)
	must.NoError(f.t, err)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	must.NoError(f.t, err)
	defer resp.Body.Close()
	s.status = resp.StatusCode
	if s.status != http.StatusOK {
		return
	}
	if s.versions == nil {
		s.first, s.versions = call.ID, map[string]bool{}
	}
	scanner := bufio.NewScanner(resp.Body)
	for events := 0; scanner.Scan(); {
		if _, version, ok := strings.Cut(scanner.Text(), " by "); ok {
			s.versions[version] = true
			events++
			s.lastEvent++
			received(s)
		}
		if leaveAfter > 0 && events == leaveAfter {
			return
		}
	}
	s.complete = scanner.Err() == nil
}

// Guards against streams joined from two software versions of their engines, which don't fit
// together: whatever breaks a stream off, only an engine of the version that began it goes on.
func TestStreamGoesOnAtTheVersionThatBeganIt(t *testing.T) {
	const streams = 12
	t.Parallel()
	f, engines := newVersionedFleet(t, 2)
	cases := []struct {
		name string
		// next returns the host at which the caller goes on. It is nil if the stream breaks
		// off at its engine only.
		next func(i int) *host
	}{
		{"taken up at the same host", func(int) *host { return f.hosts[0] }},
		{"taken up at another host", func(int) *host { return f.hosts[1] }},
		{"taken up at a host that has just started", func(i int) *host {
			if i == 0 {
				f.start("host-new", false)
			}
			return f.hosts[2]
		}},
		{"broken off at the engine", nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			broken := make([]stream, streams)
			for i := range broken {
				s := &broken[i]
				if tc.next == nil {
					s.read(f, f.hosts[0], 0, func(s *stream) {
						if s.lastEvent == 10 {
							engines[0].BreakOff()
							engines[1].BreakOff()
						}
					})
					continue
				}
				s.read(f, f.hosts[0], 20, func(*stream) {})
			}
			complete := 0
			for i := range broken {
				s := &broken[i]
				must.Eq(t, http.StatusOK, s.status)
				if tc.next != nil {
					s.read(f, tc.next(i), 0, func(*stream) {})
				}
				must.Eq(t, 1, len(s.versions), must.Sprintf("stream %d is of %v", i, s.versions))
				if s.complete {
					complete++
				}
			}
			must.GreaterEq(t, streams*9/10, complete)
		})
	}
}

// Guards against a stream that goes on at another version because that which began it has
// left, or because nobody knows which it was: the caller is told at once that nothing ran.
func TestStreamIsRefusedWithoutItsVersion(t *testing.T) {
	t.Parallel()
	f, engines := newVersionedFleet(t, 2)
	byVersion := map[string]*stream{}
	for len(byVersion) < 2 {
		var s stream
		s.read(f, f.hosts[0], 5, func(*stream) {})
		for version := range s.versions {
			byVersion[version] = &s
		}
	}
	for i, e := range engines {
		if i%2 == 0 { // v1
			e.Unregister()
		}
	}
	f.waitUntil("the first version has left", func() bool {
		taken := *byVersion["v1"]
		taken.read(f, f.hosts[1], 0, func(*stream) {})
		must.Eq(t, map[string]bool{"v1": true}, taken.versions)
		return taken.status == http.StatusServiceUnavailable
	})
	byVersion["v2"].read(f, f.hosts[1], 0, func(*stream) {})
	must.True(t, byVersion["v2"].complete)
	must.Eq(t, map[string]bool{"v2": true}, byVersion["v2"].versions)

	started := time.Now()
	unknown := stream{first: "never-sent", lastEvent: 5, versions: map[string]bool{}}
	unknown.read(f, f.hosts[0], 0, func(*stream) {})
	must.Eq(t, http.StatusServiceUnavailable, unknown.status)
	must.Less(t, time.Second, time.Since(started))
}
