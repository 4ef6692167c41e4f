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
	// kindNotice notifies a peer of the sender's current revision.
	kindNotice peer.Kind = "config-head"
	// kindGet requests a peer's head, or a part by hash.
	kindGet peer.Kind = "config-get"
)

// headNotice is the current revision of its sender.
type headNotice struct {
	Revision Revision `cbor:"revision"`
	// ConfirmedAgeMS is the time in milliseconds since the revision was last
	// confirmed as the newest in the key-value service. It is negative if it
	// never was.
	ConfirmedAgeMS int64 `cbor:"confirmed-ms"`
}

// getRequest requests a part, or the head if no part is named.
type getRequest struct {
	Part Hash `cbor:"part,omitempty"`
}

// headResponse is the response to a getRequest without a part.
type headResponse struct {
	headNotice
	// Head is the head in JSON, or empty if the sender has none.
	Head []byte `cbor:"head"`
}

// partResponse is the response to a getRequest for a part.
type partResponse struct {
	Data []byte `cbor:"data"`
}

func (s *Store) handlePeers() {
	s.mesh.Handle(kindNotice, s.handleNotice)
	s.mesh.Handle(kindGet, s.handleGet)
}

// handleNotice compares a peer's revision with this host's. It pulls a newer
// head, replies to an older one with its own notice, and for the same revision
// adopts the peer's confirmation.
func (s *Store) handleNotice(_ context.Context, from fleet.Member, body []byte) (any, error) {
	var notice headNotice
	if err := peer.Decode(body, &notice); err != nil {
		return nil, trace.Wrap(err)
	}
	current, _ := s.installed()
	switch {
	case notice.Revision > current.Revision:
		s.learn(notice.Revision)
		s.requestPull(from.Host)
		return nil, nil
	case notice.Revision < current.Revision:
		return nil, trace.Wrap(s.mesh.Notify(from.Host, kindNotice, s.notice()))
	default:
		s.adoptConfirmation(notice)
		return nil, nil
	}
}

func (s *Store) handleGet(_ context.Context, _ fleet.Member, body []byte) (any, error) {
	var get getRequest
	if err := peer.Decode(body, &get); err != nil {
		return nil, trace.Wrap(err)
	}
	if get.Part != "" {
		data, ok := s.part(get.Part)
		if !ok {
			return nil, trace.NotFound("part %s is not held here", get.Part)
		}
		return partResponse{Data: data}, nil
	}
	return s.headResponse()
}

func (s *Store) headResponse() (headResponse, error) {
	current, _ := s.installed()
	response := headResponse{headNotice: s.notice()}
	if current.Revision == 0 {
		return response, nil
	}
	data, err := json.Marshal(current)
	response.Revision, response.Head = current.Revision, data
	return response, trace.Wrap(err)
}

func (s *Store) notice() headNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	notice := headNotice{Revision: s.head.Revision, ConfirmedAgeMS: -1}
	if !s.confirmedAt.IsZero() {
		notice.ConfirmedAgeMS = s.age().Milliseconds()
	}
	return notice
}

func (s *Store) headFromPeer(ctx context.Context, from fleet.HostID) (headResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var response headResponse
	err := s.mesh.Call(ctx, from, kindGet, getRequest{}, &response)
	return response, trace.Wrap(err)
}

func (s *Store) partFromPeer(ctx context.Context, hash Hash, from fleet.HostID) ([]byte, error) {
	var response partResponse
	err := s.mesh.Call(ctx, from, kindGet, getRequest{Part: hash}, &response)
	if err == nil && hashOf(response.Data) != hash {
		err = trace.CompareFailed("peer %s sent other data for part %s", from, hash)
	}
	return response.Data, trace.Wrap(err)
}

// requestPull makes pull fetch a peer's head, without blocking the link's other
// messages. The request is dropped if another one is waiting: if that peer's
// head is not the newest, later notices show it.
func (s *Store) requestPull(host fleet.HostID) {
	select {
	case s.pullRequests <- host:
	default:
	}
}

// pull fetches newer heads from peers until the context ends.
func (s *Store) pull(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case host := <-s.pullRequests:
			if err := s.pullOnce(ctx, host); err != nil {
				s.log.Debug("config: can't fetch the head from a peer", "host", host, "error", err)
			}
		}
	}
}

func (s *Store) pullOnce(ctx context.Context, from fleet.HostID) error {
	response, err := s.headFromPeer(ctx, from)
	if err != nil {
		return trace.Wrap(err)
	}
	return s.applyHead(ctx, from, response)
}

// applyHead installs a peer's head if it is newer, and adopts its confirmation.
func (s *Store) applyHead(ctx context.Context, from fleet.HostID, response headResponse) error {
	if len(response.Head) > 0 {
		var h head
		if err := json.Unmarshal(response.Head, &h); err != nil {
			return trace.Wrap(err)
		}
		if err := s.fetch(ctx, h, from); err != nil {
			return trace.Wrap(err)
		}
	}
	s.adoptConfirmation(response.headNotice)
	return nil
}

// adoptConfirmation records when a peer's revision was confirmed as the newest,
// if this host has the same revision.
func (s *Store) adoptConfirmation(notice headNotice) {
	current, _ := s.installed()
	if notice.Revision == current.Revision && notice.ConfirmedAgeMS >= 0 {
		s.confirm(s.timeAgo(notice.ConfirmedAgeMS))
	}
}

// gossip notifies all peers at once when the head changes. Otherwise it
// notifies one peer per interval, in turn.
func (s *Store) gossip(ctx context.Context) {
	ticker := s.clock.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		_, changed := s.installed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			s.notifyAll()
		case <-ticker.Chan():
			s.notifyNext()
		}
	}
}

func (s *Store) notifyAll() {
	for _, p := range s.mesh.Peers() {
		s.notify(p.Host)
	}
}

// notifyNext notifies the next peer in turn.
func (s *Store) notifyNext() {
	peers := s.mesh.Peers()
	if len(peers) == 0 {
		return
	}
	s.round++
	s.notify(peers[s.round%len(peers)].Host)
}

func (s *Store) notify(host fleet.HostID) {
	if err := s.mesh.Notify(host, kindNotice, s.notice()); err != nil {
		s.log.Debug("config: can't notify a peer of the revision", "host", host, "error", err)
	}
}

// ConfirmedAt returns when the configuration was last confirmed as the newest
// in the key-value service, or zero if it never was.
func (s *Store) ConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmedAt
}
