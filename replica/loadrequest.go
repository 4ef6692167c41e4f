package replica

import (
	"context"
	"errors"
	"slices"
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
	// kindLoadRequest asks the owner of a group for a replica.
	kindLoadRequest peer.Kind = "replica-want"
	// ownerRetryInterval is the time between attempts when no owner could be
	// asked.
	ownerRetryInterval = 250 * time.Millisecond
)

type loadRequestWire struct {
	Domain        fleet.DomainID `cbor:"domain"`
	Pool          target.Pool    `cbor:"pool"`
	Index         int            `cbor:"index"`
	Parts         int            `cbor:"parts"`
	Model         model.Name     `cbor:"model"`
	Team          team.ID        `cbor:"team"`
	RemainingMS   int64          `cbor:"left-ms"`
	WaitForMemory bool           `cbor:"stay"`
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

// evacuatedRetryAfter is sent as Retry-After if all domains where a call may run are evacuated. An
// operator ends that.
const evacuatedRetryAfter = 5 * time.Second

// mayLoad returns the groups that may load the model of a request: those in its home regions whose
// domains aren't evacuated.
func (l *layout) mayLoad(groups []GroupKey, request LoadRequest) []GroupKey {
	if request.Homes == nil && len(l.evacuated) == 0 {
		return groups
	}
	return slices.DeleteFunc(slices.Clone(groups), func(key GroupKey) bool {
		return l.evacuated[key.Domain] || request.Homes != nil && !request.Homes(key.Domain)
	})
}

// Ensure waits for a replica of a model.
func (c *controller) Ensure(ctx context.Context, request LoadRequest) (LoadResult, *outcome.NotRun) {
	c.updateLayout() // the caller may have read a newer configuration than the last step did
	start := c.clock.Now()
	ctx, cancel := clockwork.WithDeadline(ctx, c.clock, request.Deadline)
	defer cancel()
	result, refusal := c.ensure(ctx, request)
	result.Waited = c.clock.Since(start)
	return result, refusal
}

// ownerConfigOutdated reports whether an owner refused a model that this host
// knows. The owner's configuration is then older than this host's, and will be
// updated.
func ownerConfigOutdated(refusal *outcome.NotRun) bool {
	return refusal != nil && refusal.Reason == outcome.ReasonUnknownModel
}

func (c *controller) ensure(ctx context.Context, request LoadRequest) (LoadResult, *outcome.NotRun) {
	for {
		l := c.currentLayout()
		ranked := l.rank(request.Model)
		if len(ranked) == 0 {
			return LoadResult{}, &outcome.NotRun{Reason: outcome.ReasonUnknownModel, Detail: refusalDetail(outcome.ReasonUnknownModel)}
		}
		if ranked = l.mayLoad(ranked, request); len(ranked) == 0 {
			reason := outcome.ReasonNoTarget
			if request.Homes != nil {
				reason = outcome.ReasonHomes
			}
			return LoadResult{}, &outcome.NotRun{Reason: reason, RetryAfter: evacuatedRetryAfter, Detail: "No engine is left in the failure domains where the call may run."}
		}
		if result, refusal, done := c.askGroups(ctx, ranked, request); done && !ownerConfigOutdated(refusal) {
			return result, refusal
		}
		select {
		case <-ctx.Done():
			return LoadResult{}, c.deadlineRefusal(ctx, l, request)
		case <-c.clock.After(ownerRetryInterval):
		}
	}
}

// askGroups asks the groups of a model in turn. If none has memory, the request
// waits at the first group that reported that.
func (c *controller) askGroups(ctx context.Context, ranked []GroupKey, request LoadRequest) (LoadResult, *outcome.NotRun, bool) {
	var full *GroupKey
	for _, key := range ranked {
		result, refusal, err := c.askOwner(ctx, key, request, false)
		switch {
		case err != nil:
			continue
		case refusal == nil:
			return result, nil, true
		case refusal.Reason == outcome.ReasonNoMemory:
			if full == nil {
				full = &key
			}
		case refusal.Reason == outcome.ReasonStarting:
		default:
			return LoadResult{}, refusal, true
		}
	}
	if full == nil {
		return LoadResult{}, nil, false
	}
	result, refusal, err := c.askOwner(ctx, *full, request, true)
	if err != nil || refusal != nil && refusal.Reason == outcome.ReasonStarting {
		return LoadResult{}, nil, false
	}
	return result, refusal, true
}

// deadlineRefusal returns the refusal of a request that was not answered before
// its deadline.
func (c *controller) deadlineRefusal(ctx context.Context, l *layout, request LoadRequest) *outcome.NotRun {
	if errors.Is(ctx.Err(), context.Canceled) && c.clock.Now().Before(request.Deadline) {
		return &outcome.NotRun{Reason: outcome.ReasonCallerLeft, Detail: "The caller left."}
	}
	retryAfter := retryInterval
	if item := l.catalog.Item(request.Model); item != nil {
		retryAfter = item.LoadTime
	}
	return &outcome.NotRun{
		Reason: outcome.ReasonDeadline, RetryAfter: retryAfter,
		Detail: "No replica was ready before the deadline.",
	}
}

// askOwner asks the owner of a group for a replica. It fails if the owner can't
// be reached or is replaced meanwhile.
func (c *controller) askOwner(ctx context.Context, key GroupKey, request LoadRequest, waitForMemory bool) (LoadResult, *outcome.NotRun, error) {
	owner, ok := c.ownership.Owner(key.Domain, key.Shard)
	if !ok {
		return LoadResult{}, nil, trace.Wrap(errNotOwner)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.cancelOnNewOwner(ctx, cancel, key, owner)
	message := loadRequestWire{
		Domain: key.Domain, Pool: key.Pool, Index: key.Index, Parts: key.Parts,
		Model: request.Model, Team: request.Team, RemainingMS: c.clock.Until(request.Deadline).Milliseconds(), WaitForMemory: waitForMemory,
	}
	if owner.Host == c.self.Host {
		a, err := c.answerLoadRequest(ctx, message)
		if err != nil {
			return LoadResult{}, nil, err
		}
		return c.acceptAnswer(key, a)
	}
	var a answerWire
	if err := c.mesh.Call(ctx, owner.Host, kindLoadRequest, message, &a); err != nil {
		return LoadResult{}, nil, trace.Wrap(err)
	}
	return c.acceptAnswer(key, a)
}

// cancelOnNewOwner cancels a call when the owner is replaced.
func (c *controller) cancelOnNewOwner(ctx context.Context, cancel func(), key GroupKey, owner fleet.Member) {
	for {
		changed := c.ownership.Changed()
		if current, ok := c.ownership.Owner(key.Domain, key.Shard); ok && current != owner {
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

// acceptAnswer adds the answer's replica to the view, so that it can be used at
// once.
func (c *controller) acceptAnswer(key GroupKey, a answerWire) (LoadResult, *outcome.NotRun, error) {
	if a.Reason != "" {
		refusal := &outcome.NotRun{
			Reason: a.Reason, Detail: a.Detail, RetryAfter: time.Duration(a.RetryAfterMS) * time.Millisecond,
		}
		return LoadResult{}, refusal, nil
	}
	t, ok := c.currentLayout().targetsByID[a.Target]
	if !ok {
		return LoadResult{}, nil, trace.NotFound("target %q is not in this host's configuration", a.Target)
	}
	r := Replica{
		Ref:    model.Ref{Name: a.Model, Version: a.Version, Base: a.Base},
		Target: a.Target, Address: t.Address, Domain: t.Domain,
	}
	c.view.addReplica(key, DigestSequence{Fence: a.Fence, Number: a.Number}, r)
	return LoadResult{Replica: r, Source: a.Source}, nil, nil
}

// handleLoadRequest answers another host's load request.
func (c *controller) handleLoadRequest(ctx context.Context, _ fleet.Member, body []byte) (any, error) {
	var message loadRequestWire
	if err := peer.Decode(body, &message); err != nil {
		return nil, trace.Wrap(err)
	}
	return c.answerLoadRequest(ctx, message)
}

// answerLoadRequest waits for the group's answer to a load request.
func (c *controller) answerLoadRequest(ctx context.Context, message loadRequestWire) (answerWire, error) {
	r := c.runner(newGroupKey(message.Domain, message.Pool, message.Index, message.Parts))
	if r == nil || !r.hasLease() {
		return answerWire{}, trace.Wrap(errNotOwner)
	}
	request := LoadRequest{Model: message.Model, Team: message.Team, Deadline: c.clock.Now().Add(time.Duration(message.RemainingMS) * time.Millisecond)}
	ctx, cancel := clockwork.WithDeadline(ctx, c.clock, request.Deadline)
	defer cancel()
	id, answers := r.requestLoad(ctx, request, message.WaitForMemory)
	select {
	case a := <-answers:
		return a.wire(), nil
	case <-ctx.Done():
		r.step(ctx, RequestWithdrawn{ID: id})
		r.dropAnswer(id)
		return answerWire{}, trace.Wrap(ctx.Err())
	}
}

// requestLoad passes a load request to the group.
func (r *runner) requestLoad(ctx context.Context, request LoadRequest, waitForMemory bool) (RequestID, <-chan sequencedAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastRequestID++
	id := r.lastRequestID
	answers := make(chan sequencedAnswer, 1)
	r.answers[id] = answers
	r.stepLocked(ctx, LoadRequested{ID: id, Request: request, WaitForMemory: waitForMemory})
	return id, answers
}

// deliverAnswer passes an answer to the waiting caller.
func (r *runner) deliverAnswer(a Answer) {
	answers, ok := r.answers[a.ID]
	if !ok {
		return
	}
	delete(r.answers, a.ID)
	answers <- sequencedAnswer{Answer: a, sequence: r.group.Sequence()}
}

func (r *runner) dropAnswer(id RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.answers, id)
}

func (a sequencedAnswer) wire() answerWire {
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
