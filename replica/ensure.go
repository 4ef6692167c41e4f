package replica

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/outcome"
	"hawthornway/peer"
	"hawthornway/target"
	"hawthornway/team"
)

const (
	// kindWant asks the owner of a group for a replica.
	kindWant peer.Kind = "replica-want"
	// askAgain is the time between rounds when no owner could be asked.
	askAgain = 250 * time.Millisecond
)

type wantWire struct {
	Domain fleet.DomainID `cbor:"domain"`
	Pool   target.Pool    `cbor:"pool"`
	Index  int            `cbor:"index"`
	Parts  int            `cbor:"parts"`
	Model  model.Name     `cbor:"model"`
	Team   team.ID        `cbor:"team"`
	LeftMS int64          `cbor:"left-ms"`
	Stay   bool           `cbor:"stay"`
}

type answerWire struct {
	Target  target.ID     `cbor:"target,omitempty"`
	Model   model.Name    `cbor:"model,omitempty"`
	Version model.Version `cbor:"version,omitempty"`
	Base    model.Name    `cbor:"base,omitempty"`
	Source  Source        `cbor:"source,omitempty"`
	Fence   target.Fence  `cbor:"fence,omitempty"`
	Number  uint64        `cbor:"number,omitempty"`

	Reason       outcome.Reason `cbor:"reason,omitempty"`
	Detail       string         `cbor:"detail,omitempty"`
	RetryAfterMS int64          `cbor:"retry-after-ms,omitempty"`
}

// errNotOwner is the answer of a host that does not act for a group.
var errNotOwner = errors.New("host does not act for the group")

// Ensure waits for a replica of a model.
func (c *controller) Ensure(ctx context.Context, want LoadRequest) (Wait, *outcome.NotRun) {
	c.relayout() // the caller may have read a configuration that is newer than the last step
	start := c.clock.Now()
	ctx, cancel := clockwork.WithDeadline(ctx, c.clock, want.Deadline)
	defer cancel()
	wait, refusal := c.ensure(ctx, want)
	wait.Waited = c.clock.Since(start)
	return wait, refusal
}

// isBehind reports whether an owner refused a model that this host knows: its
// configuration is older, and it will follow.
func isBehind(refusal *outcome.NotRun) bool {
	return refusal != nil && refusal.Reason == outcome.ReasonUnknownModel
}

func (c *controller) ensure(ctx context.Context, want LoadRequest) (Wait, *outcome.NotRun) {
	for {
		l := c.currentLayout()
		ranked := l.rank(want.Model)
		if len(ranked) == 0 {
			return Wait{}, &outcome.NotRun{Reason: outcome.ReasonUnknownModel, Detail: refusalDetail(outcome.ReasonUnknownModel)}
		}
		if wait, refusal, done := c.round(ctx, ranked, want); done && !isBehind(refusal) {
			return wait, refusal
		}
		select {
		case <-ctx.Done():
			return Wait{}, c.late(ctx, l, want)
		case <-c.clock.After(askAgain):
		}
	}
}

// round asks the groups of a model in turn. If none has memory, the want waits
// at the first one that said so.
func (c *controller) round(ctx context.Context, ranked []GroupKey, want LoadRequest) (Wait, *outcome.NotRun, bool) {
	var full *GroupKey
	for _, key := range ranked {
		wait, refusal, err := c.ask(ctx, key, want, false)
		switch {
		case err != nil:
			continue
		case refusal == nil:
			return wait, nil, true
		case refusal.Reason == outcome.ReasonNoMemory:
			if full == nil {
				full = &key
			}
		case refusal.Reason == outcome.ReasonStarting:
		default:
			return Wait{}, refusal, true
		}
	}
	if full == nil {
		return Wait{}, nil, false
	}
	wait, refusal, err := c.ask(ctx, *full, want, true)
	if err != nil || refusal != nil && refusal.Reason == outcome.ReasonStarting {
		return Wait{}, nil, false
	}
	return wait, refusal, true
}

// late returns the refusal of a want whose deadline was reached without an
// answer.
func (c *controller) late(ctx context.Context, l *layout, want LoadRequest) *outcome.NotRun {
	if errors.Is(ctx.Err(), context.Canceled) && c.clock.Now().Before(want.Deadline) {
		return &outcome.NotRun{Reason: outcome.ReasonCallerLeft, Detail: "The caller left."}
	}
	retryAfter := retryEvery
	if item := l.catalog.Item(want.Model); item != nil {
		retryAfter = item.LoadTime
	}
	return &outcome.NotRun{
		Reason: outcome.ReasonDeadline, RetryAfter: retryAfter,
		Detail: "No replica was ready before the deadline.",
	}
}

