package peer

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"

	"hawthornway/fleet"
)

// link is one connection to a peer after the handshake.
type link struct {
	links *Links
	conn  *websocket.Conn
	peer  fleet.Member
	// dialled is set if this host opened the connection.
	dialled      bool
	wake         chan struct{}
	notices      chan notice
	requestSlots chan struct{}
	stop         context.CancelFunc
	done         chan struct{}

	mu           sync.Mutex
	closed       bool
	queue        []outgoing
	calls        map[callNumber]*call
	lastNumber   callNumber
	lastReceived time.Time
	lastCall     time.Time
	lastQueued   time.Time
}

// outgoing is a queued frame. The call is nil unless the frame is a request.
type outgoing struct {
	frame []byte
	call  *call
}

// call is a request that waits for its response.
type call struct {
	kind Kind
	// dequeued is set once the writer has taken the frame. From then on the peer may
	// receive it.
	dequeued bool
	// abandoned is set if the caller stopped waiting before the frame was dequeued.
	abandoned bool
	result    chan callResult
}

type callResult struct {
	body []byte
	err  error
}

func newLink(links *Links, conn *websocket.Conn, peer fleet.Member, dialled bool) *link {
	now := links.clock.Now()
	return &link{
		links:        links,
		conn:         conn,
		peer:         peer,
		dialled:      dialled,
		wake:         make(chan struct{}, 1),
		notices:      make(chan notice, maxQueuedNotices),
		requestSlots: make(chan struct{}, maxConcurrentRequests),
		done:         make(chan struct{}),
		calls:        map[callNumber]*call{},
		lastReceived: now,
		lastCall:     now,
	}
}

// start runs the link in the background until its connection closes or stop is called.
func (ln *link) start(ctx context.Context) {
	ctx, ln.stop = context.WithCancel(ctx)
	go ln.run(ctx)
}

func (ln *link) run(ctx context.Context) {
	defer close(ln.done)
	var running sync.WaitGroup
	running.Go(func() { ln.write(ctx) })
	running.Go(func() { ln.sendHeartbeats(ctx) })
	running.Go(func() { ln.handleNotices(ctx) })
	ln.read(ctx)
	ln.stop()
	_ = ln.conn.CloseNow()
	ln.close()
	running.Wait()
	ln.links.removeLink(ln)
}

// sendHeartbeats sends a heartbeat whenever no other frame was queued for
// heartbeatInterval. It stops the link when nothing arrives from the peer for
// silenceTimeout, or when the link is no longer needed.
func (ln *link) sendHeartbeats(ctx context.Context) {
	defer ln.stop()
	ticker := ln.links.clock.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		if ln.sinceLastReceived() >= silenceTimeout || ln.isIdle() {
			return
		}
		if ln.sinceLastQueued() >= heartbeatInterval {
			_ = ln.send(heartbeat{}, nil)
		}
	}
}

func (ln *link) sinceLastReceived() time.Duration {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.links.clock.Since(ln.lastReceived)
}

// sinceLastQueued returns the time since the last frame was queued. Any frame counts
// as a heartbeat.
func (ln *link) sinceLastQueued() time.Duration {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.links.clock.Since(ln.lastQueued)
}

// isIdle reports whether this host dialled the link only for calls and has made
// none for idleTimeout.
func (ln *link) isIdle() bool {
	if !ln.dialled || ln.links.isDesired(ln.peer.Host) {
		return false
	}
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return len(ln.calls) == 0 && ln.links.clock.Since(ln.lastCall) >= idleTimeout
}

// send queues a frame. It fails with ErrNotSent if the frame is too large, the queue
// is full or the link is closed.
func (ln *link) send(m message, c *call) error {
	frame, err := encodeFrame(m)
	if err != nil {
		return trace.Wrap(ErrNotSent, err.Error())
	}
	if len(frame) > maxFrameBytes {
		return trace.Wrap(ErrNotSent, "frame of %d bytes is over %d", len(frame), maxFrameBytes)
	}
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.closed || len(ln.queue) >= maxQueuedFrames {
		return trace.Wrap(ErrNotSent)
	}
	ln.queue = append(ln.queue, outgoing{frame: frame, call: c})
	ln.lastQueued = ln.links.clock.Now()
	select {
	case ln.wake <- struct{}{}:
	default:
	}
	return nil
}

func (ln *link) write(ctx context.Context) {
	defer ln.stop()
	for {
		frame, ok := ln.dequeue()
		if !ok {
			select {
			case <-ctx.Done():
				return
			case <-ln.wake:
			}
			continue
		}
		if err := ln.conn.Write(ctx, websocket.MessageBinary, frame); err != nil {
			return
		}
		ln.links.count.sent(len(frame))
	}
}

// dequeue removes the next frame from the queue. It discards abandoned requests.
func (ln *link) dequeue() ([]byte, bool) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	for len(ln.queue) > 0 {
		next := ln.queue[0]
		ln.queue[0] = outgoing{}
		ln.queue = ln.queue[1:]
		if next.call == nil {
			return next.frame, true
		}
		if next.call.abandoned {
			continue
		}
		next.call.dequeued = true
		return next.frame, true
	}
	ln.queue = nil
	return nil, false
}

