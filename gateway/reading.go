package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/overload"
	"hawthornway/relay"
	"hawthornway/roster"
	"hawthornway/target"
	"hawthornway/team"
)

// readingTracker tracks the prompts that targets have yet to read, and how fast quiet ones read
// them, for pools whose targets state how long work takes. It is safe for concurrent use.
type readingTracker struct {
	clock clockwork.Clock

	mu sync.Mutex
	// statedPools holds the pools whose targets state how long work takes.
	statedPools map[target.Pool]bool
	unread      map[target.ID]team.Tokens
	readings    map[target.Pool]overload.Reading
}

func newReadingTracker(clock clockwork.Clock) *readingTracker {
	return &readingTracker{clock: clock, statedPools: map[target.Pool]bool{}, unread: map[target.ID]team.Tokens{}, readings: map[target.Pool]overload.Reading{}}
}

// recordStated records that the targets of a pool state how long work takes.
func (tracker *readingTracker) recordStated(pool target.Pool) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.statedPools[pool] = true
}

// states reports whether the targets of a pool state how long work takes.
func (tracker *readingTracker) states(pool target.Pool) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.statedPools[pool]
}

// take returns the unread prompts, and the readings since the last call.
func (tracker *readingTracker) take() (unread map[target.ID]team.Tokens, readings map[target.Pool]overload.Reading) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	unread = maps.Clone(tracker.unread)
	readings, tracker.readings = tracker.readings, map[target.Pool]overload.Reading{}
	return unread, readings
}

// reading is the reading of one prompt by a target. It isn't used concurrently.
type reading struct {
	tracker *readingTracker
	target  roster.Target
	prompt  team.Tokens
	began   time.Time
	// load is what the target has stated with its response.
	load  relay.TargetLoad
	ended bool
}

// start records that a request is sent to a target. It returns nil for a request without a prompt,
// and for pools whose targets don't state how long work takes.
func (tracker *readingTracker) start(t roster.Target, request relay.PlacementRequest) *reading {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if !tracker.statedPools[t.Pool] || request.Model == "" || request.PromptTokens <= 0 {
		return nil
	}
	tracker.unread[t.ID] += request.PromptTokens
	return &reading{tracker: tracker, target: t, prompt: request.PromptTokens, began: tracker.clock.Now()}
}

// recordLoad records what the target says of its load as it responds.
func (r *reading) recordLoad(load relay.TargetLoad) {
	if r != nil {
		r.load = load
	}
}

// firstEvent records the first event, with which the prompt is read.
func (r *reading) firstEvent() {
	if r == nil || r.ended {
		return
	}
	r.end()
	tracker := r.tracker
	shown, ok := overload.NewReading(r.prompt, tracker.clock.Since(r.began), r.load.Running, r.load.Waiting, r.load.Slowdown)
	if !ok {
		return
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.readings[r.target.Pool] = tracker.readings[r.target.Pool].Add(shown)
}

// end records that the target reads the prompt no longer.
func (r *reading) end() {
	if r == nil || r.ended {
		return
	}
	r.ended = true
	tracker := r.tracker
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if tracker.unread[r.target.ID] -= r.prompt; tracker.unread[r.target.ID] <= 0 {
		delete(tracker.unread, r.target.ID)
	}
}
