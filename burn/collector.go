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
	// kindReport requests a peer's report, or the reports of its whole domain.
	kindReport peer.Kind = "burn-report"
	// collectTimeout limits the time for collecting the reports of all hosts.
	collectTimeout = 3 * time.Second
	// fetchTimeout is the timeout of one request to a peer.
	fetchTimeout = 1500 * time.Millisecond
	// domainTimeout limits the time for collecting the reports of this host's domain
	// for a peer. It is shorter than fetchTimeout so that the response arrives in time.
	domainTimeout = time.Second
)

type reportRequest struct {
	// WholeDomain requests the reports of all hosts of the peer's domain.
	WholeDomain bool `cbor:"within,omitempty"`
}

type reportResponse struct {
	Reports []Report `cbor:"reports"`
}

// Collector gathers the reports of all hosts.
type Collector struct {
	recorder *Recorder
	mesh     peer.Mesh
	hosts    func() []fleet.HostID
}

// NewCollector returns a new Collector. The function hosts returns the hosts that
// are expected to respond; those that don't are listed as missing in the report.
func NewCollector(recorder *Recorder, mesh peer.Mesh, hosts func() []fleet.HostID) *Collector {
	c := &Collector{recorder, mesh, hosts}
	mesh.Handle(kindReport, c.handle)
	return c
}

// Collect returns the merged report of the hosts that respond.
func (c *Collector) Collect(ctx context.Context) Report {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	byDomain := map[fleet.DomainID][]fleet.HostID{}
	for _, p := range c.mesh.Peers() {
		byDomain[p.Domain] = append(byDomain[p.Domain], p.Host)
	}
	own := byDomain[c.mesh.Self().Domain]
	delete(byDomain, c.mesh.Self().Domain)
	g := &gatherer{reports: []Report{c.recorder.Report()}}
	for _, host := range own {
		g.start(func() ([]Report, error) { return c.fetch(ctx, host, false) })
	}
	for _, hosts := range byDomain {
		g.start(func() ([]Report, error) { return c.fetchDomain(ctx, hosts) })
	}
	return Merge(c.recorder.clock.Now(), g.wait(), c.hosts())
}

// fetchDomain asks the hosts of another domain in turn until one returns the
// reports of its whole domain.
func (c *Collector) fetchDomain(ctx context.Context, hosts []fleet.HostID) ([]Report, error) {
	var lastErr error
	for _, host := range hosts {
		reports, err := c.fetch(ctx, host, true)
		if err == nil {
			return reports, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

func (c *Collector) fetch(ctx context.Context, host fleet.HostID, wholeDomain bool) ([]Report, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var response reportResponse
	err := c.mesh.Call(ctx, host, kindReport, reportRequest{wholeDomain}, &response)
	return response.Reports, trace.Wrap(err)
}

func (c *Collector) handle(ctx context.Context, _ fleet.Member, body []byte) (any, error) {
	var request reportRequest
	if err := peer.Decode(body, &request); err != nil {
		return nil, trace.Wrap(err)
	}
	g := &gatherer{reports: []Report{c.recorder.Report()}}
	if !request.WholeDomain {
		return reportResponse{g.reports}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, domainTimeout)
	defer cancel()
	for _, p := range c.mesh.Peers() {
		if p.Domain == c.mesh.Self().Domain {
			g.start(func() ([]Report, error) { return c.fetch(ctx, p.Host, false) })
		}
	}
	return reportResponse{g.wait()}, nil
}

// gatherer collects reports from several hosts concurrently. Hosts that fail are
// left out.
type gatherer struct {
	pending sync.WaitGroup
	mu      sync.Mutex
	reports []Report
}

func (g *gatherer) start(request func() ([]Report, error)) {
	g.pending.Go(func() {
		reports, err := request()
		if err != nil {
			return
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		g.reports = append(g.reports, reports...)
	})
}

func (g *gatherer) wait() []Report {
	g.pending.Wait()
	return g.reports
}
