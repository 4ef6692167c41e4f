package config_test

import (
	"testing"

	"github.com/gravitational/trace"
	"github.com/shoenig/test/must"

	"hawthornway/config"
	"hawthornway/fleet"
)

// Guards against an evacuation that changes what operators have written, that is lost with the next
// one, or whose end leaves a domain empty.
func TestEvacuationsByCommand(t *testing.T) {
	files := []config.File{{Name: "a.yaml", Data: []byte("domains: [{name: a}, {name: b}]\nevacuations: [{domain: b}]")}}
	change := func(change func([]config.File, fleet.DomainID) ([]config.File, bool, error), domain fleet.DomainID, changed bool) {
		t.Helper()
		next, got, err := change(files, domain)
		must.NoError(t, err)
		must.Eq(t, changed, got)
		files = next
	}
	evacuated := func(domain fleet.DomainID) bool {
		merged, err := config.Merge(files)
		must.NoError(t, err)
		return config.NewSnapshot(1, merged).Evacuated(domain)
	}
	must.True(t, evacuated("b"))
	change(config.Evacuate, "a", true)
	must.True(t, evacuated("a"))
	must.SliceLen(t, 2, files)
	change(config.Evacuate, "a", false)
	change(config.Evacuate, "b", false)
	change(config.EndEvacuation, "a", true)
	must.False(t, evacuated("a"))
	must.SliceLen(t, 1, files)
	change(config.EndEvacuation, "a", false)

	_, _, err := config.EndEvacuation(files, "b")
	must.True(t, trace.IsBadParameter(err))
	must.ErrorContains(t, err, "a.yaml")
	_, _, err = config.Evacuate(files, "nowhere")
	must.True(t, trace.IsNotFound(err))
}
