package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"log/slog"
)

const redacted = "[redacted]"

// Secret is a string that is never printed, logged or encoded.
type Secret string

// String returns a fixed text in place of the secret.
func (s Secret) String() string { return redacted }

// GoString returns a fixed text in place of the secret.
func (s Secret) GoString() string { return redacted }

// LogValue returns a fixed text in place of the secret.
func (s Secret) LogValue() slog.Value { return slog.StringValue(redacted) }

// MarshalText returns a fixed text in place of the secret.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// MarshalJSON returns a fixed text in place of the secret.
func (s Secret) MarshalJSON() ([]byte, error) { return []byte(`"` + redacted + `"`), nil }

// UnmarshalText sets the secret to the text.
func (s *Secret) UnmarshalText(text []byte) error {
	*s = Secret(text)
	return nil
}

// Reveal returns the secret itself.
func (s Secret) Reveal() string { return string(s) }

// Equal compares the secret with a text in constant time. An empty secret is
// equal to no text, not even an empty one.
func (s Secret) Equal(text string) bool {
	sum := sha256.Sum256([]byte(s))
	textSum := sha256.Sum256([]byte(text))
	same := subtle.ConstantTimeCompare(sum[:], textSum[:]) == 1
	return same && s != ""
}
