// Command 3 shows that hosts go on sending to an engine that is gone from the store, if its
// entry was removed while the coordinator's process restarted.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"time"

	"hawthornway/platform/platformtest"
	"hawthornway/review/harness"
)

const (
	folder = "review/3"
	key    = "key-of-tenant-1"
	// hostCount and engineCount are the numbers of the small deployments.
	hostCount   = 9
	engineCount = 3
	// drain is the bound drain_ms. An engine that leaves goes on serving for that long and a
	// little longer, at times many seconds.
	drain = 2 * time.Second
	serve = 5 * time.Second
	// goneAt is when the engine's entry is removed, after the kill of the coordinator, which
	// starts again after restartAfter.
	goneAt       = 400 * time.Millisecond
	restartAfter = 500 * time.Millisecond
	interval     = 20 * time.Millisecond
	quiet        = 4 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	record, err := harness.NewRecord(folder)
	if err != nil {
		fmt.Println(err)
		return harness.CouldNot
	}
	defer record.Close()
	logs, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		record.Say("%v", err)
		return harness.CouldNot
	}
	defer func() { _ = os.RemoveAll(logs) }()
	store := platformtest.NewStore()
	defer store.Close()
	writeConfig(store)
	a := &arrivals{at: map[string]time.Time{}, sentTo: map[string]string{}}
	for i := range engineCount {
		server := newEngine(store, engineID(i), a)
		defer server.Close()
	}
	fleet := map[string]*harness.Host{}
	for i := range hostCount {
		zone := fmt.Sprintf("andina-%c", 'a'+i%3)
		h := harness.NewHost(fmt.Sprintf("frontend-%s-%d", zone, i/3+1), zone, store.Address(), logs, record)
		fleet[h.Name] = h
		if err := h.Start(true); err != nil {
			record.Say("%v", err)
			return harness.CouldNot
		}
		defer h.Kill()
	}
	for _, h := range fleet {
		if !h.WaitReady(5 * time.Second) {
			record.Say("%s doesn't get ready", h.Name)
			return harness.CouldNot
		}
	}
	time.Sleep(quiet)
	coordinator := harness.Leader(store)
	var others []*harness.Host
	for name, h := range fleet {
		if name != coordinator {
			others = append(others, h)
		}
	}
	var sending sync.WaitGroup
	begin := time.Now()
	sending.Go(func() { send(others, a, record, begin.Add(goneAt+serve)) })
	if harness.Trouble() {
		h := fleet[coordinator]
		record.Say("the coordinator is %s", coordinator)
		sending.Go(func() {
			h.Kill()
			time.Sleep(restartAfter)
			if err := h.Start(false); err != nil {
				record.Say("%v", err)
			}
		})
	}
	time.Sleep(time.Until(begin.Add(goneAt)))
	gone := engineID(0)
	store.Delete("servers/" + gone)
	goneSince := time.Now()
	record.Say("the entry of %s is removed; it goes on serving", gone)
	sending.Wait()
	return judge(record, a, gone, goneSince)
}

func engineID(i int) string { return fmt.Sprintf("i-%d", i+1) }

// judge looks for requests that reached an engine later than drain_ms after it was gone.
func judge(record *harness.Record, a *arrivals, gone string, since time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	late, latest := 0, time.Duration(0)
	byHost := map[string]int{}
	for id, at := range a.at {
		engine, request, _ := strings.Cut(id, "/")
		if engine != gone || at.Sub(since) <= drain {
			continue
		}
		late++
		latest = max(latest, at.Sub(since))
		byHost[a.sentTo[request]]++
	}
	result := harness.Held
	if late > 0 {
		result = harness.Broken
	}
	record.Say("%d of %d requests reached %s later than %v after its entry was removed, the last one %.3f s after; by host: %v; exit code %d",
		late, len(a.at), gone, drain, latest.Seconds(), byHost, result)
	if len(a.at) == 0 {
		return harness.CouldNot
	}
	return result
}

// arrivals holds when requests arrived, by engine and request, and the hosts that got them.
type arrivals struct {
	mu     sync.Mutex
	at     map[string]time.Time
	sentTo map[string]string
}

func send(hosts []*harness.Host, a *arrivals, record *harness.Record, until time.Time) {
	client := harness.NewClient()
	var sending sync.WaitGroup
	defer sending.Wait()
	for n := 0; time.Now().Before(until); n++ {
		h := hosts[rand.IntN(len(hosts))]
		r := harness.Request{
			ID: fmt.Sprintf("r-%d", n), Path: platformtest.PlainPath + "1", Key: key, Timeout: 1500 * time.Millisecond, Body: strings.NewReader("{}"),
		}
		a.mu.Lock()
		a.sentTo[r.ID] = h.Name
		a.mu.Unlock()
		sending.Go(func() {
			answer, err := client.Send(h.Callers, r)
			record.Line("request %s to %s: status %d %q %v", r.ID, h.Name, answer.Status, answer.Body, err)
		})
		time.Sleep(interval)
	}
}

// newEngine starts a plain service.
func newEngine(store *platformtest.Store, id string, a *arrivals) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("X-Attempt-Id")
		a.mu.Lock()
		a.at[id+"/"+request] = time.Now()
		a.mu.Unlock()
		_, _ = io.Copy(io.Discard, r.Body) // the host may have left
		time.Sleep(15 * time.Millisecond)
		w.Header().Set("X-Attempt-Id", request)
		w.Header().Set("X-Server-Seal", "seal-"+id)
		_, _ = io.WriteString(w, "done by "+id) // the host may have left
	}))
	store.Put("servers/"+id, map[string]any{
		"service": platformtest.PlainService, "address": server.Listener.Addr().String(), "zone": "andina-a", "version": "v1", "slots": 6,
		"state": "ready", "cold_left_ms": 0, "sequence": 0, "born": time.Now().UnixMilli(),
	})
	return server
}

func writeConfig(store *platformtest.Store) {
	store.Put("op/config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "book", "hostname": platformtest.Hostname, "prefix": platformtest.PlainPath, "route_kind": "non_idempotent", "timeout_ms": 800,
			"target_latency_ms": 100, "priority": 2, "service": platformtest.PlainService, "max_attempts": 1,
		}},
		"services": []map[string]any{{"name": platformtest.PlainService, "health_path": "/health", "max_connections": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": platformtest.Tenant, "api_keys": []string{key}, "unit": "token", "plain_tokens": 200, "rate_per_s": 200000.0, "burst": 200000.0}},
	})
}
