// Command 1 shows that a request which may run once only runs twice, when an engine's refusal
// comes twice on one connection: the host sends the refused request again on the connection,
// and takes the second copy of the first refusal for the answer to that.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"hawthornway/platform/platformtest"
	"hawthornway/review/harness"
)

const (
	folder = "review/1"
	key    = "key-of-tenant-1"
	// hostCount is the number of hosts, as small deployments have it.
	hostCount = 9
	// engines is the number of engines of the service, of which garbling ones send extra
	// copies: a share of 0.6.
	engines, garbling = 3, 2
	// extraShare is the share of the answers that come twice.
	extraShare = 0.05
	// garbleFor is how long that lasts at a time, and garbleGap the pause between.
	garbleFor, garbleGap = 6 * time.Second, 2 * time.Second
	// interval is the mean time between two requests.
	interval = 6500 * time.Microsecond
	load     = 60 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	record, err := harness.NewRecord(folder)
	if err != nil {
		fmt.Println(err)
		return harness.CouldNot
	}
	defer record.Close()
	logs, err := os.MkdirTemp("", "review-1-")
	if err != nil {
		record.Say("%v", err)
		return harness.CouldNot
	}
	defer func() { _ = os.RemoveAll(logs) }()
	store := platformtest.NewStore()
	defer store.Close()
	writeConfig(store)
	begin := time.Now()
	l := &ledger{record: record, runs: map[string]int{}, events: map[string][]event{}, statuses: map[string]int{}}
	for i := range engines {
		garbles := func() bool {
			return harness.Trouble() && i < garbling && time.Since(begin)%(garbleFor+garbleGap) > garbleGap && rand.Float64() < extraShare
		}
		e, err := newEngine(store, fmt.Sprintf("i-%d", i+1), fmt.Sprintf("amm-%c", 'a'+i), garbles, l.note)
		if err != nil {
			record.Say("%v", err)
			return harness.CouldNot
		}
		defer e.close()
	}
	var hosts []*harness.Host
	for i := range hostCount {
		zone := fmt.Sprintf("amm-%c", 'a'+i%3)
		h := harness.NewHost(fmt.Sprintf("frontend-%s-%d", zone, i/3+1), zone, store.Address(), logs, record)
		if err := h.Start(true); err != nil {
			record.Say("%v", err)
			return harness.CouldNot
		}
		defer h.Kill()
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		if !h.WaitReady(5 * time.Second) {
			record.Say("%s doesn't get ready", h.Name)
			return harness.CouldNot
		}
	}
	send(hosts, l, begin.Add(load))
	return l.judge()
}

// send sends requests to the hosts.
func send(hosts []*harness.Host, l *ledger, until time.Time) {
	client := harness.NewClient()
	var sending sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		h := hosts[rand.IntN(len(hosts))]
		r := harness.Request{
			ID: fmt.Sprintf("r-%d", n), Path: platformtest.PlainPath + "1", Key: key, Timeout: 1500 * time.Millisecond, Body: strings.NewReader("{}"),
		}
		sending.Go(func() {
			answer, err := client.Send(h.Callers, r)
			l.answered(r.ID, h.Name, answer, err)
		})
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(interval)))
	}
	sending.Wait()
}

// ledger keeps what was run and answered.
type ledger struct {
	record *harness.Record

	mu       sync.Mutex
	runs     map[string]int
	events   map[string][]event
	statuses map[string]int
}

func (l *ledger) note(e event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events[e.request] = append(l.events[e.request], e)
	if e.what == "run" {
		l.runs[e.request]++
	}
	l.record.Line("request %s at %s: %s", e.request, e.engine, e.what)
}

func (l *ledger) answered(id, host string, answer harness.Answer, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[id] = answer.Status
	l.record.Line("request %s, sent to %s, is answered with status %d, %q %v", id, host, answer.Status, answer.Body, err)
}

// judge looks for requests that ran twice, or ran and were answered with a promise that they
// had not run.
func (l *ledger) judge() int {
	time.Sleep(time.Second)
	l.mu.Lock()
	defer l.mu.Unlock()
	byStatus := map[int]int{}
	for _, status := range l.statuses {
		byStatus[status]++
	}
	l.record.Say("%d requests, answers by status: %v", len(l.statuses), byStatus)
	if byStatus[200] == 0 {
		return harness.CouldNot
	}
	twice, refused := 0, 0
	for id, runs := range l.runs {
		broken := ""
		switch {
		case runs > 1:
			twice++
			broken = "TWICE"
		case slices.Contains([]int{408, 421, 429, 503}, l.statuses[id]):
			refused++
			broken = "REFUSED"
		default:
			continue
		}
		l.record.Say("%s: request %s was run %d times and answered with status %d", broken, id, runs, l.statuses[id])
		for _, e := range l.events[id] {
			l.record.Say("    %.3f at %s: %s", l.record.Since(e.at), e.engine, e.what)
		}
	}
	l.record.Say("%d requests ran twice, %d ran and were answered with a promise not to", twice, refused)
	if twice+refused > 0 {
		return harness.Broken
	}
	return harness.Held
}

func writeConfig(store *platformtest.Store) {
	store.Put("op/config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "book", "hostname": platformtest.Hostname, "prefix": platformtest.PlainPath, "route_kind": "non_idempotent", "timeout_ms": 800,
			"target_latency_ms": 300, "priority": 2, "service": platformtest.PlainService, "max_attempts": 1,
		}},
		"services": []map[string]any{{"name": platformtest.PlainService, "health_path": "/health", "max_connections": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": platformtest.Tenant, "api_keys": []string{key}, "unit": "token", "plain_tokens": 200, "rate_per_s": 200000.0, "burst": 200000.0}},
	})
}
