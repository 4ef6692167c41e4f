package limit

import (
	"context"
	"sync"

	"github.com/gravitational/trace"

	"hawthornway/fleet"
	"hawthornway/member"
)

// ledgerReport is a report to one ledger that is being sent.
type ledgerReport struct {
	cache   *tokenCache
	account *ledgerAccount
	batch   *reportBatch
	request grantRequest
}

// reportAll reports to all ledgers what this host spent, in one message to each host.
func (c *controller) reportAll(ctx context.Context) {
	var dirty []*tokenCache
	for i := range c.cacheShards {
		dirty = append(dirty, c.cacheShards[i].takeDirty()...)
	}
	c.report(ctx, dirty)
}

// report sends the reports of some token caches.
func (c *controller) report(ctx context.Context, caches []*tokenCache) {
	outgoing := make(map[fleet.HostID][]ledgerReport)
	for _, cache := range caches {
		c.collectReports(cache, outgoing)
	}
	var sending sync.WaitGroup
	for host, reports := range outgoing {
		sending.Go(func() { c.sendReports(ctx, host, reports) })
	}
	sending.Wait()
}

// takeDirty returns the dirty caches, and marks them clean.
func (s *tokenCacheShard) takeDirty() []*tokenCache {
	s.mu.Lock()
	defer s.mu.Unlock()
	dirty := make([]*tokenCache, 0, len(s.dirty))
	for cache := range s.dirty {
		dirty = append(dirty, cache)
	}
	clear(s.dirty)
	return dirty
}

// collectReports adds the reports of one token cache to outgoing.
func (c *controller) collectReports(cache *tokenCache, outgoing map[fleet.HostID][]ledgerReport) {
	if !cache.returnUnspent(c.clock.Now()) {
		c.markDirty(cache)
	}
	cache.mu.Lock()
	defer cache.mu.Unlock()
	for _, a := range cache.accounts {
		owner, known := c.ledgers.ledgerHost(a.domain, cache.team)
		if !known || !a.hasReport() {
			continue
		}
		request := grantRequest{Team: cache.team, Epoch: a.epoch}
		report := ledgerReport{cache: cache, account: a}
		request.Report, report.batch = a.takeReport()
		report.request = request
		outgoing[owner.Host] = append(outgoing[owner.Host], report)
	}
}

// sendReports sends the reports to the ledgers of one host, and applies its answers.
func (c *controller) sendReports(ctx context.Context, host fleet.HostID, reports []ledgerReport) {
	ctx, cancel := c.timeout(ctx, ledgerCallTimeout)
	defer cancel()
	requestedAt := c.clock.Now()
	request := settleRequest{Reports: make([]grantRequest, 0, len(reports))}
	for _, report := range reports {
		request.Reports = append(request.Reports, report.request)
	}
	settled, err := c.sendSettleRequest(ctx, host, request)
	if err == nil && len(settled.Answers) != len(reports) {
		err = trace.BadParameter("host %s answered %d of %d reports", host, len(settled.Answers), len(reports))
	}
	for i, report := range reports {
		var answer grantAnswer
		if err == nil {
			answer = settled.Answers[i]
		}
		report.cache.mu.Lock()
		c.applyAnswer(report.cache, report.account, requestedAt, report.batch, answer, err)
		report.cache.mu.Unlock()
	}
}

// sendSettleRequest sends reports to the ledgers of a host, which may be this one.
func (c *controller) sendSettleRequest(ctx context.Context, host fleet.HostID, request settleRequest) (settleAnswer, error) {
	self := c.ownership.Self()
	if host == self.Host {
		return c.ledgers.applyReports(ctx, self.Domain, request), nil
	}
	var answer settleAnswer
	err := c.mesh.Call(ctx, host, kindSettle, request, &answer)
	return answer, trace.Wrap(err)
}

// applyReports applies reports to several ledgers of this host.
func (m *ledgerManager) applyReports(ctx context.Context, from fleet.DomainID, request settleRequest) settleAnswer {
	answer := settleAnswer{Answers: make([]grantAnswer, 0, len(request.Reports))}
	for _, report := range request.Reports {
		answer.Answers = append(answer.Answers, m.serve(ctx, from, report))
	}
	return answer
}

// canRelease reports whether no write for a shard's ledgers is in progress.
func (m *ledgerManager) canRelease(shard member.Shard) bool {
	s := &m.shards[shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, managed := range s.ledgers {
		if len(managed.recordLock) > 0 {
			return false
		}
	}
	return true
}

// scheduleReport schedules a report of a token cache: an urgent one after
// urgentReportDelay, any other in the next round.
func (c *controller) scheduleReport(cache *tokenCache, urgent bool) {
	c.markDirty(cache)
	if urgent && cache.urgentReport.CompareAndSwap(false, true) {
		c.clock.AfterFunc(urgentReportDelay, func() { c.reportNow(cache) })
	}
}

// reportNow reports what ledgers should learn soon: that a large part of their tokens
// was spent, since lent tokens are not refilled until they are reported as spent; or
// that a request did not use tokens that are scarce.
func (c *controller) reportNow(cache *tokenCache) {
	cache.urgentReport.Store(false)
	if ctx := c.runContext.Load(); ctx != nil && (*ctx).Err() == nil {
		c.report(*ctx, []*tokenCache{cache})
	}
}
