package relay_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/catalog"
	"hawthornway/outcome"
	"hawthornway/relay"
	"hawthornway/roster"
	"hawthornway/target"
	"hawthornway/team"
)

// dialect uses header names of its own.
type dialect struct{}

func (dialect) ParseRequest(r *http.Request) (relay.Request, error) {
	req := relay.Request{
		ID: relay.RequestID(r.Header.Get("Id")), Key: catalog.Key(r.Header.Get("Key")), Model: "m",
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Path: r.URL.Path, Header: r.Header,
	}
	if text := r.Header.Get("Patience"); text != "" {
		patience, err := time.ParseDuration(text)
		if err != nil {
			return relay.Request{}, err
		}
		req.Timeout = patience
	}
	return req, nil
}

func (dialect) TargetHeader(req relay.Request, s relay.Attempt) http.Header {
	h := req.Header.Clone()
	h.Del("Key")
	h.Set("Team", string(s.Team))
	h.Set("After", strconv.Itoa(int(s.LastEventID)))
	return h
}

func (dialect) IsResponseTo(req relay.Request, answer http.Header) bool {
	return answer.Get("Id") == string(req.ID)
}

func (dialect) ParseResponse(_ target.ID, _ int, answer http.Header) relay.ResponseInfo {
	return relay.ResponseInfo{NotRun: answer.Get("Not-Run") != "", Signed: answer.Get("Seal") != ""}
}

func (dialect) CallerHeader(answer http.Header) http.Header { return answer.Clone() }

// placer offers targets in turn, without those to avoid.
type placer struct {
	mu      sync.Mutex
	targets []roster.Target
	next    int
	results []string
}

func (p *placer) Place(ctx context.Context, ask relay.Ask) (relay.Place, *outcome.NotRun) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() != nil {
		return relay.Place{}, &outcome.NotRun{Reason: outcome.ReasonDeadline}
	}
	for range p.targets {
		t := p.targets[p.next%len(p.targets)]
		p.next++
		if ask.Avoid[t.ID] {
			continue
		}
		return relay.Place{Target: t, Done: func(r relay.Result) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.results = append(p.results, fmt.Sprintf("%T", r))
		}}, nil
	}
	return relay.Place{}, &outcome.NotRun{Reason: outcome.ReasonNoTarget, RetryAfter: 250 * time.Millisecond, Detail: "no target is left"}
}

// limiter grants everything unless it has a refusal.
type limiter struct {
	refusal *outcome.NotRun
	mu      sync.Mutex
	spent   team.Tokens
}

func (l *limiter) Charge(_ context.Context, _ catalog.Team, tokens team.Tokens) (func(), *outcome.NotRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refusal != nil {
		return nil, l.refusal
	}
	l.spent += tokens
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.spent -= tokens
	}, nil
}

// prober says the same of all targets.
type prober struct{ life relay.Life }

func (p prober) Probe(context.Context, roster.Target) relay.Life { return p.life }

// world is a relay in front of targets that are scripted.
type world struct {
	t       *testing.T
	server  *httptest.Server
	placer  *placer
	limiter *limiter
	mu      sync.Mutex
	runs    int
	ended   []relay.Ended
	current bool
	catalog *catalog.Catalog
	targets []*httptest.Server
}

// behaviour is how a target treats a request. Run counts the requests that were
// run so far by all targets.
type behaviour func(w http.ResponseWriter, r *http.Request)

func (w *world) Observe(e relay.Ended) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = append(w.ended, e)
}

func newWorld(t *testing.T, delivery catalog.Delivery, life relay.Life, targets ...behaviour) *world {
	t.Helper()
	w := &world{t: t, placer: &placer{}, limiter: &limiter{}, current: true}
	w.catalog = catalog.New(catalog.Content{
		Version: 7,
		Bounds:  catalog.Bounds{BodyBytes: 1 << 20},
		Routes: []catalog.Route{{
			Name: "route", Host: "a.example", Prefix: "/x/", Delivery: delivery, MaxTargets: 2,
			Timeout: 5 * time.Second, Objective: 50 * time.Millisecond,
			Pools: []catalog.WeightedPool{{Pool: "p", Weight: 1}},
		}},
		Teams: []catalog.Team{{ID: "one", Keys: []catalog.Key{"secret"}, Limit: &catalog.Limit{Rate: 1}}},
	})
	for i, b := range targets {
		s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			// A server notices that its peer has left once it has read the body.
			_, _ = io.Copy(io.Discard, r.Body)
			rw.Header().Set("Id", r.Header.Get("Id"))
			b(rw, r)
		}))
		w.targets = append(w.targets, s)
		t.Cleanup(s.Close)
		w.placer.targets = append(w.placer.targets, roster.Target{ID: target.ID(fmt.Sprintf("t%d", i)), Address: s.Listener.Addr().String()})
	}
	handler := relay.New(
		relay.WithDialect(dialect{}),
		relay.WithCatalogs(func() *catalog.Catalog { return w.catalog }),
		relay.WithCurrent(func() bool { return w.current }),
		relay.WithLimiter(w.limiter),
		relay.WithPlacer(w.placer),
		relay.WithProber(prober{life}),
		relay.WithObserver(w),
		relay.WithLogger(slog.New(slog.DiscardHandler)),
	)
	w.server = httptest.NewServer(handler)
	t.Cleanup(w.server.Close)
	return w
}

// ran counts a run and returns its number.
func (w *world) ran() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs++
	return w.runs
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (w *world) call(change ...func(*http.Request)) reply {
	w.t.Helper()
	req, err := http.NewRequestWithContext(w.t.Context(), http.MethodPost, w.server.URL+"/x/1?q=%2F", strings.NewReader("body"))
	must.NoError(w.t, err)
	req.Host = "a.example"
	req.Header.Set("Id", "id-1")
	req.Header.Set("Key", "secret")
	for _, c := range change {
		c(req)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// cut ends the connection without an answer.
func cut(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// refuse says that the request wasn't run.
func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// sealed answers with a signature.
func sealed(status int, body string) behaviour {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Seal", "s")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// events streams events from the one after the header After up to last, and then
// ends as told.
func events(last int, end func()) behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.Header.Get("After"))
		w.Header().Set("Seal", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := after + 1; i <= last; i++ {
			fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
		if end != nil {
			end()
		}
	}
}

func abort() { panic(http.ErrAbortHandler) }
