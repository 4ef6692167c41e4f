package soak

import (
	"cmp"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"hawthornway/platform/platformtest"
)

// host is a host that runs as a separate process.
type host struct {
	platformtest.Host
	binary     string
	folder     string
	storeProxy *proxy
	// callerProxy is the proxy between the callers and the host.
	callerProxy *proxy

	// disruptions are the times in which the process didn't run or a path of the host was
	// harmed.
	disruptions disruptions

	mu      sync.Mutex
	process *exec.Cmd
	// endStop ends the disruption by the last stop.
	endStop func()
	exited  chan struct{}
	starts  int
	// stops are the times at which the process got the signal to stop.
	stops []time.Time
	// stopping is set from the signal to stop until the process is started again, and ends
	// counts how often it ended without a signal.
	stopping bool
	ends     int
	// peakMemory is the largest resident memory of the host's processes, in bytes.
	peakMemory int64
}

// start starts the process unless it is running. bootstrap is the value of its
// bootstrap setting.
func (h *host) start(bootstrap bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		return nil
	}
	settings := filepath.Join(h.folder, h.Name+".toml")
	if err := h.WriteSettings(settings, h.storeProxy.address, bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.folder, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(h.binary, "gateway", "--settings", settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	h.process, h.exited = command, make(chan struct{})
	h.starts++
	h.stopping = false
	h.disruptions.strike()
	if h.endStop != nil {
		h.endStop()
	}
	go h.watchMemory(command.Process.Pid, h.exited)
	go func(exited chan struct{}) {
		_ = command.Wait() // the cause of the exit is in the process's log
		_ = log.Close()    // the process has exited, so nothing is written any more
		h.mu.Lock()
		h.process = nil
		if !h.stopping {
			h.ends++
		}
		h.mu.Unlock()
		close(exited)
	}(h.exited)
	return nil
}

// signal sends a signal to the process, if it is running.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return
	}
	_ = h.process.Process.Signal(s) // the process may have exited already
}

// defaultGrace is the platform's delay between the stop signal and SIGKILL, in seconds, unless
// the shape has another.
const defaultGrace = 4

// grace returns the delay between the stop signal and SIGKILL.
func (h *host) grace() time.Duration {
	return time.Duration(cmp.Or(h.Grace, defaultGrace)) * time.Second
}

// stop signals the process and kills it if it does not exit in time.
func (h *host) stop(s syscall.Signal) {
	h.mu.Lock()
	exited, running := h.exited, h.process != nil
	h.mu.Unlock()
	if !running {
		return
	}
	h.mu.Lock()
	h.stops = append(h.stops, time.Now())
	h.stopping = true
	h.endStop = h.disruptions.begin()
	h.mu.Unlock()
	h.signal(s)
	select {
	case <-exited:
		return
	case <-time.After(h.grace()):
	}
	h.signal(syscall.SIGKILL)
	<-exited
}

// memoryInterval is the interval at which the memory of hosts is read.
const memoryInterval = 200 * time.Millisecond

// watchMemory records the largest resident memory of a process until it has exited.
func (h *host) watchMemory(pid int, exited chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(memoryInterval):
		}
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			return // it has exited
		}
		for line := range strings.Lines(string(status)) {
			text, ok := strings.CutPrefix(line, "VmHWM:")
			if !ok {
				continue
			}
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
			if err != nil {
				return // the system doesn't tell
			}
			h.mu.Lock()
			h.peakMemory = max(h.peakMemory, kilobytes<<10)
			h.mu.Unlock()
		}
	}
}

// freeze stops the process until the returned function is called.
func (h *host) freeze() (thaw func()) {
	end := h.disruptions.begin()
	h.signal(syscall.SIGSTOP)
	return func() {
		h.signal(syscall.SIGCONT)
		end()
	}
}

// harm sets the mode of one of the host's paths until the returned function is called.
func (h *host) harm(path *proxy, m mode) (end func()) {
	endDisruption := h.disruptions.begin()
	path.setMode(m)
	return func() {
		path.setMode(modePass)
		endDisruption()
	}
}

// excusesCut reports whether a call may be cut because of a planned stop: it was sent no later than
// lateInStop after the signal, and cut in the last sixth of the grace or after it.
func (h *host) excusesCut(c call) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.stops, func(at time.Time) bool {
		cutAfter := c.endedAt.Sub(at)
		return !c.sentAt.After(at.Add(lateInStop)) && cutAfter >= h.grace()*5/6 && cutAfter <= h.grace()+time.Second
	})
}

// lateInStop is the platform's limit for the time after the signal to stop up to which a request
// may be sent that doesn't end in the grace.
const lateInStop = 3 * time.Second

func (h *host) String() string { return fmt.Sprintf("%s (start %d)", h.Name, h.starts) }
