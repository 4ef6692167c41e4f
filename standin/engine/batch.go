package engine

import (
	"container/heap"
	"context"
	"net/http"
	"slices"
	"time"

	"hawthornway/engine"
)

// sequence is one request in the queue or the batch.
type sequence struct {
	identity
	replica  *replica
	prompt   []engine.Prefix
	priority int
	arrival  uint64
	// prefill is the number of prompt tokens still to be processed; chunk is the
	// part of them that the current step processes.
	prefill int
	chunk   int
	// cached is the number of prompt tokens found in the prefix cache.
	cached int
	// next is the index of the next token to generate.
	next int
	// tokens receives the index of each generated token and is closed at the
	// end. Its buffer holds the whole answer.
	tokens     chan int
	runContext context.Context
}

// queue is a heap of sequences, ordered by descending priority and then by
// arrival.
type queue []*sequence

// Len returns the number of sequences.
func (q queue) Len() int { return len(q) }

// Less reports whether sequence i runs before sequence j.
func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

// Swap exchanges two sequences.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends a sequence.
func (q *queue) Push(x any) { *q = append(*q, x.(*sequence)) }

// Pop removes the last sequence.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// refusal is the error response to a request that was not accepted.
type refusal struct {
	status  int
	code    string
	message string
}

var (
	refusalNotLoaded = &refusal{status: http.StatusNotFound, code: "model-not-loaded", message: "the model is not loaded here"}
	refusalQueueFull = &refusal{status: http.StatusTooManyRequests, code: "queue-full", message: "the queue is full"}
	refusalDraining  = &refusal{status: http.StatusServiceUnavailable, code: "leaving", message: "the engine is leaving"}
)

// submit queues a request or refuses it.
func (e *Engine) submit(req request) (*sequence, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		panic(http.ErrAbortHandler)
	}
	if e.pastDrainGrace() {
		e.counts.RefusedAfterGrace++
		return nil, refusalDraining
	}
	r := e.readyReplica(req.model)
	if r == nil {
		return nil, refusalNotLoaded
	}
	if len(e.queue) >= e.settings.QueueEntries {
		return nil, refusalQueueFull
	}
	s := e.newSequence(req, r)
	heap.Push(&e.queue, s)
	e.wakeBatch()
	return s, nil
}

func (e *Engine) pastDrainGrace() bool {
	return !e.drainingSince.IsZero() && e.clock.Since(e.drainingSince) > e.settings.DrainGrace
}

func (e *Engine) newSequence(req request, r *replica) *sequence {
	e.accountMemory()
	r.acquire()
	e.arrivalCount++
	own := identity{id: req.id, attempt: req.attempt, answer: req.answer(e.settings.MeanAnswer)}
	s := &sequence{
		identity:   own,
		replica:    r,
		prompt:     engine.Prefixes(req.model, req.prompt),
		priority:   req.priority,
		arrival:    e.arrivalCount,
		prefill:    req.promptTokens() + req.resumeFrom,
		next:       min(req.resumeFrom, own.answer.length),
		runContext: e.runContext,
	}
	s.tokens = make(chan int, own.answer.length)
	if e.faults.CrossResponses && e.lastIdentity.id != "" {
		s.identity = e.lastIdentity
		s.next = 0
		s.tokens = make(chan int, s.answer.length)
	}
	e.lastIdentity = own
	return s
}

// cancel removes a request from the queue or the batch if it has not finished.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at := slices.Index(e.queue, s); at >= 0 {
		heap.Remove(&e.queue, at)
		e.releaseReplica(s.replica)
	}
	if at := slices.Index(e.running, s); at >= 0 {
		e.running = slices.Delete(e.running, at, at+1)
		e.releaseReplica(s.replica)
	}
}

// runBatch executes batch steps until the context ends.
func (e *Engine) runBatch(ctx context.Context) {
	for {
		duration, busy := e.beginStep()
		if busy {
			if !e.sleep(ctx, duration) {
				return
			}
			e.endStep(duration)
			continue
		}
		select {
		case <-e.wake:
		case <-ctx.Done():
			return
		}
	}
}

// beginStep fills the batch and returns the duration of its next step, or false
// if there is nothing to run.
func (e *Engine) beginStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed || e.faults.Freeze {
		return 0, false
	}
	e.fillBatch()
	if len(e.running) == 0 {
		return 0, false
	}
	chunk := 0
	for _, s := range e.running {
		s.chunk = min(s.prefill, e.settings.PrefillChunk-chunk)
		chunk += s.chunk
	}
	duration := e.settings.StepTime
	duration += time.Duration(len(e.running)-1) * e.settings.StepPerRequest
	duration += time.Duration(chunk) * e.settings.PrefillPerToken
	return duration, true
}

// fillBatch moves queued requests into the free slots of the batch. Prompt tokens
// found in the prefix cache are skipped, but at least one is always processed.
func (e *Engine) fillBatch() {
	for len(e.running) < e.settings.Slots && len(e.queue) > 0 {
		s := heap.Pop(&e.queue).(*sequence)
		s.cached = min(e.lookupPrefixes(s.prompt)*prefixTokens, s.prefill-1)
		s.prefill -= s.cached
		e.running = append(e.running, s)
		e.counts.Requests++
		e.executions[s.id]++
	}
}

// lookupPrefixes returns how many leading blocks of a prompt are in the prefix
// cache.
func (e *Engine) lookupPrefixes(prompt []engine.Prefix) int {
	hits := 0
	for hits < len(prompt) && e.prefixes.touch(prompt[hits]) {
		hits++
	}
	e.counts.PrefixHits += int64(hits)
	e.counts.PrefixBlocks += int64(len(prompt))
	return hits
}

// endStep advances each request of the batch by its prompt chunk or by one
// token.
func (e *Engine) endStep(duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Freeze {
		return
	}
	generated := 0
	for _, s := range slices.Clone(e.running) {
		if e.crashed {
			return
		}
		generated += e.advance(s)
	}
	e.tokensPerSecond = float64(generated) / duration.Seconds()
}

// advance advances one request and returns the number of generated tokens.
func (e *Engine) advance(s *sequence) int {
	if s.prefill > 0 {
		s.prefill -= s.chunk
		if s.prefill > 0 {
			return 0
		}
		e.storePrefixes(s.prompt)
	}
	if s.next >= s.answer.length {
		e.finish(s)
		return 0
	}
	s.tokens <- s.next
	s.next++
	e.counts.Tokens++
	if s.next == s.answer.length {
		e.finish(s)
	}
	e.countDownToCrash()
	return 1
}

func (e *Engine) finish(s *sequence) {
	close(s.tokens)
	e.running = slices.DeleteFunc(e.running, func(other *sequence) bool { return other == s })
	e.releaseReplica(s.replica)
}

// countDownToCrash counts a generated token and crashes the engine when the
// CrashAfterTokens fault is due.
func (e *Engine) countDownToCrash() {
	if e.faults.CrashAfterTokens == 0 {
		return
	}
	e.faults.CrashAfterTokens--
	if e.faults.CrashAfterTokens == 0 {
		e.crash()
	}
}

// storePrefixes adds a prompt's blocks to the prefix cache and publishes the
// resulting events.
func (e *Engine) storePrefixes(prompt []engine.Prefix) {
	for _, prefix := range prompt {
		if e.prefixes.touch(prefix) {
			continue
		}
		for _, evicted := range e.prefixes.put(prefix, 1) {
			e.publish(engine.EventEvicted, evicted)
		}
		e.publish(engine.EventStored, prefix)
	}
}
