package coordinator_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/coordinator"
	"hawthornway/model"
	"hawthornway/target"
)

// Guards against a stream that waits in vain for its model or adapter at the version that
// began it, since an engine of another version holds them.
func TestLoadAtTheNeededVersion(t *testing.T) {
	cases := []struct {
		name           string
		model, adapter model.Name
	}{
		{"model", "m0", ""},
		{"adapter", "m1", "a1"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			loaded := map[target.ID][]model.Name{"e1": {"m0", "m1"}, "e2": {"m1", "m2"}}
			runFixture(t, loaded, func(f *fixture) {
				for id, version := range map[target.ID]target.Version{"e1": "v1", "e2": "v2"} {
					e, _ := f.roster.Get(id)
					e.Version = version
					f.roster.Put(e)
				}
				time.Sleep(time.Second)
				if tc.adapter != "" {
					must.Less(t, time.Second, f.requestAt("e1", coordinator.Need{Pool: "p", Model: tc.model, Adapter: tc.adapter, Version: "v1"}))
				}
				must.Less(t, 3*time.Second, f.requestAt("e2", coordinator.Need{Pool: "p", Model: tc.model, Adapter: tc.adapter, Version: "v2"}))
				must.True(t, f.holds("e1", tc.model, tc.adapter))
			})
		})
	}
}

// requestAt repeats a load request until an engine serves the need or ten seconds have
// passed, and returns how long that took.
func (f *fixture) requestAt(id target.ID, need coordinator.Need) time.Duration {
	start := time.Now()
	for !f.holds(id, need.Model, need.Adapter) && time.Since(start) < 10*time.Second {
		f.client.RequestLoad(need, coordinator.Waiting{Total: 1, OnTime: 1}, 0)
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}
