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
	// drainingTTL is how long a target that said that it leaves is skipped; by
	// then its report says so.
	drainingTTL = 10 * time.Second
	// notLoadedTTL is how long a target is skipped for a model that it said it does
	// not have.
	notLoadedTTL = time.Second
	// failureDecayTime is the time over which a failure loses its weight.
	failureDecayTime = 5 * time.Second

	targetShards = 16
)

// attempt is one request that was sent to a target.
type attempt struct {
	sentAt time.Time
}

// localState is what this host knows of a target from its own requests.
type localState struct {
	// sentSinceReport counts the running requests that were sent after the report.
	sentSinceReport int
	// recentFailure falls from one to zero after a failure.
	recentFailure float64
	draining      bool
	// missingModel is a model that the target said it does not have.
	missingModel model.Name
}

type targetState struct {
	// attempts holds the running requests in the order in which they were sent.
	attempts     []*attempt
	failedAt     time.Time
	drainingAt   time.Time
	missingModel model.Name
	missingSince time.Time
}

// targets holds what this host's requests tell of targets, in shards.
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

// state returns what is known of a target whose last report was made at a time.
func (t *targets) state(id target.ID, reportAt, now time.Time) localState {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	s, ok := shard.states[id]
	if !ok {
		return localState{}
	}
	own := localState{draining: now.Sub(s.drainingAt) < drainingTTL}
	own.sentSinceReport = len(s.attempts) - s.countSentUntil(reportAt)
	if left := failureDecayTime - now.Sub(s.failedAt); left > 0 {
		own.recentFailure = float64(left) / float64(failureDecayTime)
	}
	if now.Sub(s.missingSince) < notLoadedTTL {
		own.missingModel = s.missingModel
	}
	return own
}

// countSentUntil counts the running requests that were sent up to a time.
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

// endAttempt ends an attempt and learns from its result.
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
	case retry.Answered:
		s.failedAt = time.Time{}
	case retry.NotSent, retry.SentNoAnswer, retry.Broken:
		s.failedAt = now
	case retry.RefusedNotRun:
		s.recordRefusal(choice, r.Refusal, now)
	}
}

func (s *targetState) recordRefusal(choice Choice, refusal retry.Refusal, now time.Time) {
	switch refusal {
	case retry.RefusalLeaving:
		s.drainingAt = now
	case retry.RefusalNotLoaded:
		s.missingModel, s.missingSince = choice.Ref.Name, now
	default:
		s.failedAt = now
	}
}
