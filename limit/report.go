package limit

import (
	"context"
	"sync"

	"github.com/gravitational/trace"

	"hawthornway/fleet"
	"hawthornway/member"
)

// settlement is a report to one ledger on its way.
type settlement struct {
	purse   *purse
	account *account
	batch   *batch
	request grantRequest
}

// reportAll tells the ledgers what this host spent, in one message to each
// host.
func (c *controller) reportAll(ctx context.Context) {
	var touched []*purse
	for i := range c.purses {
		touched = append(touched, c.purses[i].takeTouched()...)
	}
	c.report(ctx, touched)
}

// report sends the reports of some purses.
func (c *controller) report(ctx context.Context, purses []*purse) {
	outgoing := make(map[fleet.HostID][]settlement)
	for _, p := range purses {
		c.collect(p, outgoing)
	}
	var sending sync.WaitGroup
	for host, settlements := range outgoing {
		sending.Go(func() { c.send(ctx, host, settlements) })
	}
	sending.Wait()
}

func (s *purseShard) takeTouched() []*purse {
	s.mu.Lock()
	defer s.mu.Unlock()
	touched := make([]*purse, 0, len(s.touched))
	for p := range s.touched {
		touched = append(touched, p)
	}
	clear(s.touched)
	return touched
}

// collect adds the reports of one purse.
func (c *controller) collect(p *purse, outgoing map[fleet.HostID][]settlement) {
	if !p.giveBackIdle(c.clock.Now()) {
		c.touch(p)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.accounts {
		owner, known := c.keeper.hostOf(a.domain, p.team)
		if !known || !a.reportable() {
			continue
		}
		request := grantRequest{Team: p.team, Epoch: a.epoch}
		s := settlement{purse: p, account: a}
		request.Report, s.batch = a.report()
		s.request = request
		outgoing[owner.Host] = append(outgoing[owner.Host], s)
	}
}

// send sends the reports for the ledgers of one host and takes its answers in.
func (c *controller) send(ctx context.Context, host fleet.HostID, settlements []settlement) {
	ctx, cancel := c.timeout(ctx, askTimeout)
	defer cancel()
	asked := c.clock.Now()
	request := settleRequest{Reports: make([]grantRequest, 0, len(settlements))}
	for _, s := range settlements {
		request.Reports = append(request.Reports, s.request)
	}
	answer, err := c.callSettle(ctx, host, request)
	if err == nil && len(answer.Answers) != len(settlements) {
		err = trace.BadParameter("host %s answered %d of %d reports", host, len(answer.Answers), len(settlements))
	}
	for i, s := range settlements {
		var one grantAnswer
		if err == nil {
			one = answer.Answers[i]
		}
		s.purse.mu.Lock()
		c.takeAnswer(s.purse, s.account, asked, s.batch, one, err)
		s.purse.mu.Unlock()
	}
}

func (c *controller) callSettle(ctx context.Context, host fleet.HostID, request settleRequest) (settleAnswer, error) {
	self := c.own.Self()
	if host == self.Host {
		return c.keeper.settle(ctx, self.Domain, request), nil
	}
	var answer settleAnswer
	err := c.mesh.Call(ctx, host, kindSettle, request, &answer)
	return answer, trace.Wrap(err)
}

// settle takes the reports to several ledgers in.
func (k *keeper) settle(ctx context.Context, from fleet.DomainID, request settleRequest) settleAnswer {
	answer := settleAnswer{Answers: make([]grantAnswer, 0, len(request.Reports))}
	for _, report := range request.Reports {
		answer.Answers = append(answer.Answers, k.serve(ctx, from, report))
	}
	return answer
}

// released reports whether no write for a shard's ledgers is under way.
func (k *keeper) released(shard member.Shard) bool {
	s := &k.shards[shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.kept {
		if len(one.turn) > 0 {
			return false
		}
	}
	return true
}

// changed marks a purse as one with something to report, soon or with the next
// round of reports.
func (c *controller) changed(p *purse, soon bool) {
	c.touch(p)
	if soon && p.hasty.CompareAndSwap(false, true) {
		c.clock.AfterFunc(hastyPause, func() { c.reportNow(p) })
	}
}

// reportNow reports what a ledger should know soon: that a large part of its
// tokens is spent, since it does not refill their place before; or that a
// request did not use tokens that are scarce.
func (c *controller) reportNow(p *purse) {
	p.hasty.Store(false)
	if ctx := c.running.Load(); ctx != nil && (*ctx).Err() == nil {
		c.report(*ctx, []*purse{p})
	}
}
