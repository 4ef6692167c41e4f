package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// The limits on frames from peers.
const (
	maxFrameBytes    = 4 << 20
	maxNestedLevels  = 16
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 16
)

var (
	encoding = mustMode(cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode())
	decoding = mustMode(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode())
)

// Encode encodes a message as CBOR.
func Encode(message any) ([]byte, error) {
	body, err := encoding.Marshal(message)
	return body, trace.Wrap(err)
}

// Decode decodes a CBOR message from a peer. It rejects duplicate keys, indefinite
// lengths and values beyond the limits, and skips unknown fields.
func Decode(body []byte, message any) error {
	return trace.Wrap(decoding.Unmarshal(body, message))
}

func mustMode[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}
