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
	// leavingFor is how long a target that said that it leaves is skipped; by
	// then its report says so.
	leavingFor = 10 * time.Second
	// lacksFor is how long a target is skipped for a model that it said it does
	// not have.
	lacksFor = time.Second
	// failedFor is the time over which a failure loses its weight.
	failedFor = 5 * time.Second

	targetShards = 16
)

// attempt is one request that was sent to a target.
type attempt struct {
	at time.Time
}

// ownState is what this host knows of a target from its own requests.
type ownState struct {
	// since counts the running requests that were sent after the report.
	since int
	// failed falls from one to zero after a failure.
	failed  float64
	leaving bool
	// lacks is a model that the target said it does not have.
	lacks model.Name
}

type targetState struct {
	// attempts holds the running requests in the order in which they were sent.
	attempts   []*attempt
	failedAt   time.Time
	leavingAt  time.Time
	lacks      model.Name
	lacksSince time.Time
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

// read returns what is known of a target whose last report was made at a time.
func (t *targets) read(id target.ID, reportAt, now time.Time) ownState {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	s, ok := shard.states[id]
	if !ok {
		return ownState{}
	}
	own := ownState{leaving: now.Sub(s.leavingAt) < leavingFor}
	own.since = len(s.attempts) - s.sentUntil(reportAt)
	if left := failedFor - now.Sub(s.failedAt); left > 0 {
		own.failed = float64(left) / float64(failedFor)
	}
	if now.Sub(s.lacksSince) < lacksFor {
		own.lacks = s.lacks
	}
	return own
}

// sentUntil counts the running requests that were sent up to a time.
func (s *targetState) sentUntil(at time.Time) int {
	n, _ := slices.BinarySearchFunc(s.attempts, at, func(a *attempt, at time.Time) int {
		if a.at.After(at) {
			return 1
		}
		return -1
	})
	return n
}

func (t *targets) sent(id target.ID, now time.Time) *attempt {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	s, ok := shard.states[id]
	if !ok {
		s = &targetState{}
		shard.states[id] = s
	}
	a := &attempt{at: now}
	s.attempts = append(s.attempts, a)
	return a
}

// done ends an attempt and learns from its result.
func (t *targets) done(choice Choice, result retry.Result, now time.Time) {
	shard := t.shard(choice.Target)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	s, ok := shard.states[choice.Target]
	if !ok {
		return
	}
	s.attempts = slices.DeleteFunc(s.attempts, func(a *attempt) bool { return a == choice.sent })
	switch r := result.(type) {
	case retry.Answered:
		s.failedAt = time.Time{}
	case retry.NotSent, retry.SentNoAnswer, retry.Broken:
		s.failedAt = now
	case retry.RefusedNotRun:
		s.refused(choice, r.Refusal, now)
	}
}

func (s *targetState) refused(choice Choice, refusal retry.Refusal, now time.Time) {
	switch refusal {
	case retry.RefusalDraining:
		s.leavingAt = now
	case retry.RefusalNotLoaded:
		s.lacks, s.lacksSince = choice.Ref.Name, now
	default:
		s.failedAt = now
	}
}
