package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"hawthornway/platform/platformtest"
)

const (
	revokeBound = 5 * time.Second
	// freezeTime is that of the longest freeze in the site file.
	freezeTime = 6600 * time.Millisecond
	// uploadTime is how long a caller takes to send a body. It leaves a part of the deadline.
	uploadTime  = 1200 * time.Millisecond
	bookingTime = 1500 * time.Millisecond
	uploadCount = 8
	uploadGap   = 150 * time.Millisecond
)

// playRevokedUpload freezes a host while a key is taken away. Connected callers with that key begin to
// send requests once the bound has passed, and are still sending them when the host wakes.
func playRevokedUpload(c *stage) (broken bool, err error) {
	const taken, kept = "key-taken-away", "key-kept"
	service := platformtest.NewEngine(c.store, "app-1", platformtest.EngineSpec{Service: platformtest.PlainService, Zone: "z-a", Work: 60 * time.Millisecond})
	defer service.Close()
	config := platformtest.Config{Version: 3, Keys: []string{taken, kept}}
	if err := c.configure(config, unchanged); err != nil {
		return false, err
	}
	for i, zone := range []string{"z-a", "z-b", "z-c"} {
		if _, err := c.startHost(fmt.Sprintf("frontend-%s-%d", zone, i+1), zone, c.store.Address()); err != nil {
			return false, err
		}
	}
	if err := c.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	frozen := c.follower()
	callers := map[string]*caller{}
	for i := range uploadCount {
		for _, key := range []string{taken, kept} {
			id := fmt.Sprintf("%s-%d", key, i)
			if callers[id], err = dial(frozen.callers); err != nil {
				return false, err
			}
			defer callers[id].close()
			status, err := callers[id].do(request{path: platformtest.PlainPath, id: "first-" + id, key: key, deadline: bookingTime, pieces: 1, pieceBytes: 100}, bookingTime)
			if err != nil || status != http.StatusOK {
				return false, fmt.Errorf("%s: the first request got status %d, error %v", id, status, err)
			}
		}
	}
	c.note("%d callers are connected to %s; their first requests were answered with 200", len(callers), frozen.name)
	if c.trouble {
		frozen.signal(syscall.SIGSTOP)
		c.note("%s freezes", frozen.name)
	}
	freeze := time.Now()
	time.Sleep(200 * time.Millisecond)
	config.Version, config.Keys = 8, []string{kept}
	if err := c.configure(config, unchanged); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	c.note("the store has acknowledged a configuration that takes %s away", taken)
	var uploads sync.WaitGroup
	first := acknowledged.Add(revokeBound + 50*time.Millisecond)
	for i := range uploadCount {
		for _, key := range []string{taken, kept} {
			uploads.Go(func() {
				time.Sleep(time.Until(first.Add(time.Duration(i) * uploadGap)))
				id := fmt.Sprintf("%s-%d", key, i)
				c.note("%s: sends its first byte %.3f s after the acknowledgement", id, time.Since(acknowledged).Seconds())
				status, err := callers[id].do(request{path: platformtest.PlainPath, id: id, key: key, deadline: bookingTime, pieces: 12, pieceBytes: 4 << 10, over: uploadTime}, bookingTime)
				c.note("%s: answered %d, error %v", id, status, err)
			})
		}
	}
	time.Sleep(time.Until(freeze.Add(freezeTime)))
	if c.trouble {
		c.note("%s wakes", frozen.name)
		frozen.signal(syscall.SIGCONT)
	}
	uploads.Wait()
	for id, runs := range service.Runs() {
		if strings.HasPrefix(id, taken) {
			c.note("%s has run %d times", id, runs)
			broken = true
		}
	}
	return broken, nil
}

// follower returns a host that isn't the coordinator.
func (c *stage) follower() *host {
	entry := string(c.store.Value("hawthornway/coordinator"))
	for _, h := range c.hosts {
		if !strings.Contains(entry, h.name) {
			return h
		}
	}
	return c.hosts[0]
}
