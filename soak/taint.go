package soak

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"hawthornway/platform/platformtest"
)

// taint is a part of prompts under which engines crash for some time.
type taint struct {
	part   string
	moment platformtest.CrashMoment
	// prefix is the format of the prompts with the part, for the part and the number of the request.
	prefix   string
	from, to time.Time
}

// The requests with a tainted part, and the requests with it that are answered before it is tainted, for
// long enough that hosts know how other requests fare.
const (
	taintedRequests = 30
	taintedInterval = 150 * time.Millisecond
	soundRequests   = 60
	// taintDelay is the time after which hosts that were disrupted have contact again.
	taintDelay = contactTime + 200*time.Millisecond
)

// The platform's limits: how many crashes and how long after that a part may still reach engines, and
// the share of the other requests that must be served meanwhile.
const (
	allowedTaintCrashes = 5
	taintLag            = time.Second
	minServedBeside     = 0.5
)

// taintFaults are requests with a part that crashes engines: at some position of their prompts, at some
// moment of their runs, from the beginning or after requests with it were answered.
func taintFaults() []fault {
	const (
		second = firstPart + ":10,%[1]s:20,new%[2]d:5"
		third  = firstPart + ":10," + documentPart + "1:20,%[1]s:20,new%[2]d:5"
		last   = firstPart + ":10," + documentPart + "1:20,%[1]s:5"
		only   = "%[1]s:5"
	)
	taints := []struct {
		name   string
		prefix string
		moment platformtest.CrashMoment
		sound  bool
	}{
		{"second part crashes engines after their head", second, platformtest.AfterHead, false},
		{"second part crashes engines before their head", second, platformtest.BeforeHead, false},
		{"sound part begins to crash engines", second, platformtest.AfterHead, true},
		{"sound part begins to crash engines before their head", third, platformtest.BeforeHead, true},
		{"part after a shared one crashes engines", third, platformtest.AfterHead, false},
		{"last part crashes engines", last, platformtest.AfterHead, false},
		{"only part crashes engines", only, platformtest.BeforeHead, false},
	}
	var faults []fault
	for _, tt := range taints {
		faults = append(faults, fault{tt.name, func(s *soak) func() {
			t := &taint{part: fmt.Sprintf("taint%d", len(s.taints)), moment: tt.moment, prefix: tt.prefix}
			s.taints = append(s.taints, t)
			hosts := make([]*host, taintedRequests+soundRequests)
			for i := range hosts {
				hosts[i] = s.randomHost()
			}
			engines, key := slices.Clone(s.engines), s.currentKey()
			return func() {
				if tt.sound {
					s.callers.sendWithPart(t, hosts[taintedRequests:], key, taintedRequests)
				}
				s.recordFault("%s: %s", tt.name, t.part)
				defer s.beginFaulty(engines)()
				t.from = time.Now()
				for _, e := range engines {
					e.Taint(t.part, t.moment)
				}
				s.callers.sendWithPart(t, hosts[:taintedRequests], key, 0)
				t.to = time.Now()
				s.recordFault("%s has crashed %d engines", t.part, len(t.crashes(engines)))
			}
		}, taintDelay})
	}
	return faults
}

// crashes returns the times at which engines have crashed under the part, in order.
func (t *taint) crashes(engines []*platformtest.Engine) []time.Time {
	var times []time.Time
	for _, e := range engines {
		times = append(times, e.TaintCrashes(t.part)...)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// sendWithPart sends requests with a part to hosts at an interval, numbered from first. Their results
// don't count.
func (c *callers) sendWithPart(t *taint, hosts []*host, key string, first int) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var sending sync.WaitGroup
	for i, h := range hosts {
		id := fmt.Sprintf("%s-%d", t.part, first+i)
		request := platformtest.Call{
			ID: id, Key: key, Timeout: time.Second, Model: fmt.Sprintf("m%d", i%modelCount),
			Prefix: fmt.Sprintf(t.prefix, t.part, first+i), Body: `{"call":"` + id + `"}`,
		}
		req, err := request.NewRequest(h.callerProxy.address)
		if err != nil {
			panic(err) // a loopback address always makes a valid request
		}
		c.mu.Lock()
		c.crashingSent = append(c.crashingSent, time.Now())
		c.mu.Unlock()
		sending.Go(func() {
			if resp, err := client.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body) // the answer doesn't matter
				_ = resp.Body.Close()
			}
		})
		time.Sleep(taintedInterval)
	}
	sending.Wait()
}

// checkTaints checks that hosts in touch with each other, without other faults, stop sending requests with a part that crashes
// engines, and go on to serve others.
func (s *soak) checkTaints(engines []*platformtest.Engine, report func(string, ...any)) {
	for _, t := range s.taints {
		alone := !slices.ContainsFunc(s.taints, func(other *taint) bool {
			return other != t && other.from.Before(t.to) && t.from.Before(other.to.Add(contactTime))
		})
		if !alone || !s.inTouch(t.from, t.to) || !s.besideTaints.calm(t.from, t.to) {
			continue
		}
		crashes := t.crashes(engines)
		if len(crashes) >= allowedTaintCrashes {
			settled := crashes[allowedTaintCrashes-1].Add(taintLag)
			if n := runsWith(t.part, engines, settled); n > 0 {
				report("%d requests with %s began to run over %v after its fifth crash, of %d crashes", n, t.part, taintLag, len(crashes))
			}
		}
		if sent, served := s.callers.besides(t); float64(served) < minServedBeside*float64(sent) {
			report("%d of %d other streams were served at the first attempt while requests with %s came, after %d crashes", served, sent, t.part, len(crashes))
		}
	}
}

// runsWith counts the runs of requests with a part that began after an instant.
func runsWith(part string, engines []*platformtest.Engine, after time.Time) (n int) {
	for _, e := range engines {
		for _, a := range e.Arrived() {
			if a.Ran && a.At.After(after) && slices.Contains(platformtest.PromptParts(a.Prefix), part) {
				n++
			}
		}
	}
	return n
}

// besides counts the callers' streams that were sent while requests with a tainted part came, and
// those that were served. Repeats don't count.
func (c *callers) besides(t *taint) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, result := range c.calls {
		if !result.kind.stream || result.repeat || result.sentAt.Before(t.from) || result.sentAt.After(t.to) {
			continue
		}
		sent++
		if result.served() {
			served++
		}
	}
	return sent, served
}
