package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/engine"
	"hawthornway/standin/weights"
)

// fixedLoader loads each model remotely in a fixed time.
type fixedLoader time.Duration

func (l fixedLoader) Load(ctx context.Context, _ weights.Load) error {
	select {
	case <-time.After(time.Duration(l)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func testSettings() Settings {
	s := DefaultSettings()
	s.Name = "e1"
	s.Memory = 100
	s.HostMemory = 60
	s.Disk = 200
	s.HostBytesPerSecond = 1000
	s.DiskBytesPerSecond = 100
	s.Slots = 1
	s.QueueEntries = 2
	s.StepTime = 10 * time.Millisecond
	s.EventLoss = 0
	return s
}

// run runs f against a new engine in a synctest bubble.
func run(t *testing.T, change func(*Settings), f func(t *testing.T, e *Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		settings := testSettings()
		if change != nil {
			change(&settings)
		}
		e := New(settings, clockwork.NewRealClock(), fixedLoader(time.Second))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			e.Run(ctx)
		}()
		f(t, e)
		cancel()
		<-done
	})
}

// call serves one request. It returns nil if the engine aborted the connection.
func call(e *Engine, r *http.Request) (w *httptest.ResponseRecorder) {
	defer func() {
		if recover() != nil {
			w = nil
		}
	}()
	w = httptest.NewRecorder()
	e.Handler().ServeHTTP(w, r)
	return w
}

func order(e *Engine, body string) *httptest.ResponseRecorder {
	return call(e, httptest.NewRequest(http.MethodPost, "/orders", strings.NewReader(body)))
}

func loadReady(t *testing.T, e *Engine, name string, size int) {
	t.Helper()
	body := fmt.Sprintf(`{"order":"load-%s","kind":"load","model":%q,"version":"1","bytes":%d,"fence":1}`, name, name, size)
	must.Eq(t, http.StatusOK, order(e, body).Code)
	time.Sleep(2 * time.Second)
}

func ask(ctx context.Context, e *Engine, id, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/completions", strings.NewReader(body))
	r.Header.Set(headerRequest, id)
	r.Header.Set(headerAttempt, "1")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return call(e, r)
}

func streamed(limit int) string {
	return fmt.Sprintf(`{"model":"m","prompt":"hello","max_tokens":%d,"ignore_eos":true,"stream":true,"stream_options":{"include_usage":true}}`, limit)
}

func freshReport(t *testing.T, e *Engine) report {
	t.Helper()
	w := call(e, httptest.NewRequest(http.MethodGet, "/report?fresh=1", nil))
	var got report
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &got))
	return got
}

func TestOrders(t *testing.T) {
	cases := []struct {
		name   string
		orders []string
		status int
		reason string
	}{
		{name: "load", orders: []string{`{"order":"a","kind":"load","model":"m","bytes":100}`}, status: 200},
		{name: "beyond the memory", orders: []string{
			`{"order":"a","kind":"load","model":"m","bytes":60}`,
			`{"order":"b","kind":"load","model":"n","bytes":41}`,
		}, status: 507, reason: "memory"},
		{name: "repeated", orders: []string{
			`{"order":"a","kind":"load","model":"m","bytes":60}`,
			`{"order":"a","kind":"load","model":"m","bytes":60}`,
		}, status: 200},
		{name: "old fence", orders: []string{
			`{"order":"a","kind":"fence","fence":5}`,
			`{"order":"b","kind":"load","model":"m","fence":4}`,
		}, status: 409, reason: "fence"},
		{name: "adapter without its base", orders: []string{
			`{"order":"a","kind":"load-adapter","model":"x","base":"m"}`,
		}, status: 503, reason: "base-not-loaded"},
		{name: "unknown kind", orders: []string{`{"order":"a","kind":"x"}`}, status: 400, reason: "unknown-kind"},
		{name: "unload of nothing", orders: []string{`{"order":"a","kind":"unload","model":"m"}`}, status: 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, nil, func(t *testing.T, e *Engine) {
				var last *httptest.ResponseRecorder
				for _, body := range c.orders {
					last = order(e, body)
				}
				must.Eq(t, c.status, last.Code)
				must.StrContains(t, last.Body.String(), c.reason)
				must.LessEq(t, e.settings.Memory, freshReport(t, e).Used)
			})
		})
	}
}

