// Package keyvalue is a client of the platform's key-value service, which stores
// all durable state.
package keyvalue

import (
	"context"
	"errors"
	"fmt"
)

// MaxValueBytes is the maximum size of a value in the service.
const MaxValueBytes = 1 << 20

// Revision orders all writes of the service: each write, to any key, has a higher
// revision than the one before it. Zero stands for a missing key.
type Revision uint64

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the revision of the last write to the key.
	Revision Revision
}

// Event is one change returned by a watch.
type Event struct {
	Entry
	// Deleted is set if the key was deleted. Value is empty then.
	Deleted bool
}

// Store is the platform's key-value service.
//
// A write fails with a *ConflictError if another write changed the key first, with
// an error that wraps ErrUnavailable if it had no effect for another reason, and
// with one that wraps ErrUnknown if it may have had an effect.
type Store interface {
	// Get returns the entry of key, or an error that wraps ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose keys start with prefix, in the order of
	// their keys, and the service's revision at that moment.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// Swap writes value if the key's revision is expected. Zero expects that
	// the key is missing. It returns the new revision.
	Swap(ctx context.Context, key string, expected Revision, value []byte) (Revision, error)
	// Delete removes the key if its revision is expected.
	Delete(ctx context.Context, key string, expected Revision) error
	// Watch returns the changes after a revision to keys that start with
	// prefix. It waits for at least one change, and returns none if the service
	// ends the wait. The returned revision is the one to continue from.
	Watch(ctx context.Context, prefix string, after Revision) ([]Event, Revision, error)
	// Era returns the newest era that an answer of the service has stated.
	Era() Era
}

// The errors of the service.
var (
	ErrNotFound    = errors.New("key not found")
	ErrUnavailable = errors.New("key-value service unavailable; the call had no effect")
	ErrUnknown     = errors.New("key-value service did not answer; the call may have had an effect")
)

// ConflictError is returned if a key had another revision than expected.
type ConflictError struct {
	Key      string
	Expected Revision
	Current  Revision
}

// Error returns the key and both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q is at revision %d, not %d", e.Key, e.Current, e.Expected)
}
