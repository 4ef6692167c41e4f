package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// The bounds on what a peer may send.
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

// Encode returns the CBOR of a message.
func Encode(message any) ([]byte, error) {
	body, err := encoding.Marshal(message)
	return body, trace.Wrap(err)
}

// Decode reads a message from the CBOR that a peer sent. It refuses duplicate
// keys, indefinite lengths and values beyond the bounds; it skips unknown
// fields.
func Decode(body []byte, message any) error {
	return trace.Wrap(decoding.Unmarshal(body, message))
}

func mustMode[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}
