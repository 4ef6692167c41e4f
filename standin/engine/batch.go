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
	// prefill is the number of prompt tokens still to process, chunk the part
	// of them in the present step.
	prefill int
	chunk   int
	// cached is the number of prompt tokens found in the prefix cache.
	cached int
	// next is the next token to generate.
	next int
	// tokens gets the number of each token generated and is closed at the end.
	// It has room for the whole answer.
	tokens chan int
	life   context.Context
}

// queue is a heap of sequences, the highest priority first and among equals the
// earliest.
type queue []*sequence

// Len returns the number of sequences.
func (q queue) Len() int { return len(q) }

// Less reports whether sequence i goes before sequence j.
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

// refusal is the reason for which a request was not taken.
type refusal struct {
	status  int
	code    string
	message string
}

var (
	refusalNotLoaded = &refusal{status: http.StatusNotFound, code: "model-not-loaded", message: "the model is not loaded here"}
	refusalQueueFull = &refusal{status: http.StatusTooManyRequests, code: "queue-full", message: "the queue is full"}
	refusalLeaving   = &refusal{status: http.StatusServiceUnavailable, code: "leaving", message: "the engine is leaving"}
)

// submit queues a request, or refuses it.
func (e *Engine) submit(req request) (*sequence, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		panic(http.ErrAbortHandler)
	}
	if e.hasLeft() {
		e.counts.RefusedAfterGrace++
		return nil, refusalLeaving
	}
	r := e.ready(req.model)
	if r == nil {
		return nil, refusalNotLoaded
	}
	if len(e.queue) >= e.settings.QueueEntries {
		return nil, refusalQueueFull
	}
	s := e.newSequence(req, r)
	heap.Push(&e.queue, s)
	e.wakeLoop()
	return s, nil
}

func (e *Engine) hasLeft() bool {
	return !e.leavingSince.IsZero() && e.clock.Since(e.leavingSince) > e.settings.LeavingGrace
}

func (e *Engine) newSequence(req request, r *replica) *sequence {
	e.account()
	r.acquire()
	e.arrivals++
	own := identity{id: req.id, attempt: req.attempt, answer: req.answer(e.settings.MeanAnswer)}
	s := &sequence{
		identity: own,
		replica:  r,
		prompt:   engine.Prefixes(req.model, req.prompt),
		priority: req.priority,
		arrival:  e.arrivals,
		prefill:  req.promptTokens() + req.resumeFrom,
		next:     min(req.resumeFrom, own.answer.length),
		life:     e.life,
	}
	s.tokens = make(chan int, own.answer.length)
	if e.faults.CrossAnswers && e.last.id != "" {
		s.identity = e.last
		s.next = 0
		s.tokens = make(chan int, s.answer.length)
	}
	e.last = own
	return s
}

// withdraw takes a request out of the queue or the batch, if it is still there.
func (e *Engine) withdraw(s *sequence) {
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

// runBatch steps the batch until the context ends.
func (e *Engine) runBatch(ctx context.Context) {
	for {
		length, busy := e.beginStep()
		if busy {
			if !e.sleep(ctx, length) {
				return
			}
			e.endStep(length)
			continue
		}
		select {
		case <-e.wake:
		case <-ctx.Done():
			return
		}
	}
}

// beginStep fills the batch and returns how long its next step takes.
func (e *Engine) beginStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.faults.Freeze {
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
	length := e.settings.StepTime
	length += time.Duration(len(e.running)-1) * e.settings.StepPerRequest
	length += time.Duration(chunk) * e.settings.PrefillPerToken
	return length, true
}

func (e *Engine) fillBatch() {
	for len(e.running) < e.settings.Slots && len(e.queue) > 0 {
		s := heap.Pop(&e.queue).(*sequence)
		s.cached = min(e.lookup(s.prompt)*prefixTokens, s.prefill-1)
		s.prefill -= s.cached
		e.running = append(e.running, s)
		e.counts.Requests++
		e.executions[s.id]++
	}
}

// lookup returns the number of a prompt's blocks that the prefix cache holds.
func (e *Engine) lookup(prompt []engine.Prefix) int {
	hits := 0
	for hits < len(prompt) && e.prefixes.touch(prompt[hits]) {
		hits++
	}
	e.counts.PrefixHits += int64(hits)
	e.counts.PrefixBlocks += int64(len(prompt))
	return hits
}

// endStep moves each request of the batch on by its prompt chunk or by one
// token.
func (e *Engine) endStep(length time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Freeze {
		return
	}
	generated := 0
	for _, s := range slices.Clone(e.running) {
		if e.down {
			return
		}
		generated += e.advance(s)
	}
	e.speed = float64(generated) / length.Seconds()
}

// advance moves one request on and returns the number of tokens generated.
func (e *Engine) advance(s *sequence) int {
	if s.prefill > 0 {
		s.prefill -= s.chunk
		if s.prefill > 0 {
			return 0
		}
		e.store(s.prompt)
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
	e.countDown()
	return 1
}

func (e *Engine) finish(s *sequence) {
	close(s.tokens)
	e.running = slices.DeleteFunc(e.running, func(other *sequence) bool { return other == s })
	e.releaseReplica(s.replica)
}

// countDown dies when the fault says so.
func (e *Engine) countDown() {
	if e.faults.DieAfterTokens == 0 {
		return
	}
	e.faults.DieAfterTokens--
	if e.faults.DieAfterTokens == 0 {
		e.die()
	}
}

// store puts a prompt's blocks into the prefix cache.
func (e *Engine) store(prompt []engine.Prefix) {
	for _, prefix := range prompt {
		if e.prefixes.touch(prefix) {
			continue
		}
		for _, dropped := range e.prefixes.put(prefix, 1) {
			e.publish(engine.EventEvicted, dropped)
		}
		e.publish(engine.EventStored, prefix)
	}
}
