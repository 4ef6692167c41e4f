package burn

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/fleet"
	"hawthornway/peer"
)

const (
	// kindReport asks a peer for its report, or for those of its domain.
	kindReport     peer.Kind = "burn-report"
	collectTimeout           = 3 * time.Second
	askTimeout               = 1500 * time.Millisecond
	withinTimeout            = time.Second
)

type reportQuestion struct {
	// Within asks for the reports of all hosts of the peer's domain.
	Within bool `cbor:"within,omitempty"`
}

type reportAnswer struct {
	Reports []Report `cbor:"reports"`
}

// Collector gathers the reports of all hosts.
type Collector struct {
	recorder *Recorder
	mesh     peer.Mesh
	hosts    func() []fleet.HostID
}

// NewCollector returns a new Collector. Hosts returns all hosts that should
// answer.
func NewCollector(recorder *Recorder, mesh peer.Mesh, hosts func() []fleet.HostID) *Collector {
	c := &Collector{recorder, mesh, hosts}
	mesh.Handle(kindReport, c.handle)
	return c
}

// Collect returns the merged report of the hosts that answer.
func (c *Collector) Collect(ctx context.Context) Report {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	byDomain := map[fleet.DomainID][]fleet.HostID{}
	for _, p := range c.mesh.Peers() {
		byDomain[p.Domain] = append(byDomain[p.Domain], p.Host)
	}
	own := byDomain[c.mesh.Self().Domain]
	delete(byDomain, c.mesh.Self().Domain)
	g := &gathering{reports: []Report{c.recorder.Report()}}
	for _, host := range own {
		g.ask(func() ([]Report, error) { return c.ask(ctx, host, false) })
	}
	for _, hosts := range byDomain {
		g.ask(func() ([]Report, error) { return c.askFirst(ctx, hosts) })
	}
	return Merge(c.recorder.clock.Now(), g.wait(), c.hosts())
}

// askFirst asks the hosts of another domain, one after the other, until one
// answers for the whole domain.
func (c *Collector) askFirst(ctx context.Context, hosts []fleet.HostID) ([]Report, error) {
	var failure error
	for _, host := range hosts {
		reports, err := c.ask(ctx, host, true)
		if err == nil {
			return reports, nil
		}
		failure = err
	}
	return nil, failure
}

func (c *Collector) ask(ctx context.Context, host fleet.HostID, within bool) ([]Report, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var answer reportAnswer
	err := c.mesh.Call(ctx, host, kindReport, reportQuestion{within}, &answer)
	return answer.Reports, trace.Wrap(err)
}

func (c *Collector) handle(ctx context.Context, _ fleet.Member, body []byte) (any, error) {
	var question reportQuestion
	if err := peer.Decode(body, &question); err != nil {
		return nil, trace.Wrap(err)
	}
	g := &gathering{reports: []Report{c.recorder.Report()}}
	if !question.Within {
		return reportAnswer{g.reports}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, withinTimeout)
	defer cancel()
	for _, p := range c.mesh.Peers() {
		if p.Domain == c.mesh.Self().Domain {
			g.ask(func() ([]Report, error) { return c.ask(ctx, p.Host, false) })
		}
	}
	return reportAnswer{g.wait()}, nil
}

// gathering collects the answers of several hosts.
type gathering struct {
	asking  sync.WaitGroup
	mu      sync.Mutex
	reports []Report
}

func (g *gathering) ask(question func() ([]Report, error)) {
	g.asking.Go(func() {
		reports, err := question()
		if err != nil {
			return
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		g.reports = append(g.reports, reports...)
	})
}

func (g *gathering) wait() []Report {
	g.asking.Wait()
	return g.reports
}
