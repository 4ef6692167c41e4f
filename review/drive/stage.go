package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"hawthornway/platform/platformtest"
)

// stage holds the stand-ins and the hosts of a case.
type stage struct {
	trouble bool
	folder  string
	began   time.Time
	store   *platformtest.Store
	hosts   []*host

	mu     sync.Mutex
	record io.Writer
}

// newStage returns a stage with an empty store and without hosts.
func newStage(record io.Writer, trouble bool) (*stage, error) {
	folder, err := os.MkdirTemp("", "hawthornway-review-")
	if err != nil {
		return nil, err
	}
	c := &stage{trouble: trouble, folder: folder, began: time.Now(), store: platformtest.NewStore(), record: record}
	c.note("disruption: %t", trouble)
	return c, nil
}

// note writes a line to the record, with the time since the beginning.
func (c *stage) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(c.record, line) // the exit code tells the result as well
	fmt.Print(line)
}

// close ends all processes and removes the temporary folder.
func (c *stage) close() {
	for _, h := range c.hosts {
		h.kill()
	}
	c.store.Close()
	_ = os.RemoveAll(c.folder) // a leftover temporary folder does no harm
}

// limits are the bounds of a small deployment for what clients may send and how long they may take or
// stay idle.
var limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

// unchanged leaves a route as it is.
func unchanged(map[string]any) {}

// configure writes a configuration as the operator does, with the limits and with a change of its routes.
func (c *stage) configure(config platformtest.Config, change func(route map[string]any)) error {
	scratch := platformtest.NewStore()
	defer scratch.Close()
	config.Apply(scratch)
	var fields map[string]any
	if err := json.Unmarshal(scratch.Value(configKey), &fields); err != nil {
		return err
	}
	routes, _ := fields["routes"].([]any)
	for _, r := range routes {
		if route, ok := r.(map[string]any); ok {
			change(route)
		}
	}
	fields["limits"] = limits
	c.store.Put(configKey, fields)
	return nil
}

const configKey = "op/config"

// host is a process of the program that the deploy file names.
type host struct {
	name, callers, readiness string
	cmd                      *exec.Cmd
	done                     chan struct{}
}

// settings is the settings file of a host, with the bounds of a small deployment.
const settings = `node_name = %q
role = "host"
machine_class = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = %q
region = "r"
port_range = [%s, %s]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
z-a = "r"
z-b = "r"
z-c = "r"
[listen]
frontend = %q
ready = %q
[limits]
cpu_share = 0.4
cpu_cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_ms = 250
max_skew_ms = 5000
revoke_global = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_slack = 56
quota_window_s = 8
quota_overshoot = 0.1
quota_slack = 11000
recover_s = 12
pass_ms = 120
retry_after_s = 0
require_fence = false
lease_ms = 3000
thaw_ms = 300
ceiling_window_s = 5
ceiling_overshoot = 1.1
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// startHost starts a host whose store is at an address.
func (c *stage) startHost(name, zone, store string) (*host, error) {
	h := &host{name: name, callers: platformtest.FreeAddress(), readiness: platformtest.FreeAddress(), done: make(chan struct{})}
	_, port, err := net.SplitHostPort(platformtest.FreeAddress())
	if err != nil {
		return nil, err
	}
	path := filepath.Join(c.folder, name+".toml")
	text := fmt.Sprintf(settings, name, zone, port, port, h.callers, h.readiness, store)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(c.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	h.cmd = exec.Command("target/hawthornway", "gateway")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.folder, "HAWTHORNWAY_NODE_FILE=" + path}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return nil, err
	}
	c.hosts = append(c.hosts, h)
	go func() {
		_ = h.cmd.Wait() // how it ended doesn't matter
		close(h.done)
	}()
	return h, nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) } // it may have ended

// kill ends the process, also while it is stopped.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.done
}

// ready reports whether the host says that it is ready.
func (h *host) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.readiness + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // nothing is read of it
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func (c *stage) awaitReady() error {
	const limit = 20 * time.Second
	for start := time.Now(); time.Since(start) < limit; time.Sleep(100 * time.Millisecond) {
		all := true
		for _, h := range c.hosts {
			all = all && h.ready()
		}
		if all {
			c.note("%d hosts are ready", len(c.hosts))
			return nil
		}
	}
	return errors.New("the hosts didn't become ready")
}

// saveLogs copies a part of the hosts' logs to the record.
func (c *stage) saveLogs(words ...string) {
	for _, h := range c.hosts {
		text, err := os.ReadFile(filepath.Join(c.folder, h.name+".log"))
		if err != nil {
			continue // the record has the rest
		}
		for line := range strings.SplitSeq(string(text), "\n") {
			for _, word := range words {
				if strings.Contains(line, word) {
					c.note("log of %s: %s", h.name, line)
					break
				}
			}
		}
	}
}
