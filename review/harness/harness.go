// Package harness runs hosts as processes for the scripts of the review. The platform's
// store and its engines are the stand-ins of package platformtest, in the script's own
// process.
package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"hawthornway/platform/platformtest"
)

// The exit codes of a script.
const (
	Held     = 0
	Broken   = 1
	CouldNot = 2
)

// Program is the host's program, as the deploy file builds it, relative to the root of the
// repository.
const Program = "target/hawthornway"

// The bounds of the small deployments, which the settings of each host state.
const (
	Grace         = 8 * time.Second
	LeaseTime     = 3 * time.Second
	ThawTime      = 300 * time.Millisecond
	RevokeTime    = 5 * time.Second
	QuotaWindow   = 8 * time.Second
	QuotaOverrun  = 0.1
	QuotaSlack    = 11000
	MemoryMB      = 284
	restartDelay  = 500 * time.Millisecond
	readyInterval = 50 * time.Millisecond
)

// Trouble reports whether the script is to cause its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record writes what happened to a file and to standard output.
type Record struct {
	mu    sync.Mutex
	file  io.WriteCloser
	start time.Time
}

// NewRecord creates the record in the folder of a case.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Line writes a line with the time since the start to the file.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Say writes a line to the file and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Since returns an instant as seconds since the start.
func (r *Record) Since(at time.Time) float64 { return at.Sub(r.start).Seconds() }

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// Host is one host's process.
type Host struct {
	platformtest.Host
	store  string
	folder string
	record *Record

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	starts  int
}

// NewHost returns a host that calls the store at an address. Its files go to a folder.
func NewHost(name, zone, store, folder string, record *Record) *Host {
	return &Host{Host: platformtest.NewHost(name, zone), store: store, folder: folder, record: record}
}

// Start starts the host's process. First tells it that the whole system starts for the first
// time.
func (h *Host) Start(first bool) error {
	path := filepath.Join(h.folder, h.Name+".toml")
	if err := os.WriteFile(path, []byte(h.settings(first)), 0o600); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	out, err := os.Create(filepath.Join(h.folder, fmt.Sprintf("%s-%d.log", h.Name, h.starts)))
	if err != nil {
		return err
	}
	process := exec.Command(Program, "gateway")
	process.Env = []string{"HAWTHORNWAY_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + h.folder}
	process.Stdout, process.Stderr = out, out
	if err := process.Start(); err != nil {
		return err
	}
	h.record.Say("start %s, process %d, bootstrap %t", h.Name, process.Process.Pid, first)
	exited := make(chan struct{})
	h.process, h.exited = process, exited
	go func() {
		err := process.Wait()
		_ = out.Close()
		h.record.Say("%s has ended: %v", h.Name, err)
		h.mu.Lock()
		h.process = nil
		h.mu.Unlock()
		close(exited)
	}()
	return nil
}

func (h *Host) settings(first bool) string {
	ip, port, _ := net.SplitHostPort(h.Peers)
	return fmt.Sprintf(`node_name = %q
role = "host"
machine_class = "frontend"
serves = ["frontend"]
ip = %q
zone = %q
region = "andina"
port_range = [%s, %s]
bootstrap = %t
discovery = "platform"
heartbeat_ms = 1200
[listen]
frontend = %q
ready = %q
[limits]
cpu_share = 0.4
cpu_cores = 1
memory_mb = 284
max_fds = 4100
[fault_tolerance]
machines = 2
zones = 1
[bounds]
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
retry_slack = 58
quota_window_s = 8
quota_overshoot = 0.1
quota_slack = 11000
recover_s = 12
pass_ms = 120
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
`, h.Name, ip, h.Zone, port, port, first, h.Callers, h.Readiness, h.store)
}

// Signal sends a signal to the process, if it runs.
func (h *Host) Signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		h.record.Say("signal %v to %s", s, h.Name)
		_ = h.process.Process.Signal(s) // it may just have ended
	}
}

