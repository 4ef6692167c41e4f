// Package key holds the keys that callers present. It knows them by their
// hashes only, follows the platform's records, and spreads withdrawals between
// the hosts whether the platform can be reached or not.
package key

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"log/slog"
	"regexp"
	"strings"

	"github.com/gravitational/trace"

	"hawthornway/fleet"
)

const (
	textPrefix  = "hw_"
	secretBytes = 32
	redacted    = "[redacted]"
)

var textBytes = len(textPrefix) + base64.RawURLEncoding.EncodedLen(secretBytes)

// Text is a key as callers present it. It is never printed or logged.
type Text string

// Generate returns a new random key.
func Generate() Text {
	secret := make([]byte, secretBytes)
	// Read never fails; it stops the program if there is no randomness.
	_, _ = rand.Read(secret)
	return Text(textPrefix + base64.RawURLEncoding.EncodeToString(secret))
}

// Valid reports whether the text has the form of a key.
func (t Text) Valid() bool {
	return len(t) == textBytes && strings.HasPrefix(string(t), textPrefix)
}

// Hash returns the hash that the key is known by.
func (t Text) Hash() Hash { return sha256.Sum256([]byte(t)) }

// String returns a fixed text in place of the key.
func (t Text) String() string { return redacted }

// GoString returns a fixed text in place of the key.
func (t Text) GoString() string { return redacted }

// LogValue returns a fixed text in place of the key.
func (t Text) LogValue() slog.Value { return slog.StringValue(redacted) }

// Reveal returns the key itself, for the caller it was made for.
func (t Text) Reveal() string { return string(t) }

// Hash is the SHA-256 of a key.
type Hash [sha256.Size]byte

// String returns the hash in hexadecimal digits.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText returns the hash in hexadecimal digits.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads hexadecimal digits.
func (h *Hash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return trace.BadParameter("hash must have %d hexadecimal digits", hex.EncodedLen(len(h)))
	}
	_, err := hex.Decode(h[:], text)
	return trace.Wrap(err)
}

// bucket returns the record that the key stands in.
func (h Hash) bucket() int { return int(h[0]) % buckets }

// ID names a key to operators.
type ID string

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@-]{0,62}$`)

// Valid reports whether the id has the form of one.
func (id ID) Valid() bool { return idPattern.MatchString(string(id)) }

const idDigits = 12

// NewID returns the id that a key gets unless its operator names it.
func NewID(h Hash) ID { return ID(h.String()[:idDigits]) }

// Confirmation says how far a withdrawal has come.
type Confirmation struct {
	// Written says that the platform's service holds the withdrawal.
	Written bool `json:"written"`
	// Confirmed are the hosts that refuse the key.
	Confirmed []fleet.HostID `json:"confirmed"`
	// Unconfirmed are the hosts that have not said so yet.
	Unconfirmed []fleet.HostID `json:"unconfirmed"`
}
