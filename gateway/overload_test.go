package gateway

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/outcome"
	"hawthornway/overload"
	"hawthornway/relay"
	"hawthornway/roster"
	"hawthornway/target"
)

// Load: the engines with a model get more prompts than they read. Guards against requests that wait for
// nothing instead of being refused at once, and against a refusal of what a target has begun.
func TestOverloadedModelIsRefusedAtOnce(t *testing.T) {
	g := &gateway{allocations: overload.NewTable(clockwork.NewFakeClock(), time.Minute)}
	request := relay.PlacementRequest{Pool: "p", Model: "m", Priority: 1, Team: "a", ID: "1"}
	must.Nil(t, g.refuseIfOverloaded(request))
	g.allocations.Set(map[target.Pool]overload.Allocation{"p": {Shares: []overload.Share{{FlowID: overload.FlowID{Model: "m", Priority: 1, Team: "a"}}}}}, false)
	refusal := g.refuseIfOverloaded(request)
	must.NotNil(t, refusal)
	must.Eq(t, outcome.ReasonOverloaded, refusal.Reason)
	must.Positive(t, refusal.RetryAfter)
	begun := request
	begun.Begun = true
	must.Nil(t, g.refuseIfOverloaded(begun))
	other := request
	other.Team = "b"
	must.Nil(t, g.refuseIfOverloaded(other))
}

// Guards against prompts that count as unread for good, or are taken off twice, and against readings
// of pools whose targets don't state how long work takes.
func TestPromptsAreReadOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tracker := newReadingTracker(clock)
	engine := roster.Target{ID: "e", Pool: "p"}
	request := relay.PlacementRequest{Pool: "p", Model: "m", PromptTokens: 2_000}
	must.Nil(t, tracker.start(engine, request))
	tracker.recordStated("p")
	first, second, third := tracker.start(engine, request), tracker.start(engine, request), tracker.start(engine, request)
	unread, _ := tracker.take()
	must.Eq(t, 6_000, unread["e"])
	clock.Advance(100 * time.Millisecond)
	first.recordLoad(relay.TargetLoad{Running: 1, Slots: 64, Slowdown: 1})
	first.firstEvent()
	first.end()
	second.recordLoad(relay.TargetLoad{Running: 20, Slots: 64, Slowdown: 1})
	second.firstEvent()
	third.end()
	third.firstEvent()
	unread, readings := tracker.take()
	must.MapEmpty(t, unread)
	must.Eq(t, overload.Reading{Tokens: 2_000, Time: 100 * time.Millisecond}, readings["p"])
	_, readings = tracker.take()
	must.MapEmpty(t, readings)
}
