// Package key manages the keys with which callers authenticate. It stores only
// their hashes, follows the records in the platform's key-value service, and
// spreads withdrawals between hosts even while the service is unavailable.
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
func (t Secret) Valid() bool {
	return len(t) == secretLength && strings.HasPrefix(string(t), secretPrefix)
}

// Hash returns the hash that identifies the key.
func (t Secret) Hash() Hash { return sha256.Sum256([]byte(t)) }

// String returns a fixed text in place of the key.
func (t Secret) String() string { return redacted }

// GoString returns a fixed text in place of the key.
func (t Secret) GoString() string { return redacted }

// LogValue returns a fixed text in place of the key.
func (t Secret) LogValue() slog.Value { return slog.StringValue(redacted) }

// Reveal returns the key itself, for the caller it was made for.
func (t Secret) Reveal() string { return string(t) }

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
func (h Hash) bucket() int { return int(h[0]) % buckets }

// ID is the name by which operators refer to a key.
type ID string

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@-]{0,62}$`)

// Valid reports whether the id is well-formed.
func (id ID) Valid() bool { return idPattern.MatchString(string(id)) }

const idDigits = 12

// NewID returns the default id of a key.
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
