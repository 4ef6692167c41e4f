package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"hawthornway/platform/platformtest"
)

const (
	contactBound = 3 * time.Second
	// arrivalGap follows from the 35.2 requests per second of all kinds on the users' sheet.
	arrivalGap = time.Second * 10 / 352
	// statusTime is the deadline of the sheet's requests to the plain service.
	statusTime = 1500 * time.Millisecond
	// patience is the time after which a client gives up on an idempotent request that isn't read.
	patience  = time.Second
	hostCount = 8
	crowdKey  = "key-1"
	// programs is the number of programs that the callers run, each with a pool of connections.
	programs = 5
)

// crowd are callers that open a connection each, send one request, and stay connected.
type crowd struct {
	stage   *stage
	service *platformtest.Engine
	// watched is the host that isn't lost.
	watched *host

	mu        sync.Mutex
	tries     []try
	unready   []time.Time
	connected int
	idle      []*caller
}

// try is a caller's request on a new connection.
type try struct {
	id   string
	host *host
	at   time.Time
	// taken is set if the request was answered, and left is when the caller closed its connection
	// otherwise.
	taken bool
	left  time.Time
}

// gather starts hosts, loses all but one of them if there is trouble, and lets callers come for a time.
// They stay connected, except that those of one program in five end when the program does, a time after
// the first came, unless that is zero.
func (c *stage) gather(come, programEnd time.Duration, config platformtest.Config, change func(route map[string]any)) (*crowd, error) {
	cr := &crowd{stage: c}
	cr.service = platformtest.NewEngine(c.store, "app-1", platformtest.EngineSpec{Service: platformtest.PlainService, Zone: "z-a", Work: 60 * time.Millisecond})
	if err := c.configure(config, change); err != nil {
		return nil, err
	}
	for i := range hostCount {
		zone := []string{"z-a", "z-b", "z-c"}[i%3]
		if _, err := c.startHost(fmt.Sprintf("frontend-%s-%d", zone, i+1), zone, c.store.Address()); err != nil {
			return nil, err
		}
	}
	if err := c.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	left := c.hosts
	if c.trouble {
		for _, h := range c.hosts[1:] {
			h.signal(syscall.SIGKILL)
		}
		left = c.hosts[:1]
		c.note("%d of %d hosts are lost for good", hostCount-1, hostCount)
		time.Sleep(contactBound + time.Second)
	}
	cr.watched = left[0]
	end := time.Now().Add(come)
	if programEnd > 0 {
		time.AfterFunc(programEnd, cr.endProgram)
	}
	var running sync.WaitGroup
	running.Go(func() { cr.watchReadiness(end) })
	for i := 0; time.Now().Before(end); i++ {
		h := left[rand.IntN(len(left))]
		running.Go(func() { cr.call(h, i) })
		time.Sleep(arrivalGap)
	}
	running.Wait()
	return cr, nil
}

// watchReadiness asks the host that is left whether it is ready, as the platform does.
func (cr *crowd) watchReadiness(end time.Time) {
	for last := ""; time.Now().Before(end); time.Sleep(time.Second) {
		ready := cr.watched.ready()
		state := fmt.Sprintf("%s says that it is ready: %t", cr.watched.name, ready)
		cr.mu.Lock()
		if !ready {
			cr.unready = append(cr.unready, time.Now())
		}
		if state != last {
			cr.stage.note("%s; %d callers are connected", state, cr.connected)
		}
		cr.mu.Unlock()
		last = state
	}
}

// call is one caller's visit. Bookings wait for their deadline, and status requests for patience.
func (cr *crowd) call(h *host, i int) {
	path, wait := platformtest.SafePath, patience
	if i%2 == 0 {
		path, wait = platformtest.PlainPath, statusTime
	}
	t := try{id: fmt.Sprintf("r%d", i), host: h, at: time.Now()}
	client, err := dial(h.callers)
	if err == nil {
		var status int
		status, err = client.do(request{path: path, id: t.id, key: crowdKey, deadline: statusTime, pieces: 1, pieceBytes: 100}, wait)
		if err == nil && status != http.StatusOK {
			cr.stage.note("%s: answered %d", t.id, status)
		}
	}
	t.taken = err == nil
	if client != nil && !t.taken {
		client.close()
		t.left = time.Now()
	}
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.tries = append(cr.tries, t)
	if !t.taken {
		return
	}
	if cr.connected++; cr.connected%250 == 0 {
		cr.stage.note("%d callers are connected, after %s", cr.connected, t.id)
	}
	cr.idle = append(cr.idle, client)
}

// endProgram ends a program that has one in five of the connections, which closes all of them.
func (cr *crowd) endProgram() {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	for i, client := range cr.idle {
		if i%programs == 0 {
			client.close()
		}
	}
	cr.stage.note("a program with %d connections ends", (len(cr.idle)+programs-1)/programs)
}
