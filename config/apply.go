package config

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/gravitational/trace"

	"hawthornway/keyvalue"
)

// Apply validates a submission and makes it the configuration of the whole
// fleet. Applying an accepted change again returns the same result, as long as
// the head's history has the change. The error is a document.Problems for
// invalid files, a *ConflictError if the base is not the current revision, one
// that wraps keyvalue.ErrUnavailable if nothing was accepted, or one that wraps
// ErrUnknown if the outcome is not known.
func (s *Store) Apply(ctx context.Context, submission Submission) (Accepted, error) {
	if err := submission.check(); err != nil {
		return Accepted{}, trace.Wrap(err)
	}
	if _, err := Merge(submission.Files); err != nil {
		return Accepted{}, trace.Wrap(err)
	}
	c, err := newContent(submission.Files)
	if err != nil {
		return Accepted{}, trace.Wrap(err)
	}
	a := &application{store: s, submission: submission, content: c}
	return a.run(ctx)
}

// application is the state of one call of Apply.
type application struct {
	store      *Store
	submission Submission
	content    content
	// outcomeUnknown is set once a failed write of the head may have taken
	// effect.
	outcomeUnknown bool
}

// run tries until the outcome is known or the context ends. After a swap that
// may have taken effect, the next try reads the head again: its history shows
// whether the change was accepted.
func (a *application) run(ctx context.Context) (Accepted, error) {
	for {
		accepted, done, err := a.try(ctx)
		if done {
			return accepted, trace.Wrap(err)
		}
		if !a.outcomeUnknown && errors.Is(err, keyvalue.ErrUnavailable) {
			return Accepted{}, trace.Wrap(err)
		}
		if !a.store.pause(ctx, retryInterval/10) {
			return Accepted{}, a.contextError(err)
		}
	}
}

// contextError returns the error for a context that ended before the outcome
// was known.
func (a *application) contextError(err error) error {
	if a.outcomeUnknown {
		return trace.Wrap(ErrUnknown)
	}
	return trace.Wrap(keyvalue.ErrUnavailable, "nothing was accepted: %v", err)
}

// try makes one attempt to read and swap the head. It reports whether the
// outcome is known.
func (a *application) try(ctx context.Context) (Accepted, bool, error) {
	current, err := a.store.readHead(ctx)
	if err != nil {
		return Accepted{}, false, err
	}
	if previous, found := current.find(a.submission.Change); found {
		return a.repeatedResult(ctx, current, previous)
	}
	if current.Revision != a.submission.Base {
		return Accepted{}, true, a.conflictError(ctx, current)
	}
	if err := a.writeParts(ctx, current); err != nil {
		return Accepted{}, false, err
	}
	return a.swapHead(ctx, current)
}

// repeatedResult returns the result of an earlier change with the same ID, or an
// error if that change had other content.
func (a *application) repeatedResult(ctx context.Context, current head, previous Accepted) (Accepted, bool, error) {
	if previous.Content != a.content.hash {
		return Accepted{}, true, trace.AlreadyExists("change id %q was used for another change, revision %d", previous.Change, previous.Revision)
	}
	if err := a.store.fetch(ctx, current, ""); err != nil {
		a.store.log.Warn("config: can't fetch the accepted revision yet", "error", err)
	}
	return previous, true, nil
}

// conflictError returns the conflict with the current head. It compares with
// the newest files that this host could fetch.
func (a *application) conflictError(ctx context.Context, current head) error {
	if err := a.store.fetch(ctx, current, ""); err != nil {
		a.store.log.Warn("config: can't fetch the current revision yet", "error", err)
	}
	var currentFiles []File
	if snapshot := a.store.Current(); snapshot != nil {
		currentFiles = snapshot.files
	}
	return newConflict(a.submission, a.content, current, currentFiles)
}

// writeParts writes the parts that the current head does not have.
func (a *application) writeParts(ctx context.Context, current head) error {
	for i, hash := range a.content.partHashes() {
		if slices.Contains(current.Parts, hash) {
			continue
		}
		if err := a.writePart(ctx, hash, a.content.parts[i]); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// writePart writes a part. If the key exists already, perhaps for an older
// head, it is overwritten, which raises its revision: a concurrent removal
// expects the previous revision and then fails.
func (a *application) writePart(ctx context.Context, hash Hash, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var expected keyvalue.Revision
	for {
		_, err := a.store.kv.Swap(ctx, partPrefix+string(hash), expected, data)
		var conflict *keyvalue.ConflictError
		if !errors.As(err, &conflict) {
			return trace.Wrap(err)
		}
		expected = conflict.Current
	}
}

// swapHead replaces the current head by compare-and-swap, which accepts the
// submission, and installs the new head on this host.
func (a *application) swapHead(ctx context.Context, current head) (Accepted, bool, error) {
	next := current.next(a.submission, a.content, a.store.clock.Now())
	value, err := json.Marshal(next)
	if err != nil {
		return Accepted{}, true, trace.Wrap(err)
	}
	if len(value) > keyvalue.MaxValueBytes {
		return Accepted{}, true, trace.LimitExceeded("folder has too many files for the head's %d bytes", keyvalue.MaxValueBytes)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	unused := a.store.unusedParts(callCtx, current, next)
	revision, err := a.store.kv.Swap(callCtx, headKey, current.keyRevision, value)
	if err != nil {
		a.outcomeUnknown = a.outcomeUnknown || errors.Is(err, keyvalue.ErrUnknown)
		return Accepted{}, false, trace.Wrap(err)
	}
	next.keyRevision = revision
	a.store.removeParts(ctx, unused)
	return next.Accepted, true, a.store.install(next, a.content.parts)
}
