package peer

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"hawthornway/fleet"
)

// callNumber identifies a call on one link.
type callNumber uint64

// message is the content of a frame: hello, proof, heartbeat, request, response,
// refusal or notice.
type message interface {
	message()
}

type (
	hello struct {
		Version protocolVersion `cbor:"version"`
		Member  wireMember      `cbor:"member"`
		Nonce   []byte          `cbor:"nonce"`
	}
	proof     struct{ mac []byte }
	heartbeat struct{}
	request   struct {
		number callNumber
		kind   Kind
		// remaining is the time until the call's deadline.
		remaining time.Duration
		body      []byte
	}
	response struct {
		number callNumber
		kind   Kind
		body   []byte
	}
	refusal struct {
		number callNumber
		kind   Kind
		reason string
	}
	notice struct {
		kind Kind
		body []byte
	}
)

func (hello) message()     {}
func (proof) message()     {}
func (heartbeat) message() {}
func (request) message()   {}
func (response) message()  {}
func (refusal) message()   {}
func (notice) message()    {}

type wireMember struct {
	Host        fleet.HostID      `cbor:"host"`
	Domain      fleet.DomainID    `cbor:"domain"`
	Incarnation fleet.Incarnation `cbor:"incarnation"`
	PeerAddress string            `cbor:"peer-address"`
}

// frameType is the first element of a frame and identifies its message.
type frameType uint8

const (
	frameHello frameType = iota + 1
	frameProof
	frameHeartbeat
	frameRequest
	frameResponse
	frameRefusal
	frameNotice
)

// encodeFrame encodes a message as a CBOR array.
func encodeFrame(m message) ([]byte, error) {
	switch m := m.(type) {
	case hello:
		return Encode([]any{frameHello, m})
	case proof:
		return Encode([]any{frameProof, m.mac})
	case heartbeat:
		return Encode([]any{frameHeartbeat})
	case request:
		return Encode([]any{frameRequest, m.number, m.kind, m.remaining.Milliseconds(), cbor.RawMessage(m.body)})
	case response:
		return Encode([]any{frameResponse, m.number, m.kind, cbor.RawMessage(m.body)})
	case refusal:
		return Encode([]any{frameRefusal, m.number, m.kind, m.reason})
	case notice:
		return Encode([]any{frameNotice, m.kind, cbor.RawMessage(m.body)})
	default:
		return nil, trace.BadParameter("message %T has no frame", m)
	}
}

// decodeFrame decodes one frame. It ignores additional elements, and returns nil
// without an error for unknown types, which newer versions may send.
func decodeFrame(data []byte) (message, error) {
	var parts []cbor.RawMessage
	if err := Decode(data, &parts); err != nil {
		return nil, trace.Wrap(err)
	}
	p := parser{parts: parts}
	var typ frameType
	p.next(&typ)
	m := p.message(typ)
	return m, trace.Wrap(p.err)
}

// parser decodes the elements of a frame in order. It keeps the first error.
type parser struct {
	parts []cbor.RawMessage
	err   error
}

func (p *parser) message(typ frameType) message {
	switch typ {
	case frameHello:
		var m hello
		p.next(&m)
		return m
	case frameProof:
		var m proof
		p.next(&m.mac)
		return m
	case frameHeartbeat:
		return heartbeat{}
	case frameRequest:
		return request{p.number(), p.kind(), p.duration(), p.raw()}
	case frameResponse:
		return response{p.number(), p.kind(), p.raw()}
	case frameRefusal:
		m := refusal{number: p.number(), kind: p.kind()}
		p.next(&m.reason)
		return m
	case frameNotice:
		return notice{p.kind(), p.raw()}
	default:
		return nil
	}
}

func (p *parser) next(into any) {
	part := p.raw()
	if p.err == nil {
		p.err = Decode(part, into)
	}
}

func (p *parser) raw() []byte {
	if p.err != nil {
		return nil
	}
	if len(p.parts) == 0 {
		p.err = trace.BadParameter("frame has too few elements")
		return nil
	}
	part := p.parts[0]
	p.parts = p.parts[1:]
	return part
}

func (p *parser) number() callNumber {
	var number callNumber
	p.next(&number)
	return number
}

func (p *parser) kind() Kind {
	var kind Kind
	p.next(&kind)
	return kind
}

func (p *parser) duration() time.Duration {
	var milliseconds uint64
	p.next(&milliseconds)
	return time.Duration(min(milliseconds, math.MaxInt64/uint64(time.Millisecond))) * time.Millisecond
}
