package coordinator

import (
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/catalog"
	"hawthornway/fleet"
	"hawthornway/peer/peertest"
	"hawthornway/platform"
	"hawthornway/target"
)

// changingTerms are terms that a test sets.
type changingTerms struct {
	fence           target.Fence
	mayOrder, leads bool
}

func (t *changingTerms) Term() (target.Fence, bool, bool) { return t.fence, t.mayOrder, t.leads }
func (*changingTerms) OrderDelay() time.Duration          { return 0 }
func (*changingTerms) FirstTerm() bool                    { return false }

// The coordinator's process is suspended during a plan and runs again after its lease has
// ended. It must notice soon, tell hosts that it no longer leads, and give no orders in a
// later term by what it knew in the first.
func TestCoordinatorSuspendedDuringAPlan(t *testing.T) {
	terms := &changingTerms{fence: 1, mayOrder: true, leads: true}
	mesh := peertest.NewNetwork(1).Join(fleet.Member{Host: "h"})
	c := New(WithMesh(mesh), WithTerms(terms), WithCatalogs(func() *catalog.Catalog { return nil }), WithLogger(slog.New(slog.DiscardHandler)))
	must.LessEq(t, time.Second, c.planGap(7*time.Second))

	c.beginTerm(1)
	_, err := c.report("other", wireReport{})
	must.NoError(t, err)
	w := &worker{coordinator: c, engine: &engine{}, fence: 1}
	terms.leads, terms.mayOrder = false, false
	_, err = c.report("other", wireReport{})
	must.ErrorIs(t, err, errNotLeading)

	*terms = changingTerms{fence: 2, mayOrder: true, leads: true} // elected again, before the first term was left
	_, err = c.report("other", wireReport{})
	must.ErrorIs(t, err, errNotLeading)
	fits := func() bool { t.Error("an order of the first term is considered"); return false }
	must.False(t, w.sendOrder(t.Context(), platform.Order{Model: "m"}, time.Minute, nil, fits))
}
