package loadgen

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"hawthornway/team"
	"hawthornway/workload"
)

// maxIdleConns limits the idle connections to each host.
const maxIdleConns = 256

// Settings configures a Runner.
type Settings struct {
	// Address returns the address for a request that is planned for a host, as a
	// load balancer would choose it at the time of the call.
	Address func(host int) string
	// Keys holds the API key of each team. Teams without an entry send none.
	Keys map[team.ID]string
	// Deadline is how long each caller waits for the first token, or for the
	// complete answer of a service.
	Deadline time.Duration
	// MeanAnswer is the mean answer length of the stand-in engines, from which
	// the expected answers are computed.
	MeanAnswer int
	// Progress, if set, is called after each request with the number of ended
	// requests.
	Progress func(ended int)
}

// Runner sends the requests of a plan.
type Runner struct {
	settings Settings
	client   *http.Client
	start    time.Time

	mu      sync.Mutex
	results []Result
}

// NewRunner returns a Runner with connections of its own to the hosts.
func NewRunner(settings Settings) *Runner {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Runner{settings: settings, client: &http.Client{Transport: transport}}
}

// Run sends each request at its planned time. It returns the results, in the
// order in which the requests ended, once all have ended.
func (r *Runner) Run(ctx context.Context, plan []workload.Arrival) []Result {
	r.start = time.Now()
	r.results = nil
	var group sync.WaitGroup
	for _, arrival := range plan {
		if !r.sleepUntil(ctx, arrival.At) {
			break
		}
		group.Go(func() { r.record(r.send(ctx, arrival)) })
	}
	group.Wait()
	return r.results
}

// Close closes the idle connections.
func (r *Runner) Close() { r.client.CloseIdleConnections() }

// Start returns the time that the planned times are relative to.
func (r *Runner) Start() time.Time { return r.start }

// sleepUntil waits until a planned time. It returns false if the context ends
// first.
func (r *Runner) sleepUntil(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(time.Until(r.start.Add(at)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Runner) record(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
	if r.settings.Progress != nil {
		r.settings.Progress(len(r.results))
	}
}
