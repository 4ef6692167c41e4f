package soak

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"hawthornway/platform/platformtest"
)

// Parameters of the callers' traffic.
const (
	callTimeout = 8 * time.Second
	// retryInterval is the pause before a call is repeated that has failed.
	retryInterval = 40 * time.Millisecond
	// One call in lateBodies sends the end of its body after bodyPause.
	lateBodies = 11
	bodyPause  = 150 * time.Millisecond
	// One call in longBodies has a body that doesn't fit into the buffers of its connections.
	longBodies    = 13
	longBodyBytes = 4<<20 - 1<<10
	// hastyRepeats is how often a hasty caller repeats a call that has failed, at once.
	hastyRepeats = 3
	// withdrawalTimeout is the platform's limit for the time until a withdrawn key is
	// refused.
	withdrawalTimeout = 5 * time.Second
)

// call is a request with its result.
type call struct {
	id      string
	kind    kind
	key     string
	sentAt  time.Time
	endedAt time.Time
	// kept is set if the connection had served an earlier call, and wholeAt is when the last
	// byte of the request was sent, or zero. left is set if the caller left early.
	kept    bool
	wholeAt time.Time
	left    bool
	// repeat is set if an earlier attempt of the caller wasn't served.
	repeat   bool
	host     string
	status   int
	body     string
	complete bool
	// retryAfter is the time after which the caller may try again, or zero.
	retryAfter time.Duration
	err        error
}

// served reports whether the call was answered with success and in full.
func (c call) served() bool { return c.status == http.StatusOK && c.complete }

// cut reports whether the call's answer broke off, or there was none although the call had reached
// a target and its time was not over.
func (c call) cut(reached bool) bool {
	answerless := c.status == 0 && reached && c.endedAt.Sub(c.sentAt) < c.kind.timeout
	return !c.complete && (c.status == http.StatusOK || answerless)
}

// callers send requests and record the results. They keep connections open until
// the host closes them.
type callers struct {
	soak *soak

	mu          sync.Mutex
	calls       []call
	lastID      int
	withdrawnAt map[string]time.Time // by withdrawn key
	// hastyUntil is until when one caller in three repeats calls at once and often, and
	// leavingUntil is until when one in four leaves early.
	hastyUntil, leavingUntil time.Time
	// crashingSent are the times at which requests that crash engines were sent.
	crashingSent []time.Time
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
	for i := range c.soak.Shape.Callers {
		h := c.soak.hosts[i%len(c.soak.hosts)]
		running.Go(func() {
			client := newClient()
			defer client.close()
			for n := 0; ctx.Err() == nil; n++ {
				// Requests in progress end by themselves when the callers stop.
				c.callAndRetry(context.WithoutCancel(ctx), client, h, i, n)
				time.Sleep(c.soak.Shape.CallInterval)
			}
		})
	}
}

// callAndRetry makes a call and repeats it as callers do: after a refusal, and after any
// failure if it may be repeated, once and at another host.
func (c *callers) callAndRetry(ctx context.Context, client *client, h *host, caller, n int) {
	c.mu.Lock()
	hasty := caller%3 == 0 && time.Now().Before(c.hastyUntil)
	leaves := caller%4 == 1 && time.Now().Before(c.leavingUntil)
	c.mu.Unlock()
	if leaves {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, leaveAfter)
		defer cancel()
	}
	result := c.call(ctx, client, h, c.keyFor(caller, n), caller, n, false)
	repeats := 1
	if hasty {
		repeats = hastyRepeats
	}
	for i := 0; i < repeats && ctx.Err() == nil && !result.served() && (result.kind.repeatable || notRun(result.status)); i++ {
		if !hasty {
			time.Sleep(max(retryInterval, min(result.retryAfter, result.kind.timeout/3)))
		}
		other := c.soak.hosts[(caller+n+i+1)%len(c.soak.hosts)]
		result = c.call(ctx, client, other, c.keyFor(caller, n), caller, n, true)
	}
}

