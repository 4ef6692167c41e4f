package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"hawthornway/platform/platformtest"
)

// Parameters of the callers' traffic.
const (
	callerCount  = 12
	callInterval = 40 * time.Millisecond
	callTimeout  = 8 * time.Second
	// withdrawalTimeout is the platform's limit for the time until a withdrawn key is
	// refused.
	withdrawalTimeout = 5 * time.Second
)

// call is a request with its result.
type call struct {
	id       string
	stream   bool
	key      string
	sentAt   time.Time
	host     string
	status   int
	body     string
	complete bool
	err      error
}

// callers send requests and record the results. They keep connections open until
// the host closes them.
type callers struct {
	soak *soak

	mu          sync.Mutex
	calls       []call
	lastID      int
	withdrawnAt map[string]time.Time // by withdrawn key
}

func newCallers(s *soak) *callers { return &callers{soak: s, withdrawnAt: map[string]time.Time{}} }

// recordRevocation records that the store has acknowledged a configuration
// without the key.
func (c *callers) recordRevocation(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawnAt[key] = time.Now()
}

func (c *callers) run(ctx context.Context, running *sync.WaitGroup) {
	for i := range callerCount {
		h := c.soak.hosts[i%len(c.soak.hosts)]
		running.Go(func() {
			client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				c.call(client, h, i, n)
				time.Sleep(callInterval)
			}
		})
	}
}

// keyFor returns the key for the n-th call of a caller. One call in five uses the
// last withdrawn key.
func (c *callers) keyFor(caller, n int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := len(c.withdrawnAt)
	if (caller+n)%5 == 0 && current > 0 {
		current--
	}
	return fmt.Sprintf("key-%d", current)
}

func (c *callers) call(client *http.Client, h *host, caller, n int) call {
	c.mu.Lock()
	c.lastID++
	result := call{id: fmt.Sprintf("r%d", c.lastID), stream: n%3 != 0, host: h.Name, sentAt: time.Now()}
	c.mu.Unlock()
	result.key = c.keyFor(caller, n)
	request := platformtest.Call{ID: result.id, Key: result.key, Timeout: callTimeout}
	if result.stream {
		request.Model = fmt.Sprintf("m%d", (caller+n)%modelCount)
	}
	req, err := request.NewRequest(h.callerProxy.address())
	if err != nil {
		panic(err) // a loopback address always makes a valid request
	}
	resp, err := client.Do(req)
	if err == nil {
		result.status = resp.StatusCode
		var body []byte
		body, err = io.ReadAll(resp.Body)
		result.body, result.complete = string(body), err == nil
		_ = resp.Body.Close() // the body was read to its end or its error
	}
	result.err = err
	c.mu.Lock()
	c.calls = append(c.calls, result)
	c.mu.Unlock()
	return result
}

// crashingInterval is the interval at which a request is sent that crashes engines.
const crashingInterval = 150 * time.Millisecond

// sendCrashing sends a request that crashes engines to hosts, one after another. Its results
// don't count.
func (c *callers) sendCrashing(hosts []*host, key, body string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, h := range hosts {
		request := platformtest.Call{ID: fmt.Sprintf("%s-%d", body, i), Key: key, Timeout: time.Second, Model: fmt.Sprintf("m%d", i%modelCount), Body: body}
		req, err := request.NewRequest(h.callerProxy.address())
		if err != nil {
			panic(err) // a loopback address always makes a valid request
		}
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close() // the answer doesn't matter
		}
		time.Sleep(crashingInterval)
	}
}

// waitServed waits until every host has served a request of each kind. It returns
// false after the timeout.
func (c *callers) waitServed(ctx context.Context, timeout time.Duration) bool {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(timeout)
	for _, h := range c.soak.hosts {
		for n := range 2 { // call 0 is plain, call 1 is streamed
			for c.call(client, h, 1, n).status != http.StatusOK {
				if ctx.Err() != nil || time.Now().After(deadline) {
					return false
				}
				time.Sleep(callInterval)
			}
		}
	}
	return true
}

func (c *callers) counts() (requests, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, result := range c.calls {
		if result.status == http.StatusOK && result.complete {
			served++
		}
	}
	return len(c.calls), served
}