func TestLoadSources(t *testing.T) {
	run(t, nil, func(t *testing.T, e *Engine) {
		for _, name := range []string{"m", "n"} {
			loadReady(t, e, name, 50)
		}
		must.Eq(t, http.StatusOK, order(e, `{"order":"u1","kind":"unload","model":"m","version":"1","fence":1}`).Code)
		must.Eq(t, http.StatusOK, order(e, `{"order":"u2","kind":"unload","model":"n","version":"1","fence":1}`).Code)
		must.Eq(t, 0, freshReport(t, e).Used)
		// Only the last loaded model fits into the host memory.
		order(e, `{"order":"l1","kind":"load","model":"n","version":"1","bytes":50,"fence":1}`)
		order(e, `{"order":"l2","kind":"load","model":"m","version":"1","bytes":50,"fence":1}`)
		time.Sleep(time.Second)
		var sources []Source
		var took []int64
		for _, l := range e.Loads() {
			sources = append(sources, l.Source)
			took = append(took, l.ReadyMS-l.StartedMS)
		}
		must.Eq(t, []Source{SourceRemote, SourceRemote, SourceMemory, SourceDisk}, sources)
		must.Eq(t, []int64{1000, 1000, 50, 500}, took)
	})
}

func TestStreamAndResume(t *testing.T) {
	run(t, nil, func(t *testing.T, e *Engine) {
		loadReady(t, e, "m", 10)
		start := time.Now()
		whole := ask(t.Context(), e, "r1", streamed(6)).Body.String()
		must.Eq(t, 60*time.Millisecond, time.Since(start).Truncate(10*time.Millisecond))
		must.StrContains(t, whole, "id: r1/1/0\n")
		must.StrContains(t, whole, `"completion_tokens":6`)
		must.StrHasSuffix(t, "id: r1/1/6\ndata: [DONE]\n\n", whole)

		rest := ask(t.Context(), e, "r1", streamed(6), headerResume, "4").Body.String()
		at := strings.Index(whole, "id: r1/1/4\n")
		must.Eq(t, whole[at:], rest)
		must.Eq(t, 2, e.Executions()["r1"])
	})
}

func TestPriorityAndQueueBound(t *testing.T) {
	run(t, nil, func(t *testing.T, e *Engine) {
		loadReady(t, e, "m", 10)
		ended := make(chan string, 3)
		for i, priority := range []string{"0", "1", "5"} {
			go func() {
				ask(t.Context(), e, priority, streamed(5), headerPriority, priority)
				ended <- priority
			}()
			time.Sleep(time.Duration(i+1) * time.Millisecond)
		}
		must.Eq(t, http.StatusTooManyRequests, ask(t.Context(), e, "x", streamed(5)).Code)
		must.Eq(t, []string{"0", "5", "1"}, []string{<-ended, <-ended, <-ended})
	})
}

func TestRefusedRequests(t *testing.T) {
	run(t, nil, func(t *testing.T, e *Engine) {
		must.Eq(t, http.StatusNotFound, ask(t.Context(), e, "r", streamed(1)).Code)
		must.Eq(t, http.StatusBadRequest, ask(t.Context(), e, "r", streamed(1), "X-Team-Key", "hw_abc").Code)
		must.Eq(t, http.StatusBadRequest, ask(t.Context(), e, "r", streamed(1), "Authorization", "x").Code)
		must.Eq(t, 2, e.Counts().KeysSeen)
		loadReady(t, e, "m", 10)
		e.SetFaults(Faults{Draining: true})
		must.Eq(t, http.StatusOK, ask(t.Context(), e, "r", streamed(1)).Code)
		time.Sleep(3 * time.Second)
		must.Eq(t, http.StatusServiceUnavailable, ask(t.Context(), e, "r", streamed(1)).Code)
		must.True(t, freshReport(t, e).Draining)
	})
}

func TestCancelledRequestLeavesBatch(t *testing.T) {
	run(t, nil, func(t *testing.T, e *Engine) {
		loadReady(t, e, "m", 10)
		ctx, cancel := context.WithTimeout(t.Context(), 25*time.Millisecond)
		defer cancel()
		must.Nil(t, ask(ctx, e, "r", streamed(100)))
		must.Eq(t, 0, freshReport(t, e).Running)
		must.Eq(t, 2, e.Counts().Tokens)
	})
}

