package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/catalog"
	"hawthornway/exchange"
	"hawthornway/outcome"
	"hawthornway/relay"
	"hawthornway/roster"
)

// repeat is how a repeatingTarget handles one request.
type repeat struct {
	// refuse is set if the request isn't run.
	refuse bool
	// copies is how often the answer is sent once more: before the answer to the next
	// request on the connection if late is set, and at once otherwise.
	copies int
	late   bool
	// unnamed is set if the answer doesn't say which request it belongs to.
	unnamed bool
	// split is set if the answer is sent in two parts.
	split bool
}

// repeatingTarget is a target in memory that sends answers more than once.
type repeatingTarget struct {
	mu     sync.Mutex
	script []repeat
	runs   map[string]int
}

func (e *repeatingTarget) next() repeat {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.script) == 0 {
		return repeat{}
	}
	first := e.script[0]
	e.script = e.script[1:]
	return first
}

func (e *repeatingTarget) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go e.serve(far)
	return near, nil
}

func (e *repeatingTarget) serve(conn net.Conn) {
	const sendBuffer = 256
	out := make(chan string, sendBuffer)
	defer close(out)
	go func() {
		defer conn.Close()
		for text := range out {
			_, _ = io.WriteString(conn, text) // the host may have closed the connection
		}
	}()
	reader := bufio.NewReader(conn)
	var late []string
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		for _, text := range late {
			out <- text
		}
		late = nil
		id, how := request.Header.Get("Id"), e.next()
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: %d\r\n", len(id))
		body := id
		if how.refuse {
			text, body = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n", ""
		} else {
			e.mu.Lock()
			e.runs[id]++
			e.mu.Unlock()
			time.Sleep(10 * time.Millisecond) // copies arrive while the request runs
		}
		if !how.unnamed {
			text += "Id: " + id + "\r\n"
		}
		text += "\r\n" + body
		if how.split {
			out <- text[:len(text)/2]
			out <- text[len(text)/2:]
		} else {
			out <- text
		}
		for range how.copies {
			if how.late {
				late = append(late, text)
			} else {
				out <- text
			}
		}
	}
}

// playRepeats sends requests that may run once to targets with a script, one after the other,
// and checks that none ran twice, that none that ran was called not run, and that answers are those of
// their requests.
func playRepeats(t *testing.T, script []repeat, requests int) {
	target := &repeatingTarget{script: script, runs: map[string]int{}}
	client := exchange.New(exchange.WithDial(target.dial))
	env := &testEnv{}
	current := catalog.New(catalog.Content{Routes: []catalog.Route{{
		Name: "route", Host: "a.example", Prefix: "/x/", Delivery: catalog.AtMostOnce{}, MaxTargets: 2, Timeout: 5 * time.Second,
		Pools: []catalog.WeightedPool{{Pool: "p", Weight: 1}},
	}}})
	handler := relay.New(
		relay.WithDialect(dialect{}),
		relay.WithCatalog(func() *catalog.Catalog { return current }),
		relay.WithLimiter(&limiter{}),
		relay.WithPlacer(&placer{targets: []roster.Target{{ID: "t0", Address: "t0"}}}),
		relay.WithProber(prober{relay.Busy{}}),
		relay.WithClient(client),
		relay.WithObserver(env),
		relay.WithLogger(slog.New(slog.DiscardHandler)),
	)
	for i := range requests {
		id := fmt.Sprintf("id-%d", i)
		request := httptest.NewRequest(http.MethodPost, "/x/1", nil)
		request.Host = "a.example"
		request.Header.Set("Id", id)
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, request)
		if _, served := env.summaries[i].Outcome.(outcome.Served); served {
			must.Eq(t, id, response.Body.String(), must.Sprintf("answer of another request: %+v", script))
		}
	}
	client.Close()
	time.Sleep(time.Second) // for requests that still run
	for i, summary := range env.summaries {
		id := fmt.Sprintf("id-%d", i)
		runs := target.runs[id]
		must.LessEq(t, 1, runs, must.Sprintf("%s ran %d times: %+v", id, runs, script))
		if refusal, notRun := summary.Outcome.(outcome.NotRun); notRun {
			must.Eq(t, 0, runs, must.Sprintf("%s ran and was called not run (%s): %+v", id, refusal.Detail, script))
		}
	}
}

// Guards against the second copy of a refusal being taken for the answer to the next attempt
// of the same request, or to another one: a booking runs twice, or is called not run while it
// runs.
func TestRepeatedRefusalProvesNothing(t *testing.T) {
	cases := []struct {
		name   string
		script []repeat
	}{
		{"late copy, next attempt", []repeat{{refuse: true, copies: 1, late: true}}},
		{"copy at once, next attempt", []repeat{{refuse: true, copies: 1}}},
		{"two late copies", []repeat{{refuse: true, copies: 2, late: true}}},
		{"copies of two refusals", []repeat{{refuse: true, copies: 1, late: true}, {refuse: true, copies: 1, late: true}}},
		{"refused until the budget is spent, then another request", slices.Repeat([]repeat{{refuse: true, copies: 1, late: true}}, 4)},
		{"unnamed refusals until the budget is spent, then another request", slices.Repeat([]repeat{{refuse: true, copies: 1, late: true, unnamed: true}}, 4)},
		{"unnamed result, then another request", []repeat{{unnamed: true, copies: 1, late: true}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRepeats(t, tc.script, 3) })
		})
	}
}

// FuzzRepeatedAnswers draws targets that repeat, delay and split answers.
func FuzzRepeatedAnswers(f *testing.F) {
	f.Add([]byte{0b00000011})
	f.Add([]byte{0b00001011, 0, 0b00011111, 1, 1, 1, 1, 1, 0b00011011})
	f.Fuzz(func(t *testing.T, text []byte) {
		const maxScript = 32
		var script []repeat
		for _, b := range text[:min(len(text), maxScript)] {
			script = append(script, repeat{refuse: b&1 != 0, copies: int(b >> 1 & 3), late: b&8 != 0, unnamed: b&16 != 0, split: b&32 != 0})
		}
		synctest.Test(t, func(t *testing.T) { playRepeats(t, script, 8) })
	})
}
