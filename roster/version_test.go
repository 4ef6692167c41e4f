package roster_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"hawthornway/boottime"
	"hawthornway/roster"
	"hawthornway/target"
)

// Guards against a change of the versions in service that goes unnoticed, and against the
// cost of being told of every other change of the targets.
func TestVersionsInService(t *testing.T) {
	r := roster.New(boottime.NewFakeClock(1))
	steps := []struct {
		name     string
		change   func()
		changed  bool
		versions []target.Version
	}{
		{"the first target", func() { r.Put(roster.Target{ID: "a", Pool: "p", Address: "1", Version: "v1"}) }, true, []target.Version{"v1"}},
		{"another of its version", func() { r.Put(roster.Target{ID: "b", Pool: "p", Address: "2", Version: "v1"}) }, false, []target.Version{"v1"}},
		{"a new version", func() { r.Put(roster.Target{ID: "c", Pool: "p", Address: "3", Version: "v2"}) }, true, []target.Version{"v1", "v2"}},
		{"one drains", func() { r.Put(roster.Target{ID: "a", Pool: "p", Address: "1", Version: "v1", Draining: true}) }, false, []target.Version{"v1", "v2"}},
		{"one leaves", func() { r.Drop("b", 0) }, false, []target.Version{"v1", "v2"}},
		{"the last one of a version leaves", func() { r.Drop("a", 0) }, true, []target.Version{"v2"}},
		{"another target at the address", func() { r.Put(roster.Target{ID: "d", Pool: "p", Address: "3", Version: "v3", Revision: 1}) }, true, []target.Version{"v3"}},
		{"all leave", func() { r.Replace(nil, 0) }, true, nil},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			notified := r.VersionsChanged()
			step.change()
			changed := false
			select {
			case <-notified:
				changed = true
			default:
			}
			must.Eq(t, step.changed, changed)
			must.Eq(t, step.versions, r.Versions()["p"])
		})
	}
}