func TestUnloadWaitsForRequests(t *testing.T) {
	run(t, nil, func(t *testing.T, e *Engine) {
		loadReady(t, e, "m", 10)
		ended := make(chan string)
		go func() { ended <- ask(t.Context(), e, "r", streamed(10)).Body.String() }()
		time.Sleep(20 * time.Millisecond)
		order(e, `{"order":"u","kind":"unload","model":"m","version":"1","fence":1}`)
		must.Eq(t, 10, freshReport(t, e).Used)
		must.Eq(t, http.StatusNotFound, ask(t.Context(), e, "s", streamed(1)).Code)
		must.StrContains(t, <-ended, "[DONE]")
		must.Eq(t, 0, freshReport(t, e).Used)
	})
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults Faults
		check  func(t *testing.T, e *Engine)
	}{
		{name: "dies and starts again", faults: Faults{CrashAfterTokens: 3}, check: func(t *testing.T, e *Engine) {
			boot := freshReport(t, e).Boot
			must.Nil(t, ask(t.Context(), e, "r", streamed(9)))
			must.Nil(t, ask(t.Context(), e, "r", streamed(9)))
			time.Sleep(3 * time.Second)
			must.Greater(t, boot, freshReport(t, e).Boot)
			must.SliceEmpty(t, freshReport(t, e).Replicas)
		}},
		{name: "truncates", faults: Faults{TruncateResponses: true}, check: func(t *testing.T, e *Engine) {
			got := ask(t.Context(), e, "r", streamed(6)).Body.String()
			must.StrContains(t, got, "id: r/1/2")
			must.StrNotContains(t, got, "DONE")
		}},
		{name: "crosses", faults: Faults{CrossResponses: true}, check: func(t *testing.T, e *Engine) {
			ask(t.Context(), e, "r", streamed(1))
			must.Eq(t, "r", ask(t.Context(), e, "s", streamed(1)).Header().Get(headerRequest))
		}},
		{name: "refuses orders", faults: Faults{RefuseOrders: true}, check: func(t *testing.T, e *Engine) {
			must.Eq(t, http.StatusServiceUnavailable, order(e, `{"order":"z","kind":"fence","fence":9}`).Code)
		}},
		{name: "loads hang", faults: Faults{LoadHangs: true}, check: func(t *testing.T, e *Engine) {
			order(e, `{"order":"z","kind":"load","model":"n","bytes":1,"fence":1}`)
			time.Sleep(time.Hour)
			must.Eq(t, engine.ReplicaLoading, freshReport(t, e).Replicas[1].State)
			order(e, `{"order":"y","kind":"unload","model":"n","fence":1}`)
			must.Len(t, 1, freshReport(t, e).Replicas)
		}},
		{name: "freezes", faults: Faults{Freeze: true}, check: func(t *testing.T, e *Engine) {
			go func() {
				time.Sleep(time.Minute)
				e.SetFaults(Faults{})
			}()
			start := time.Now()
			must.StrContains(t, ask(t.Context(), e, "r", streamed(1)).Body.String(), "DONE")
			must.GreaterEq(t, time.Minute, time.Since(start))
		}},
		{name: "delays orders", faults: Faults{OrderDelayMS: 5000}, check: func(t *testing.T, e *Engine) {
			start := time.Now()
			order(e, `{"order":"z","kind":"fence","fence":9}`)
			must.Eq(t, 5*time.Second, time.Since(start))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, nil, func(t *testing.T, e *Engine) {
				loadReady(t, e, "m", 10)
				e.SetFaults(c.faults)
				c.check(t, e)
			})
		})
	}
}

func TestReportLagAndPrefixCache(t *testing.T) {
	run(t, nil, func(t *testing.T, e *Engine) {
		loadReady(t, e, "m", 10)
		body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":1}`, strings.Repeat("x", 3*engine.PrefixRunes+1))
		must.StrContains(t, ask(t.Context(), e, "r", body).Body.String(), `"cached_tokens":0`)
		must.StrContains(t, ask(t.Context(), e, "s", body).Body.String(), `"cached_tokens":48`)
		must.SliceEmpty(t, e.eventsAfter(0).Events)
		time.Sleep(e.settings.EventLag)
		must.Len(t, 3, e.eventsAfter(0).Events)

		old := call(e, httptest.NewRequest(http.MethodGet, "/report", nil)).Body.String()
		order(e, `{"order":"z","kind":"role","role":"decode","fence":1}`)
		must.Eq(t, old, call(e, httptest.NewRequest(http.MethodGet, "/report", nil)).Body.String())
		time.Sleep(e.settings.ReportLag)
		must.StrContains(t, call(e, httptest.NewRequest(http.MethodGet, "/report", nil)).Body.String(), `"decode"`)
	})
}

func TestMemoryTime(t *testing.T) {
	run(t, nil, func(t *testing.T, e *Engine) {
		loadReady(t, e, "m", 10) // one second of loading, one of idling
		ask(t.Context(), e, "r", streamed(100))
		counts := e.Counts()
		must.Eq(t, MemoryTime(10), counts.Loading)
		must.Eq(t, MemoryTime(10), counts.Idle)
		must.InDelta(t, 10, float64(counts.Busy), 0.1)
	})
}

func TestExpectedAnswer(t *testing.T) {
	run(t, nil, func(t *testing.T, e *Engine) {
		loadReady(t, e, "m", 10)
		body := `{"model":"m","prompt":"hello","seed":3,"max_tokens":9}`
		text, tokens, err := ExpectedAnswer([]byte(body), e.settings.MeanAnswer)
		must.NoError(t, err)
		answer := ask(t.Context(), e, "r", body).Body.String()
		must.StrContains(t, answer, fmt.Sprintf(`"text":%q`, text))
		must.StrContains(t, answer, fmt.Sprintf(`"completion_tokens":%d`, tokens))
	})
}
