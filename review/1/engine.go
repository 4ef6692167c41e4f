package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"hawthornway/platform/platformtest"
)

// The engines of the plain service, like those of the small deployments: a few slots, a short
// queue, and work of about 120 ms.
const (
	slots    = 6
	queue    = 2
	workMean = 120 * time.Millisecond
)

// event is what an engine has done with a request.
type event struct {
	at              time.Time
	engine, request string
	what            string
}

// engine is a plain service that turns requests away while it is full, and says so.
type engine struct {
	id       string
	listener net.Listener
	// garbles reports whether the engine now also sends a second copy of an answer.
	garbles func() bool
	note    func(event)

	mu               sync.Mutex
	running, waiting int
	free             *sync.Cond
}

func newEngine(store *platformtest.Store, id, zone string, garbles func() bool, note func(event)) (*engine, error) {
	listener, err := net.Listen("tcp", platformtest.FreeAddress())
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, listener: listener, garbles: garbles, note: note}
	e.free = sync.NewCond(&e.mu)
	go e.accept()
	store.Put("servers/"+id, map[string]any{
		"service": platformtest.PlainService, "address": listener.Addr().String(), "zone": zone, "version": "v1", "slots": slots,
		"state": "ready", "cold_left_ms": 0, "sequence": 0, "born": time.Now().UnixMilli(),
	})
	return e, nil
}

func (e *engine) close() { _ = e.listener.Close() }

func (e *engine) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

// serve answers the requests of one connection, one at a time.
func (e *engine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	// extra is a second copy of the last answer, which arrives late: at the point where the
	// next answer is expected.
	extra := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Attempt-Id")
		if extra != "" {
			e.note(event{time.Now(), e.id, id, "an extra copy of the last answer on the connection is sent"})
			if _, err := io.WriteString(conn, extra); err != nil {
				return
			}
			extra = ""
		}
		answer := e.answer(request, id)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if e.garbles() {
			extra = answer
		}
	}
}

// answer runs a request or turns it away, and returns the answer.
func (e *engine) answer(request *http.Request, id string) string {
	const kept = "Keep-Alive: timeout=5\r\n"
	if want := request.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n%s\r\n", id, kept)
	}
	if !e.enter() {
		e.note(event{time.Now(), e.id, id, "turned away"})
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n%sContent-Length: 0\r\n%s\r\n", id, e.load(), kept)
	}
	e.note(event{time.Now(), e.id, id, "run"})
	time.Sleep(workMean/2 + rand.N(workMean))
	e.leave()
	body := "booked by " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\n%sContent-Length: %d\r\n%s\r\n%s", id, e.id, e.load(), len(body), kept, body)
}

func (e *engine) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("X-Instance-Load: %d,%d,%d\r\n", e.running, e.waiting, slots)
}

// enter waits for a slot, and reports whether the request may run.
func (e *engine) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= slots && e.waiting >= queue {
		return false
	}
	e.waiting++
	for e.running >= slots {
		e.free.Wait()
	}
	e.waiting--
	e.running++
	return true
}

func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.free.Signal()
}