func (ln *link) read(ctx context.Context) {
	for {
		_, frame, err := ln.conn.Read(ctx)
		if err != nil {
			return
		}
		ln.noteReceived()
		ln.links.count.received(len(frame))
		m, err := decodeFrame(frame)
		if err != nil {
			ln.links.log.Warn("peer: received an invalid frame; closing the link", "peer", ln.peer, "error", err)
			return
		}
		ln.receive(ctx, m)
	}
}

func (ln *link) noteReceived() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.lastReceived = ln.links.clock.Now()
}

func (ln *link) receive(ctx context.Context, m message) {
	switch m := m.(type) {
	case request:
		ln.serve(ctx, m)
	case response:
		ln.complete(m.number, m.kind, callResult{body: m.body})
	case refusal:
		err := &RemoteError{Host: ln.peer.Host, Kind: m.kind, Message: m.reason}
		ln.complete(m.number, m.kind, callResult{err: err})
	case notice:
		ln.queueNotice(m)
	default:
	}
}

// complete passes a response to its call. A response that matches no call, or has
// another kind than its call, is dropped and counted.
func (ln *link) complete(number callNumber, kind Kind, result callResult) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	c := ln.calls[number]
	if c == nil || c.kind != kind || !c.dequeued {
		ln.links.count.unmatchedResponses.Add(1)
		return
	}
	delete(ln.calls, number)
	c.result <- result
}

// call sends a request and waits for its response.
func (ln *link) call(ctx context.Context, kind Kind, body []byte) ([]byte, error) {
	c := &call{kind: kind, result: make(chan callResult, 1)}
	number := ln.register(c)
	r := request{number: number, kind: kind, remaining: remaining(ctx), body: body}
	if err := ln.send(r, c); err != nil {
		ln.unregister(number)
		return nil, trace.Wrap(err)
	}
	select {
	case result := <-c.result:
		return result.body, result.err
	case <-ctx.Done():
		return nil, trace.Wrap(ln.abandon(number, c))
	}
}

func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultCallTimeout
	}
	return max(time.Until(deadline), time.Millisecond)
}

func (ln *link) register(c *call) callNumber {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.lastNumber++
	ln.calls[ln.lastNumber] = c
	ln.lastCall = ln.links.clock.Now()
	return ln.lastNumber
}

func (ln *link) unregister(number callNumber) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	delete(ln.calls, number)
}

// abandon stops waiting for a call. A request that is still queued will not be sent.
func (ln *link) abandon(number callNumber, c *call) error {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	delete(ln.calls, number)
	if !c.dequeued {
		c.abandoned = true
		return ErrNotSent
	}
	return ErrUnanswered
}

// close fails all calls, with ErrNotSent if their request was still queued and with
// ErrUnanswered otherwise.
func (ln *link) close() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.closed = true
	ln.queue = nil
	for number, c := range ln.calls {
		delete(ln.calls, number)
		if c.dequeued {
			c.result <- callResult{err: ErrUnanswered}
			continue
		}
		c.result <- callResult{err: ErrNotSent}
	}
}

// serve runs the handler of a request and sends its response.
func (ln *link) serve(ctx context.Context, r request) {
	select {
	case ln.requestSlots <- struct{}{}:
	default:
		_ = ln.send(refusal{r.number, r.kind, "too many calls at once"}, nil)
		return
	}
	ln.links.requests.Go(func() {
		defer func() { <-ln.requestSlots }()
		ctx, cancel := context.WithTimeout(ctx, r.remaining)
		defer cancel()
		_ = ln.send(ln.reply(ctx, r), nil)
	})
}

func (ln *link) reply(ctx context.Context, r request) message {
	result, err := ln.links.handle(ctx, ln.peer, r.kind, r.body)
	if err != nil {
		return refusal{r.number, r.kind, trace.UserMessage(err)}
	}
	body, err := Encode(result)
	if err != nil {
		return refusal{r.number, r.kind, "answer can't be encoded"}
	}
	return response{r.number, r.kind, body}
}

// queueNotice queues a notice, so that notices are handled in order without
// blocking the reader. If the queue is full, the notice is dropped and counted.
func (ln *link) queueNotice(m notice) {
	select {
	case ln.notices <- m:
	default:
		ln.links.count.droppedNotices.Add(1)
	}
}

func (ln *link) handleNotices(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-ln.notices:
			_, err := ln.links.handle(ctx, ln.peer, m.kind, m.body)
			if err != nil {
				ln.links.log.Debug("peer: notice handler failed", "peer", ln.peer, "kind", m.kind, "error", err)
			}
		}
	}
}

// dialler returns the host that opened the link.
func (ln *link) dialler() fleet.HostID {
	if ln.dialled {
		return ln.links.self.Host
	}
	return ln.peer.Host
}