// ask asks the owner of a group for a replica. It fails if the owner can't be
// asked, or is another one meanwhile.
func (c *controller) ask(ctx context.Context, key GroupKey, want LoadRequest, stay bool) (Wait, *outcome.NotRun, error) {
	owner, ok := c.owners.Owner(key.Domain, key.Shard)
	if !ok {
		return Wait{}, nil, trace.Wrap(errNotOwner)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.cancelOnNewOwner(ctx, cancel, key, owner)
	request := wantWire{
		Domain: key.Domain, Pool: key.Pool, Index: key.Index, Parts: key.Parts,
		Model: want.Model, Team: want.Team, LeftMS: c.clock.Until(want.Deadline).Milliseconds(), Stay: stay,
	}
	if owner.Host == c.self.Host {
		a, err := c.answerWant(ctx, request)
		if err != nil {
			return Wait{}, nil, err
		}
		return c.takeAnswer(key, a)
	}
	var a answerWire
	if err := c.mesh.Call(ctx, owner.Host, kindWant, request, &a); err != nil {
		return Wait{}, nil, trace.Wrap(err)
	}
	return c.takeAnswer(key, a)
}

// cancelOnNewOwner cancels a call whose owner is replaced.
func (c *controller) cancelOnNewOwner(ctx context.Context, cancel func(), key GroupKey, owner fleet.Member) {
	for {
		changed := c.owners.Changed()
		if now, ok := c.owners.Owner(key.Domain, key.Shard); ok && now != owner {
			cancel()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// takeAnswer lists the replica of an answer, so that it can be used at once.
func (c *controller) takeAnswer(key GroupKey, a answerWire) (Wait, *outcome.NotRun, error) {
	if a.Reason != "" {
		refusal := &outcome.NotRun{
			Reason: a.Reason, Detail: a.Detail, RetryAfter: time.Duration(a.RetryAfterMS) * time.Millisecond,
		}
		return Wait{}, refusal, nil
	}
	t, ok := c.currentLayout().byID[a.Target]
	if !ok {
		return Wait{}, nil, trace.NotFound("target %q is not configured here", a.Target)
	}
	r := Replica{
		Ref:    model.Ref{Name: a.Model, Version: a.Version, Base: a.Base},
		Target: a.Target, Address: t.Address, Domain: t.Domain,
	}
	c.view.add(key, DigestSequence{Fence: a.Fence, Number: a.Number}, r)
	return Wait{Replica: r, Source: a.Source}, nil, nil
}

// handleWant answers another host's want.
func (c *controller) handleWant(ctx context.Context, _ fleet.Member, body []byte) (any, error) {
	var w wantWire
	if err := peer.Decode(body, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	return c.answerWant(ctx, w)
}

// answerWant waits for the group's answer to a want.
func (c *controller) answerWant(ctx context.Context, w wantWire) (answerWire, error) {
	r := c.runner(newGroupKey(w.Domain, w.Pool, w.Index, w.Parts))
	if r == nil || !r.held() {
		return answerWire{}, trace.Wrap(errNotOwner)
	}
	want := LoadRequest{Model: w.Model, Team: w.Team, Deadline: c.clock.Now().Add(time.Duration(w.LeftMS) * time.Millisecond)}
	ctx, cancel := clockwork.WithDeadline(ctx, c.clock, want.Deadline)
	defer cancel()
	id, answers := r.want(ctx, want, w.Stay)
	select {
	case a := <-answers:
		return a.wire(), nil
	case <-ctx.Done():
		r.step(ctx, Left{ID: id})
		r.dropAnswer(id)
		return answerWire{}, trace.Wrap(ctx.Err())
	}
}

// want gives a want to the group.
func (r *runner) want(ctx context.Context, want LoadRequest, stay bool) (WantID, <-chan answered) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextID++
	id := r.nextID
	answers := make(chan answered, 1)
	r.answers[id] = answers
	r.stepLocked(ctx, Wanted{ID: id, Want: want, Stay: stay})
	return id, answers
}

// answer passes an answer on to the waiting caller.
func (r *runner) answer(a Answer) {
	answers, ok := r.answers[a.ID]
	if !ok {
		return
	}
	delete(r.answers, a.ID)
	answers <- answered{Answer: a, sequence: r.group.Sequence()}
}

func (r *runner) dropAnswer(id WantID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.answers, id)
}

func (a answered) wire() answerWire {
	if a.Refusal != nil {
		return answerWire{
			Reason: a.Refusal.Reason, Detail: a.Refusal.Detail, RetryAfterMS: a.Refusal.RetryAfter.Milliseconds(),
		}
	}
	ref := a.Replica.Ref
	return answerWire{
		Target: a.Replica.Target, Model: ref.Name, Version: ref.Version, Base: ref.Base, Source: a.Source,
		Fence: a.sequence.Fence, Number: a.sequence.Number,
	}
}
