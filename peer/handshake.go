package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"

	"hawthornway/fleet"
)

// protocolVersion is the version of the protocol between hosts. Hosts are
// compatible with their own version, the previous and the next one.
type protocolVersion uint

const version protocolVersion = 1

const nonceBytes = 32

// isCompatible reports whether a host of this version can communicate with one of
// the other version.
func (v protocolVersion) isCompatible(other protocolVersion) bool {
	return other+1 >= v && other <= v+1
}

// side distinguishes the proofs of the two ends of a link, so that a reflected
// proof is not accepted.
type side string

const (
	sideDialler  side = "hawthornway-dialler"
	sideAcceptor side = "hawthornway-acceptor"
)

// handshake authenticates both ends of a new connection. They exchange hellos and
// then prove that they know the cluster secret.
type handshake struct {
	conn   *websocket.Conn
	self   fleet.Member
	secret []byte
}

// dial performs the handshake as the dialling end and returns the peer.
func (h handshake) dial(ctx context.Context) (fleet.Member, error) {
	mine, err := h.sendHello(ctx)
	if err != nil {
		return fleet.Member{}, trace.Wrap(err)
	}
	theirs, peer, err := h.readHello(ctx)
	if err != nil {
		return fleet.Member{}, trace.Wrap(err)
	}
	if err := h.checkProof(ctx, sideAcceptor, mine, theirs); err != nil {
		return fleet.Member{}, trace.Wrap(err)
	}
	return peer, trace.Wrap(h.sendProof(ctx, sideDialler, mine, theirs))
}

// accept performs the handshake as the accepting end and returns the peer.
func (h handshake) accept(ctx context.Context) (fleet.Member, error) {
	theirs, peer, err := h.readHello(ctx)
	if err != nil {
		return fleet.Member{}, trace.Wrap(err)
	}
	mine, err := h.sendHello(ctx)
	if err != nil {
		return fleet.Member{}, trace.Wrap(err)
	}
	if err := h.sendProof(ctx, sideAcceptor, theirs, mine); err != nil {
		return fleet.Member{}, trace.Wrap(err)
	}
	return peer, trace.Wrap(h.checkProof(ctx, sideDialler, theirs, mine))
}

func (h handshake) sendHello(ctx context.Context) ([]byte, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, trace.Wrap(err)
	}
	frame, err := encodeFrame(hello{Version: version, Member: wireMember(h.self), Nonce: nonce})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return frame, trace.Wrap(h.conn.Write(ctx, websocket.MessageBinary, frame))
}

func (h handshake) readHello(ctx context.Context) ([]byte, fleet.Member, error) {
	frame, m, err := h.read(ctx)
	if err != nil {
		return nil, fleet.Member{}, trace.Wrap(err)
	}
	theirs, ok := m.(hello)
	if !ok {
		return nil, fleet.Member{}, trace.BadParameter("first frame is not a hello")
	}
	if !version.isCompatible(theirs.Version) {
		return nil, fleet.Member{}, trace.BadParameter("protocol version %d is not compatible with %d", theirs.Version, version)
	}
	if len(theirs.Nonce) != nonceBytes || theirs.Member.Host == "" {
		return nil, fleet.Member{}, trace.BadParameter("hello has no host or no valid nonce")
	}
	return frame, fleet.Member(theirs.Member), nil
}

func (h handshake) sendProof(ctx context.Context, from side, dialler, acceptor []byte) error {
	frame, err := encodeFrame(proof{mac: h.mac(from, dialler, acceptor)})
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(h.conn.Write(ctx, websocket.MessageBinary, frame))
}

func (h handshake) checkProof(ctx context.Context, from side, dialler, acceptor []byte) error {
	_, m, err := h.read(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	theirs, ok := m.(proof)
	if !ok || !hmac.Equal(theirs.mac, h.mac(from, dialler, acceptor)) {
		return trace.AccessDenied("peer doesn't know the cluster's secret")
	}
	return nil
}

func (h handshake) read(ctx context.Context) ([]byte, message, error) {
	_, frame, err := h.conn.Read(ctx)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	m, err := decodeFrame(frame)
	return frame, m, trace.Wrap(err)
}

// mac authenticates the side and both hellos, which contain the nonces and members.
func (h handshake) mac(from side, dialler, acceptor []byte) []byte {
	mac := hmac.New(sha256.New, h.secret)
	mac.Write([]byte(from))
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(dialler)))
	mac.Write(size[:])
	mac.Write(dialler)
	mac.Write(acceptor)
	return mac.Sum(nil)
}
