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

// The traffic of the callers.
const (
	callerCount = 12
	callPause   = 40 * time.Millisecond
	callTimeout = 8 * time.Second
	// revokeBound is the platform's time in which a withdrawn key stops working.
	revokeBound = 5 * time.Second
)

// call is one request with what became of it.
type call struct {
	id     string
	stream bool
	key    string
	sent   time.Time
	host   string
	status int
	body   string
	whole  bool
	err    error
}

// callers send requests and remember them. They keep connections open until the
// other end closes them.
type callers struct {
	soak *soak

	mu    sync.Mutex
	calls []call
	next  int
	ended map[string]time.Time // withdrawn keys
}

func newCallers(s *soak) *callers { return &callers{soak: s, ended: map[string]time.Time{}} }

// withdrawn takes note that the store has acknowledged a configuration without a
// key.
func (c *callers) withdrawn(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended[key] = time.Now()
}

func (c *callers) run(ctx context.Context, running *sync.WaitGroup) {
	for i := range callerCount {
		h := c.soak.hosts[i%len(c.soak.hosts)]
		running.Go(func() {
			client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				c.call(client, h, i, n)
				time.Sleep(callPause)
			}
		})
	}
}

// keyFor returns the key that a caller uses. Some go on with withdrawn ones.
func (c *callers) keyFor(caller, n int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := len(c.ended)
	if (caller+n)%5 == 0 && now > 0 {
		now--
	}
	return fmt.Sprintf("key-%d", now)
}

func (c *callers) call(client *http.Client, h *host, caller, n int) call {
	c.mu.Lock()
	c.next++
	made := call{id: fmt.Sprintf("r%d", c.next), stream: n%3 != 0, host: h.Name, sent: time.Now()}
	c.mu.Unlock()
	made.key = c.keyFor(caller, n)
	wanted := platformtest.Call{ID: made.id, Key: made.key, Timeout: callTimeout}
	if made.stream {
		wanted.Model = fmt.Sprintf("m%d", (caller+n)%modelCount)
	}
	req, err := wanted.NewRequest(h.callers.address())
	if err != nil {
		panic(err) // the address is one of this machine
	}
	resp, err := client.Do(req)
	if err == nil {
		made.status = resp.StatusCode
		var body []byte
		body, err = io.ReadAll(resp.Body)
		made.body, made.whole = string(body), err == nil
		_ = resp.Body.Close() // it was read
	}
	made.err = err
	c.mu.Lock()
	c.calls = append(c.calls, made)
	c.mu.Unlock()
	return made
}

// waitServed waits until every host has served a request of each kind.
func (c *callers) waitServed(ctx context.Context, within time.Duration) bool {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	until := time.Now().Add(within)
	for _, h := range c.soak.hosts {
		for kind := range 2 {
			for c.call(client, h, 1, kind).status != http.StatusOK {
				if ctx.Err() != nil || time.Now().After(until) {
					return false
				}
				time.Sleep(callPause)
			}
		}
	}
	return true
}

func (c *callers) counts() (requests, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, made := range c.calls {
		if made.status == http.StatusOK && made.whole {
			served++
		}
	}
	return len(c.calls), served
}
