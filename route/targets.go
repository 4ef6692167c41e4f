package route

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornway/model"
	"hawthornway/retry"
	"hawthornway/target"
)

const (
	// drainingTTL is how long a target is skipped after it refused a request
	// because it is draining. By then, its own report shows that.
	drainingTTL = 10 * time.Second
	// notLoadedTTL is how long a target is skipped for a model that it refused
	// as not loaded.
	notLoadedTTL = time.Second
	// failureDecayTime is the time over which the cost of a failure falls to
	// zero.
	failureDecayTime = 5 * time.Second

	targetShards = 16
)

// attempt is one request in progress at a target.
type attempt struct {
	sentAt time.Time
}

// localState is what this host knows about a target from its own requests.
type localState struct {
	// sentSinceReport counts the requests in progress that were sent after the
	// target's last report.
	sentSinceReport int
	// recentFailure falls from 1 to 0 over failureDecayTime after a failure.
	recentFailure float64
	draining      bool
	// notLoadedModel is the model that the target has last refused as not
	// loaded, or empty after notLoadedTTL.
	notLoadedModel model.Name
}

type targetState struct {
	// attempts holds the requests in progress, ordered by the time when they
	// were sent.
	attempts       []*attempt
	failedAt       time.Time
	drainingAt     time.Time
	notLoadedModel model.Name
	notLoadedAt    time.Time
}

// targets holds what this host's requests show about targets. It is sharded to
// reduce lock contention.
type targets struct {
	shards [targetShards]targetShard
}

type targetShard struct {
	mu     sync.Mutex
	states map[target.ID]*targetState
}

func newTargets() *targets {
	t := &targets{}
	for i := range t.shards {
		t.shards[i].states = make(map[target.ID]*targetState)
	}
	return t
}

func (t *targets) shard(id target.ID) *targetShard {
	return &t.shards[xxhash.Sum64String(string(id))%targetShards]
}

// state returns what is known about a target whose last report was made at
// reportAt.
func (t *targets) state(id target.ID, reportAt, now time.Time) localState {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	s, ok := shard.states[id]
	if !ok {
		return localState{}
	}
	state := localState{draining: now.Sub(s.drainingAt) < drainingTTL}
	state.sentSinceReport = len(s.attempts) - s.countSentUntil(reportAt)
	if remaining := failureDecayTime - now.Sub(s.failedAt); remaining > 0 {
		state.recentFailure = float64(remaining) / float64(failureDecayTime)
	}
	if now.Sub(s.notLoadedAt) < notLoadedTTL {
		state.notLoadedModel = s.notLoadedModel
	}
	return state
}

// countSentUntil counts the requests in progress that were sent no later than
// at.
func (s *targetState) countSentUntil(at time.Time) int {
	n, _ := slices.BinarySearchFunc(s.attempts, at, func(a *attempt, at time.Time) int {
		if a.sentAt.After(at) {
			return 1
		}
		return -1
	})
	return n
}

func (t *targets) startAttempt(id target.ID, now time.Time) *attempt {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	s, ok := shard.states[id]
	if !ok {
		s = &targetState{}
		shard.states[id] = s
	}
	a := &attempt{sentAt: now}
	s.attempts = append(s.attempts, a)
	return a
}

// endAttempt removes an attempt and records its result.
func (t *targets) endAttempt(choice Choice, result retry.Result, now time.Time) {
	shard := t.shard(choice.Target)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	s, ok := shard.states[choice.Target]
	if !ok {
		return
	}
	s.attempts = slices.DeleteFunc(s.attempts, func(a *attempt) bool { return a == choice.attempt })
	switch r := result.(type) {
	case retry.ResponseReceived:
		s.failedAt = time.Time{}
	case retry.NotSent, retry.NoResponse, retry.Interrupted:
		s.failedAt = now
	case retry.RefusedNotRun:
		s.recordRefusal(choice, r.Refusal, now)
	}
}

func (s *targetState) recordRefusal(choice Choice, refusal retry.Refusal, now time.Time) {
	switch refusal {
	case retry.RefusalDraining:
		s.drainingAt = now
	case retry.RefusalNotLoaded:
		s.notLoadedModel, s.notLoadedAt = choice.Ref.Name, now
	default:
		s.failedAt = now
	}
}