// leaveAfter is the time after which callers leave that leave early.
const leaveAfter = 100 * time.Millisecond

// currentKey returns the key that was not withdrawn.
func (c *callers) currentKey() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("key-%d", len(c.withdrawnAt))
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

func (c *callers) call(callerCtx context.Context, client *client, h *host, key string, caller, n int, repeat bool) call {
	c.mu.Lock()
	c.lastID++
	kinds := c.soak.Shape.kinds
	result := call{id: fmt.Sprintf("r%d", c.lastID), kind: kinds[n%len(kinds)], host: h.Name, repeat: repeat, sentAt: time.Now()}
	c.mu.Unlock()
	if !result.kind.open {
		result.key = key
	}
	ctx, cancel := context.WithTimeout(callerCtx, result.kind.timeout)
	defer cancel()
	request := platformtest.Call{ID: result.id, Key: result.key, Timeout: result.kind.timeout, Path: result.kind.path, Body: `{"call":"` + result.id + `"}`}
	if (caller+n)%longBodies == 0 && c.soak.Shape.MemoryMB == 0 {
		request.Body += strings.Repeat(" ", longBodyBytes)
	}
	if result.kind.stream {
		request.Model = fmt.Sprintf("m%d", (caller+n)%modelCount)
		request.Prefix = fmt.Sprintf("%s:10,%s%d:20,session%d:5", firstPart, documentPart, n%documentCount, caller)
	}
	req, err := request.NewRequest(h.callerProxy.address)
	if err != nil {
		panic(err) // a loopback address always makes a valid request
	}
	var pause time.Duration
	if (caller+n)%lateBodies == 0 {
		pause = bodyPause
	}
	seen, err := client.do(ctx, req, pause)
	result.err, result.endedAt, result.kept, result.wholeAt = err, time.Now(), seen.kept, seen.sentAt
	result.left = callerCtx.Err() != nil // not if only the time of the call is over
	if resp := seen.response; resp != nil {
		result.status, result.body, result.complete = resp.StatusCode, string(seen.body), err == nil
		if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			result.retryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	c.mu.Lock()
	c.calls = append(c.calls, result)
	c.mu.Unlock()
	return result
}

// The parts of prompts: all begin with firstPart, followed by one of a few documents and a part for
// each session.
const (
	firstPart     = "system"
	documentPart  = "document"
	documentCount = 3
)

// crashingInterval is the interval at which a request is sent that crashes engines.
const crashingInterval = 150 * time.Millisecond

// sendCrashing sends a request that crashes engines to hosts, one after another. Its results
// don't count.
func (c *callers) sendCrashing(hosts []*host, key, body string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, h := range hosts {
		request := platformtest.Call{ID: fmt.Sprintf("%s-%d", body, i), Key: key, Timeout: time.Second, Model: fmt.Sprintf("m%d", i%modelCount), Body: body}
		req, err := request.NewRequest(h.callerProxy.address)
		if err != nil {
			panic(err) // a loopback address always makes a valid request
		}
		c.mu.Lock()
		c.crashingSent = append(c.crashingSent, time.Now())
		c.mu.Unlock()
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close() // the answer doesn't matter
		}
		time.Sleep(crashingInterval)
	}
}

// waitServed waits until every host has served a request of each kind. It returns
// false after the timeout.
func (c *callers) waitServed(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var waiting sync.WaitGroup
	for _, h := range c.soak.hosts {
		waiting.Go(func() {
			client := newClient()
			defer client.close()
			for n := range c.soak.Shape.kinds {
				for ctx.Err() == nil && !c.call(ctx, client, h, c.currentKey(), 1, n, false).served() {
					time.Sleep(retryInterval)
				}
			}
		})
	}
	waiting.Wait()
	return ctx.Err() == nil
}

func (c *callers) counts() (requests, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, result := range c.calls {
		if result.served() {
			served++
		}
	}
	return len(c.calls), served
}
