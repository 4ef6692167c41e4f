// Package key manages the keys with which callers authenticate. It stores only
// their hashes, follows the records in the platform's key-value service, and
// spreads withdrawals between hosts even while that service is unavailable.
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
	secretPrefix = "hw_"
	randomBytes  = 32
	redacted     = "[redacted]"
)

var secretLength = len(secretPrefix) + base64.RawURLEncoding.EncodedLen(randomBytes)

// Secret is a key in plain text, as callers present it. It is never printed or
// logged.
type Secret string

// Generate returns a new random key.
func Generate() Secret {
	secret := make([]byte, randomBytes)
	// Read never returns an error; it crashes the program instead.
	_, _ = rand.Read(secret)
	return Secret(secretPrefix + base64.RawURLEncoding.EncodeToString(secret))
}

// Valid reports whether the secret is well-formed.
func (s Secret) Valid() bool {
	return len(s) == secretLength && strings.HasPrefix(string(s), secretPrefix)
}

// Hash returns the hash that identifies the key.
func (s Secret) Hash() Hash { return sha256.Sum256([]byte(s)) }

// String returns a fixed text in place of the key.
func (s Secret) String() string { return redacted }

// GoString returns a fixed text in place of the key.
func (s Secret) GoString() string { return redacted }

// LogValue returns a fixed text in place of the key.
func (s Secret) LogValue() slog.Value { return slog.StringValue(redacted) }

// Reveal returns the key in plain text, for the caller that it was made for.
func (s Secret) Reveal() string { return string(s) }

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

// bucket returns the bucket that the key belongs to.
func (h Hash) bucket() int { return int(h[0]) % bucketCount }

// ID is the name by which operators refer to a key.
type ID string

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@-]{0,62}$`)

// Valid reports whether the ID is well-formed.
func (id ID) Valid() bool { return idPattern.MatchString(string(id)) }

const idDigits = 12

// NewID returns the default ID of a key.
func NewID(h Hash) ID { return ID(h.String()[:idDigits]) }

// Confirmation reports the progress of a withdrawal.
type Confirmation struct {
	// Written is set if the platform's key-value service holds the withdrawal.
	Written bool `json:"written"`
	// Confirmed are the hosts that have confirmed that they refuse the key.
	Confirmed []fleet.HostID `json:"confirmed"`
	// Unconfirmed are the other hosts.
	Unconfirmed []fleet.HostID `json:"unconfirmed"`
}
