package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/memory"
	"hawthornway/platform"
	"hawthornway/relay"
	"hawthornway/roster"
	"hawthornway/target"
)

// reportingEngine is an engine in memory whose reports have a body and take some time.
type reportingEngine struct {
	body  string
	work  time.Duration
	dials atomic.Int64
}

func (e *reportingEngine) dial(context.Context, string, string) (net.Conn, error) {
	e.dials.Add(1)
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
			return
		}
		time.Sleep(e.work)
		_, _ = fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(e.body), e.body) // the prober may have left
		_, _ = io.Copy(io.Discard, far)
	}()
	return near, nil
}

func engineTarget(id target.ID) roster.Target {
	return roster.Target{ID: id, Address: "10.0.0.1:80", Holdings: roster.Holdings{Models: []roster.Resident{{Model: "m"}}}}
}

// Guards against many requests that wait for a faulty engine and each read its report: what they hold
// together grows with their number.
func TestRequestsShareTheProbeOfATarget(t *testing.T) {
	cases := []struct {
		name  string
		left  time.Duration // of the request that probes first
		work  time.Duration
		want  relay.Liveness
		dials int64
	}{
		{"answers", time.Second, 100 * time.Millisecond, relay.Idle{}, 2},
		{"is silent", time.Second, time.Minute, relay.Unresponsive{}, 2},
		{"the first request has no time left", time.Millisecond, 100 * time.Millisecond, relay.Idle{}, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &reportingEngine{body: `{"models":[]}`, work: tc.work}
				p := newProber(e.dial)
				var wg sync.WaitGroup
				for i := range 100 {
					for _, id := range []target.ID{"a", "b"} {
						wg.Go(func() {
							timeout := time.Second
							if i == 0 {
								timeout = tc.left
							} else {
								time.Sleep(time.Millisecond / 2)
							}
							ctx, cancel := context.WithTimeout(t.Context(), timeout)
							defer cancel()
							must.Eq(t, tc.want, p.Probe(ctx, engineTarget(id)))
						})
					}
				}
				wg.Wait()
				must.Eq(t, tc.dials, e.dials.Load())
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against reports of faulty engines that together take the host over its memory, or fill the
// lists that hosts keep.
func TestReportsOfFaultyEnginesAreNotRead(t *testing.T) {
	cases := []struct {
		name, body string
	}{
		{"many models", `{"models":[` + strings.Repeat(`{},`, 5000) + `{}]}`},
		{"more than there is memory for", `{"x":"` + strings.Repeat("a", 100<<10) + `"}`},
		{"without an end", strings.Repeat("[", 1<<20)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &reportingEngine{body: tc.body}
				budget := memory.NewBudget(2<<20, clockwork.NewRealClock())
				engines := platform.NewEngines(platform.WithEngineDial(e.dial), platform.WithReportMemory(budget), platform.WithoutIdleConns())
				_, err := engines.Report(t.Context(), engineTarget("a"))
				must.Error(t, err)
				must.Zero(t, budget.Used())
				time.Sleep(time.Minute)
			})
		})
	}
}
