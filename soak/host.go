package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"hawthornway/platform/platformtest"
)

// host is one real process.
type host struct {
	platformtest.Host
	binary     string
	folder     string
	storeProxy *proxy
	// callerProxy is the way of callers to the host.
	callerProxy *proxy

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	starts  int
	paused  bool
}

// start starts the process, or does nothing if it runs.
func (h *host) start(first bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		return nil
	}
	settings := filepath.Join(h.folder, h.Name+".toml")
	if err := h.WriteSettings(settings, h.storeProxy.address(), first); err != nil {
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
	go func(exited chan struct{}) {
		_ = command.Wait() // the way in which it ended is in its log
		_ = log.Close()    // nothing is written any more
		h.mu.Lock()
		h.process = nil
		h.mu.Unlock()
		close(exited)
	}(h.exited)
	return nil
}

// signal sends a signal to the process that this soak started.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return
	}
	_ = h.process.Process.Signal(s) // it may have ended meanwhile
}

// stopTimeout is the platform's time between the signal to stop and the kill.
const stopTimeout = 4 * time.Second

// stop stops the process, at last by force.
func (h *host) stop(s syscall.Signal) {
	h.mu.Lock()
	exited, running := h.exited, h.process != nil
	h.mu.Unlock()
	if !running {
		return
	}
	h.signal(s)
	select {
	case <-exited:
		return
	case <-time.After(stopTimeout):
	}
	h.signal(syscall.SIGKILL)
	<-exited
}

func (h *host) String() string { return fmt.Sprintf("%s (start %d)", h.Name, h.starts) }
