package head

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that a message isn't HTTP/1.1, although it can be parsed. Parsers are lenient, so
// that the framing or the body of such a message may not be the sender's.
var ErrMalformed = errors.New("malformed response")

// maxStatus is the largest status that RFC 9110 defines a class for.
const maxStatus = 599

// Check returns an error that wraps ErrMalformed unless the parsed head of a response keeps to RFC 9110
// and RFC 9112.
func Check(response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return fmt.Errorf("%w: protocol %q", ErrMalformed, response.Proto)
	case response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus:
		return fmt.Errorf("%w: status %03d", ErrMalformed, response.StatusCode)
	case response.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: a change of protocol that wasn't asked for", ErrMalformed)
	}
	return CheckFields(response.Header)
}

// CheckFields returns an error that wraps ErrMalformed unless the names and values of fields keep to
// RFC 9110.
func CheckFields(fields http.Header) error {
	for name, values := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q", ErrMalformed, name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return fmt.Errorf("%w: value of the field %q", ErrMalformed, name)
			}
		}
	}
	return nil
}
