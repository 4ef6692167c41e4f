package config

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/fleet"
	"hawthornway/peer"
)

// The kinds of message between hosts.
const (
	// kindHead tells a peer the revision in force.
	kindHead peer.Kind = "config-head"
	// kindGet asks a peer for its head, or for a part by hash.
	kindGet peer.Kind = "config-get"
)

// headNotice says which revision is in force at its sender.
type headNotice struct {
	Revision Revision `cbor:"revision"`
	// ConfirmedMS is the time, in milliseconds, since the service was known
	// to hold no newer one; below zero if that was never known.
	ConfirmedMS int64 `cbor:"confirmed-ms"`
}

// getMessage asks for a part, or for the head if no part is named.
type getMessage struct {
	Part Hash `cbor:"part,omitempty"`
}

// headMessage answers a getMessage without a part.
type headMessage struct {
	headNotice
	// Head is the JSON of the head; empty if the sender has none.
	Head []byte `cbor:"head"`
}

// partMessage answers a getMessage with a part.
type partMessage struct {
	Data []byte `cbor:"data"`
}

func (s *Store) handlePeers() {
	s.mesh.Handle(kindHead, s.handleHead)
	s.mesh.Handle(kindGet, s.handleGet)
}

func (s *Store) handleHead(_ context.Context, from fleet.Member, body []byte) (any, error) {
	var notice headNotice
	if err := peer.Decode(body, &notice); err != nil {
		return nil, trace.Wrap(err)
	}
	known, _ := s.known()
	switch {
	case notice.Revision > known.Revision:
		s.pullFrom(from.Host)
		return nil, nil
	case notice.Revision < known.Revision:
		return nil, trace.Wrap(s.mesh.Notify(from.Host, kindHead, s.notice()))
	default:
		s.takeConfirmation(notice)
		return nil, nil
	}
}

func (s *Store) handleGet(_ context.Context, _ fleet.Member, body []byte) (any, error) {
	var get getMessage
	if err := peer.Decode(body, &get); err != nil {
		return nil, trace.Wrap(err)
	}
	if get.Part != "" {
		data, ok := s.part(get.Part)
		if !ok {
			return nil, trace.NotFound("part %s is not held here", get.Part)
		}
		return partMessage{Data: data}, nil
	}
	return s.headMessage()
}

func (s *Store) headMessage() (headMessage, error) {
	known, _ := s.known()
	message := headMessage{headNotice: s.notice()}
	if known.Revision == 0 {
		return message, nil
	}
	data, err := json.Marshal(known)
	message.Revision, message.Head = known.Revision, data
	return message, trace.Wrap(err)
}

func (s *Store) notice() headNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	notice := headNotice{Revision: s.head.Revision, ConfirmedMS: -1}
	if !s.confirmed.IsZero() {
		notice.ConfirmedMS = s.age().Milliseconds()
	}
	return notice
}

func (s *Store) headFromPeer(ctx context.Context, from fleet.HostID) (headMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var message headMessage
	err := s.mesh.Call(ctx, from, kindGet, getMessage{}, &message)
	return message, trace.Wrap(err)
}

func (s *Store) partFromPeer(ctx context.Context, name Hash, from fleet.HostID) ([]byte, error) {
	var message partMessage
	err := s.mesh.Call(ctx, from, kindGet, getMessage{Part: name}, &message)
	if err == nil && hashOf(message.Data) != name {
		err = trace.CompareFailed("peer %s sent other data for part %s", from, name)
	}
	return message.Data, trace.Wrap(err)
}

// pullFrom has a peer's head taken, unless another is waiting to be: the
// peers' next notices tell if that was not the newest. It does not hold up the
// link's notices.
func (s *Store) pullFrom(host fleet.HostID) {
	select {
	case s.newer <- host:
	default:
	}
}

// pull takes newer heads of peers until the context ends.
func (s *Store) pull(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case host := <-s.newer:
			if err := s.pullOnce(ctx, host); err != nil {
				s.log.Debug("config: head not taken from peer", "host", host, "error", err)
			}
		}
	}
}

func (s *Store) pullOnce(ctx context.Context, from fleet.HostID) error {
	message, err := s.headFromPeer(ctx, from)
	if err != nil {
		return trace.Wrap(err)
	}
	return s.takeHead(ctx, from, message)
}

func (s *Store) takeHead(ctx context.Context, from fleet.HostID, message headMessage) error {
	if len(message.Head) > 0 {
		var h head
		if err := json.Unmarshal(message.Head, &h); err != nil {
			return trace.Wrap(err)
		}
		if err := s.fetch(ctx, h, from); err != nil {
			return trace.Wrap(err)
		}
	}
	s.takeConfirmation(message.headNotice)
	return nil
}

// takeConfirmation notes what a peer knows, if it has the same revision.
func (s *Store) takeConfirmation(notice headNotice) {
	known, _ := s.known()
	if notice.Revision == known.Revision && notice.ConfirmedMS >= 0 {
		s.confirm(s.ago(notice.ConfirmedMS))
	}
}

// gossip tells all peers of a new head at once, and one peer after the other
// of the head in force all the time.
func (s *Store) gossip(ctx context.Context) {
	ticker := s.clock.NewTicker(gossipPause)
	defer ticker.Stop()
	for {
		_, changed := s.known()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			s.tellAll()
		case <-ticker.Chan():
			s.tellNext()
		}
	}
}

func (s *Store) tellAll() {
	for _, p := range s.mesh.Peers() {
		s.tell(p.Host)
	}
}

func (s *Store) tellNext() {
	peers := s.mesh.Peers()
	if len(peers) == 0 {
		return
	}
	s.round++
	s.tell(peers[s.round%len(peers)].Host)
}

func (s *Store) tell(host fleet.HostID) {
	if err := s.mesh.Notify(host, kindHead, s.notice()); err != nil {
		s.log.Debug("config: notice not sent", "host", host, "error", err)
	}
}

// Confirmed returns when the service was last known to hold no newer
// configuration. It is zero if that was never known.
func (s *Store) Confirmed() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}
