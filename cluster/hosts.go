package cluster

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/baseline"
	"hawthornway/fleet"
	"hawthornway/standin"
	"hawthornway/team"
)

// Time limits for starting and stopping hosts.
const (
	readyTimeout      = 45 * time.Second
	readyPollInterval = 50 * time.Millisecond
	stopTimeout       = 5 * time.Second
)

// Hosts are the entry hosts of a deployment, by index.
type Hosts interface {
	// Start starts the hosts and waits until all are ready.
	Start(ctx context.Context) error
	// Keys returns one key for each team.
	Keys() map[team.ID]string
	// Kill ends a host immediately, without a graceful stop.
	Kill(host int) error
	// Close stops all hosts.
	Close()
}

// processHosts are hosts that run as separate processes.
type processHosts struct {
	binary     string
	logFolder  string
	deployment Deployment
	standins   *standin.Set
	onStart    func(pid int, domain fleet.DomainID)
	keys       map[team.ID]string

	mu       sync.Mutex
	commands []*exec.Cmd
}

// NewProcesses returns Hosts that run as processes of `binary serve`. Their logs
// are written to logFolder. onStart is called with the ID and the domain of each
// started process.
func NewProcesses(binary, logFolder string, d Deployment, standins *standin.Set, onStart func(pid int, domain fleet.DomainID)) Hosts {
	return &processHosts{binary: binary, logFolder: logFolder, deployment: d, standins: standins, onStart: onStart}
}

// Start starts the hosts and waits until all are ready.
func (p *processHosts) Start(ctx context.Context) error {
	var err error
	if p.keys, err = bootstrap(ctx, p.standins.KeyValue, p.deployment); err != nil {
		return trace.Wrap(err)
	}
	for _, host := range p.deployment.Hosts {
		if err := p.startHost(host); err != nil {
			return trace.Wrap(err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, host := range p.deployment.Hosts {
		if err := awaitReady(ctx, host.Settings.Listen.Callers); err != nil {
			return trace.Wrap(err, "host %s did not become ready", host.Settings.Host)
		}
	}
	return nil
}

func (p *processHosts) startHost(host HostFile) error {
	log, err := os.Create(filepath.Join(p.logFolder, string(host.Settings.Host)+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(p.binary, "serve", "--settings", host.Path)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	p.onStart(command.Process.Pid, host.Settings.Domain)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.commands = append(p.commands, command)
	return nil
}

// awaitReady polls the readiness check of a host until it succeeds.
func awaitReady(ctx context.Context, address string) error {
	for {
		if isReady(ctx, address) {
			return nil
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func isReady(ctx context.Context, address string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Keys returns one key for each team.
func (p *processHosts) Keys() map[team.ID]string { return p.keys }

// Kill ends a host immediately, without a graceful stop.
func (p *processHosts) Kill(host int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.commands[host].Process.Kill()
}

// Close stops all hosts, and kills those that do not stop within stopTimeout.
func (p *processHosts) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var group sync.WaitGroup
	for _, command := range p.commands {
		group.Go(func() { stop(command) })
	}
	group.Wait()
}

func stop(command *exec.Cmd) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = command.Wait() // the exit code of a stopped host does not matter
	}()
	_ = command.Process.Signal(syscall.SIGTERM) // the process may have exited already
	select {
	case <-done:
	case <-time.After(stopTimeout):
		_ = command.Process.Kill()
		<-done
	}
}

// baselineHosts are baseline hosts that run in this process.
type baselineHosts struct {
	deployment Deployment
	keys       map[team.ID]string
	servers    []*http.Server
}

// NewBaselines returns Hosts that are baseline hosts in this process.
func NewBaselines(d Deployment) Hosts {
	keys := make(map[team.ID]string)
	for _, t := range d.Config.Teams {
		keys[t.Name] = "key of " + string(t.Name)
	}
	return &baselineHosts{deployment: d, keys: keys}
}

// Start starts the hosts.
func (b *baselineHosts) Start(context.Context) error {
	teams := make(map[string]team.ID)
	for name, key := range b.keys {
		teams[key] = name
	}
	for _, host := range b.deployment.Hosts {
		listener, err := net.Listen("tcp", host.Settings.Listen.Callers)
		if err != nil {
			return trace.Wrap(err)
		}
		handler := baseline.New(string(host.Settings.Host), b.deployment.Config, teams, len(b.deployment.Hosts))
		server := &http.Server{Handler: handler, ReadHeaderTimeout: stopTimeout}
		b.servers = append(b.servers, server)
		go func() { _ = server.Serve(listener) }() // it returns once the server is closed
	}
	return nil
}

// Keys returns one key for each team.
func (b *baselineHosts) Keys() map[team.ID]string { return b.keys }

// Kill ends a host immediately, without a graceful stop.
func (b *baselineHosts) Kill(host int) error { return b.servers[host].Close() }

// Close stops all hosts.
func (b *baselineHosts) Close() {
	for _, server := range b.servers {
		_ = server.Close() // it may be closed already
	}
}
