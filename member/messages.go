package member

import (
	"context"

	"github.com/gravitational/trace"

	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/peer"
)

// The kinds of messages between members.
const (
	// kindHeartbeat carries a heartbeat, one way, within a domain.
	kindHeartbeat peer.Kind = "member-heartbeat"
	// kindJoin asks a member to add the sender.
	kindJoin peer.Kind = "member-join"
	// kindRecord carries the record of any domain, one way, within a domain.
	kindRecord peer.Kind = "domain-record"
	// kindRecords asks for the records of all domains.
	kindRecords peer.Kind = "domain-records"
)

type wireJoinRequest struct {
	LivePeers []process `cbor:"hears"`
}

// wireDomainRecord is the record of one domain as stored in the key-value service.
type wireDomainRecord struct {
	Revision keyvalue.Revision `cbor:"revision"`
	Value    []byte            `cbor:"value"`
}

type wireDomainRecords struct {
	Domains []wireDomainRecord `cbor:"domains"`
}

type wireEmpty struct{}

// registerHandlers registers the handlers of all message kinds.
func (c *Controller) registerHandlers() {
	c.links.Handle(kindHeartbeat, c.handleHeartbeat)
	c.links.Handle(kindJoin, c.handleJoin)
	c.links.Handle(kindRecord, c.handleRecord)
	c.links.Handle(kindRecords, c.handleRecords)
}

func (c *Controller) handleHeartbeat(_ context.Context, from fleet.Member, body []byte) (any, error) {
	var hb heartbeat
	if err := peer.Decode(body, &hb); err != nil {
		return nil, trace.Wrap(err)
	}
	if from.Domain != c.self.Domain {
		return nil, trace.BadParameter("heartbeat from domain %q", from.Domain)
	}
	c.apply(heartbeatReceived{from: from, heartbeat: hb})
	c.watcher.handleHeartbeat(from.Host, hb)
	return nil, nil
}

func (c *Controller) handleJoin(_ context.Context, from fleet.Member, body []byte) (any, error) {
	var request wireJoinRequest
	if err := peer.Decode(body, &request); err != nil {
		return nil, trace.Wrap(err)
	}
	if from.Domain != c.self.Domain {
		return nil, trace.BadParameter("host of domain %q can't join domain %q", from.Domain, c.self.Domain)
	}
	c.apply(joinRequested{member: from, livePeers: request.LivePeers})
	return wireEmpty{}, nil
}

func (c *Controller) handleRecord(_ context.Context, _ fleet.Member, body []byte) (any, error) {
	var d wireDomainRecord
	if err := peer.Decode(body, &d); err != nil {
		return nil, trace.Wrap(err)
	}
	return nil, c.learn(d, false)
}

func (c *Controller) handleRecords(_ context.Context, _ fleet.Member, _ []byte) (any, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all wireDomainRecords
	for domain, r := range c.view.records {
		value, err := r.encode(domain)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		all.Domains = append(all.Domains, wireDomainRecord{Revision: r.Revision, Value: value})
	}
	return all, nil
}

// learn handles a domain's record from the key-value service or a peer.
func (c *Controller) learn(d wireDomainRecord, fromStore bool) error {
	domain, r, err := decodeRecord(d.Value, d.Revision)
	if err != nil {
		return trace.Wrap(err)
	}
	if domain == c.self.Domain {
		c.apply(recordLearned{record: r, fromStore: fromStore})
		return nil
	}
	c.mu.Lock()
	isNew := c.view.learn(domain, r)
	if isNew {
		c.notifyWaiters()
	}
	c.mu.Unlock()
	if isNew {
		c.updatePeers()
	}
	return nil
}

// broadcastRecord sends a domain's record to all peers of this host's domain.
func (c *Controller) broadcastRecord(domain fleet.DomainID) {
	c.mu.Lock()
	r, ok := c.view.records[domain]
	c.mu.Unlock()
	if !ok {
		return
	}
	value, err := r.encode(domain)
	if err != nil {
		c.log.Error("member: record can't be encoded", "domain", domain, "error", err)
		return
	}
	for _, p := range c.linkedPeers() {
		// A peer that misses the record learns its revision from the next
		// heartbeat.
		_ = c.links.Notify(p.Host, kindRecord, wireDomainRecord{Revision: r.Revision, Value: value})
	}
}

// fetchRecords requests all records that a peer knows.
func (c *Controller) fetchRecords(from fleet.HostID) {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	var all wireDomainRecords
	if err := c.links.Call(ctx, from, kindRecords, wireEmpty{}, &all); err != nil {
		c.log.Debug("member: records can't be fetched from the peer", "peer", from, "error", err)
		return
	}
	for _, d := range all.Domains {
		if err := c.learn(d, false); err != nil {
			c.log.Warn("member: record from the peer can't be read", "peer", from, "error", err)
		}
	}
}

func (c *Controller) sendJoinRequest(e requestJoin) {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	err := c.links.Call(ctx, e.sponsor, kindJoin, wireJoinRequest{LivePeers: e.livePeers}, nil)
	if err != nil {
		c.log.Info("member: join request failed", "sponsor", e.sponsor, "error", err)
	}
}
