package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/service"
)

func newServer(t *testing.T) (*Service, string) {
	t.Helper()
	s := New(Settings{Name: "s1", Slots: 2}, clockwork.NewRealClock())
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return s, server.URL
}

func post(t *testing.T, url string, headers map[string]string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/bookings?x=1", strings.NewReader("body"))
	must.NoError(t, err)
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	if err == nil {
		t.Cleanup(func() { _ = resp.Body.Close() })
	}
	return resp, err
}

func TestCalls(t *testing.T) {
	cases := []struct {
		name    string
		faults  Faults
		headers map[string]string
		status  int
		fails   bool
		runs    map[string]int
	}{
		{name: "by request", headers: map[string]string{"X-Request-Id": "r"}, status: 200, runs: map[string]int{"r": 1}},
		{name: "by key", headers: map[string]string{"X-Request-Id": "r", "Idempotency-Key": "k"}, status: 200, runs: map[string]int{"k": 1}},
		{name: "dies", faults: Faults{DropBeforeResponse: 1}, headers: map[string]string{"X-Request-Id": "r"}, fails: true, runs: map[string]int{"r": 1}},
		{name: "carries a key", headers: map[string]string{"Authorization": "Bearer hw_x"}, status: 400, runs: map[string]int{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, url := newServer(t)
			s.SetFaults(c.faults)
			resp, err := post(t, url, c.headers)
			must.Eq(t, c.fails, err != nil)
			if err == nil {
				must.Eq(t, c.status, resp.StatusCode)
			}
			must.Eq(t, c.runs, s.Executions())
		})
	}
}

func TestReport(t *testing.T) {
	s, url := newServer(t)
	s.SetFaults(Faults{Draining: true})
	report, err := service.NewClient(strings.TrimPrefix(url, "http://")).Report(t.Context())
	must.NoError(t, err)
	must.Eq(t, service.Report{Slots: 2, Draining: true}, report)
}

func TestDrainingServiceRefusesAfterGrace(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := New(Settings{Slots: 1, DrainGrace: time.Second}, clock)
	s.SetFaults(Faults{Draining: true})
	clock.Advance(2 * time.Second)
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x", nil))
	must.Eq(t, http.StatusServiceUnavailable, w.Code)
	must.Eq(t, Counts{RefusedAfterGrace: 1}, s.Counts())
}