// Restart stops the process as the platform does, with SIGTERM, and with SIGKILL after the
// grace. It then starts the host again.
func (h *Host) Restart() error {
	h.stop()
	time.Sleep(restartDelay)
	return h.Start(false)
}

// Kill ends the process at once.
func (h *Host) Kill() {
	if exited, running := h.running(); running {
		h.Signal(syscall.SIGKILL)
		<-exited
	}
}

// stop sends SIGTERM, and SIGKILL after the grace.
func (h *Host) stop() {
	exited, running := h.running()
	if !running {
		return
	}
	h.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(Grace):
		h.Kill()
	}
}

// running returns the channel that is closed when the process ends, and whether it runs.
func (h *Host) running() (exited <-chan struct{}, running bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exited, h.process != nil
}

// Ready reports whether the host answers the platform's question that it is ready.
func (h *Host) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.Readiness + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until the host is ready, and reports whether it was in time.
func (h *Host) WaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(readyInterval) {
		if h.Ready() {
			return true
		}
	}
	return false
}

// PeakMemory returns the largest resident memory that the process had, in bytes, or zero if
// it doesn't run.
func (h *Host) PeakMemory() int64 {
	h.mu.Lock()
	process := h.process
	h.mu.Unlock()
	if process == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// Leader returns the name of the host that the store's entry of the election names, or an
// empty name.
func Leader(store *platformtest.Store) string {
	var entry struct {
		Host string `json:"host"`
	}
	if json.Unmarshal(store.Value("hawthornway/coordinator"), &entry) != nil {
		return ""
	}
	return entry.Host
}

// WaitLeader waits until the election's entry names a host other than one, and returns it.
func WaitLeader(store *platformtest.Store, other string, timeout time.Duration) string {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if name := Leader(store); name != "" && name != other {
			return name
		}
	}
	return ""
}

// Proxy passes connections on to an address, or refuses them while it is cut.
type Proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// NewProxy starts a proxy to an address.
func NewProxy(to string) (*Proxy, error) {
	listener, err := net.Listen("tcp", platformtest.FreeAddress())
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, to: to, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the proxy.
func (p *Proxy) Close() { _ = p.listener.Close() }

// SetCut resets all connections and refuses further ones, or passes them on again.
func (p *Proxy) SetCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		for conn := range p.conns {
			reset(conn)
		}
	}
}

func reset(conn net.Conn) {
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(near)
	}
}

func (p *Proxy) pass(near net.Conn) {
	defer reset(near)
	p.mu.Lock()
	if p.cut {
		p.mu.Unlock()
		return
	}
	p.conns[near] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, near)
		p.mu.Unlock()
	}()
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer reset(far)
	done := make(chan struct{}, 2)
	go func() { _, _ = io.Copy(far, near); done <- struct{}{} }()
	go func() { _, _ = io.Copy(near, far); done <- struct{}{} }()
	<-done
}

// Request is one request of a client.
type Request struct {
	ID, Path, Key, Model, Tokens string
	Timeout                      time.Duration
	Body                         io.Reader
}

// Client sends requests to hosts. Each goes over a connection of its own.
type Client struct {
	http http.Client
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Answer is the answer to a request.
type Answer struct {
	Status int
	Body   string
	// HeadAt is when the head of the answer had arrived.
	HeadAt time.Time
}

// Send sends a request to the host at an address, and returns its answer after reading all
// of it. The status is zero if there was none.
func (c *Client) Send(address string, r Request) (Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+r.Path, r.Body)
	if err != nil {
		return Answer{}, err
	}
	req.Host = platformtest.Hostname
	req.Header.Set("X-Attempt-Id", r.ID)
	req.Header.Set("X-Key", r.Key)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	if r.Model != "" {
		req.Header.Set("X-Model", r.Model)
	}
	if r.Tokens != "" {
		req.Header.Set("X-Token-Count", r.Tokens)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{}, err
	}
	headAt := time.Now()
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Body: string(text), HeadAt: headAt}, err
}
