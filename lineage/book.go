// Package lineage knows at which version of the targets' software recent streams began. What
// two versions send doesn't fit together, so that a stream may only go on at its own.
package lineage

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"hawthornway/target"
)

// StreamID identifies a stream. It is the ID of the request that brought the stream's first
// event.
type StreamID string

// Stream is a hash of a StreamID, which records hold instead.
type Stream uint64

// StreamOf returns the hash of an ID.
func StreamOf(id StreamID) Stream { return Stream(xxhash.Sum64String(string(id))) }

// Build is a version of the software of a pool's targets.
type Build struct {
	Pool    target.Pool
	Version target.Version
}

// Origin is what is known of the build at which a stream began: Known, Unknown or
// Unavailable.
type Origin interface{ origin() }

// Known means that the stream began at a build.
type Known struct{ Build Build }

// Unknown means that nothing tells at which of several builds the stream began.
type Unknown struct{}

// Unavailable means that the records could not be read, and may be a little later.
type Unavailable struct{}

func (Known) origin()       {}
func (Unknown) origin()     {}
func (Unavailable) origin() {}

// Page holds the streams that began at one host in one span of time, by build. Builds without
// streams were in service.
type Page struct {
	Number  PageNumber
	Streams map[Build][]Stream
}

// PageNumber counts a host's pages modulo Pages. A page replaces the one that had its number
// before.
type PageNumber int

// Archive keeps pages so that they outlast their hosts.
type Archive interface {
	// Write writes pages of this host, which replace those with the same numbers.
	Write(ctx context.Context, pages []Page) error
	// Read returns the pages of all hosts. It misses none that was written before the call.
	Read(ctx context.Context) ([]Page, error)
}

// ErrPagesLost is returned by Archive.Write if this host's earlier pages are no longer in the
// archive.
var ErrPagesLost = errors.New("earlier pages are lost")

// Versions knows the versions of the targets' software.
type Versions interface {
	// Versions returns the versions in service of each pool.
	Versions() map[target.Pool][]target.Version
	// VersionsChanged returns a channel that is closed at the next change of the versions.
	VersionsChanged() <-chan struct{}
	// Complete reports whether the versions are those of a moment ago. Otherwise targets of
	// another version may have joined since, whose streams other hosts have begun.
	Complete() bool
}

// The timing of a Book.
const (
	// Retention is how long streams are remembered from their beginning. One that lasts longer
	// can't be taken up while versions are mixed.
	Retention = time.Minute
	// pageTime is the span of time of one page. Shorter pages make smaller writes, and longer
	// ones fewer entries.
	pageTime = 10 * time.Second
	// Pages is the number of pages that a host has at most: those within Retention and the
	// present one.
	Pages = int(Retention/pageTime) + 2
	// observeInterval is the interval at which the versions in service are looked at even if
	// they haven't changed.
	observeInterval = pageTime
	// minWriteInterval is the shortest interval between writes, which collects the streams
	// that begin meanwhile. It is shorter than most streams.
	minWriteInterval = 100 * time.Millisecond
	// maxWriteDelay is the longest interval between tries to write after failed ones.
	maxWriteDelay = time.Second
	// minReadInterval is the shortest interval between reads, which collects the streams that
	// are asked for meanwhile.
	minReadInterval = 50 * time.Millisecond
	// readTimeout limits the time to find a stream, and readRetryDelay is the pause after a
	// failed read.
	readTimeout    = time.Second
	readRetryDelay = 100 * time.Millisecond
)

// Book remembers at which version the streams of this host began. While targets of several
// versions of a pool are in service, it writes that to an archive, so that all hosts can read
// it, also after this host has gone. It is safe for concurrent use.
type Book struct {
	archive  Archive
	versions Versions
	clock    clockwork.Clock
	log      *slog.Logger
	// startedAt is where pages are counted from.
	startedAt time.Time

	mu    sync.Mutex
	begun map[Stream]beginning
	// seen holds when each version of a pool was last in service.
	seen map[target.Pool]map[target.Version]time.Time
	// archiving holds the pools whose streams are archived.
	archiving map[target.Pool]bool
	// unwritten holds the pages that have changed since they were written, and written the
	// others that the archive has.
	unwritten, written map[pageKey]bool
	// wake tells Run that there are unwritten pages.
	wake chan struct{}
	// read holds the archive's streams as of the last read. reads counts the reads that were
	// started, and complete is the number of the last one that succeeded.
	read            map[Stream]Build
	reads, complete int
	readAt          time.Time
	// reading is held while the archive is read.
	reading chan struct{}
}

type beginning struct {
	build Build
	at    time.Time
}

// pageKey counts the pages of a Book.
type pageKey int

// pageOf returns the page of the streams that begin at a time.
func (b *Book) pageOf(at time.Time) pageKey { return pageKey(at.Sub(b.startedAt) / pageTime) }

// number returns the page's number in the archive.
func (k pageKey) number() PageNumber { return PageNumber(int(k) % Pages) }

// NewBook returns an empty Book. Run must be running for its streams to be archived.
func NewBook(archive Archive, versions Versions, clock clockwork.Clock, log *slog.Logger) *Book {
	return &Book{
		archive: archive, versions: versions, clock: clock, log: log, startedAt: clock.Now(),
		begun: map[Stream]beginning{}, seen: map[target.Pool]map[target.Version]time.Time{}, archiving: map[target.Pool]bool{}, unwritten: map[pageKey]bool{}, written: map[pageKey]bool{},
		wake: make(chan struct{}, 1), read: map[Stream]Build{}, reading: make(chan struct{}, 1),
	}
}

// Began records that a stream has begun at a target of a build.
func (b *Book) Began(id StreamID, build Build) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.begun[StreamOf(id)] = beginning{build, now}
	b.see(build, now)
	if b.archiving[build.Pool] {
		b.markUnwritten(b.pageOf(now))
	}
}

// see records that a build is in service.
func (b *Book) see(build Build, now time.Time) {
	if b.seen[build.Pool] == nil {
		b.seen[build.Pool] = map[target.Version]time.Time{}
	}
	b.seen[build.Pool][build.Version] = now
}

// observe records the versions in service. Streams of a pool are archived while it has had
// several versions lately, since they may have to be told from those of another: also those
// that began before the second version came.
func (b *Book) observe(now time.Time) {
	for pool, versions := range b.versions.Versions() {
		for _, version := range versions {
			b.see(Build{pool, version}, now)
		}
	}
	for pool := range b.seen {
		mixed := len(b.recent(pool, now)) > 1
		if mixed && !b.archiving[pool] {
			b.markUnwritten(b.pageOf(now)) // tells other hosts of the versions
			for _, s := range b.begun {
				if s.build.Pool == pool && now.Sub(s.at) < Retention {
					b.markUnwritten(b.pageOf(s.at))
				}
			}
		}
		b.archiving[pool] = mixed
	}
}

// recent returns the versions of a pool that were in service within Retention, or that the
// archive has streams of.
func (b *Book) recent(pool target.Pool, now time.Time) []target.Version {
	var versions []target.Version
	for version, at := range b.seen[pool] {
		if now.Sub(at) < Retention {
			versions = append(versions, version)
		}
	}
	return versions
}

func (b *Book) markUnwritten(page pageKey) {
	b.unwritten[page] = true
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Run writes to the archive until the context ends.
func (b *Book) Run(ctx context.Context) error {
	failures := 0
	if !b.learn(ctx) {
		return nil
	}
	for {
		changed := b.versions.VersionsChanged()
		b.mu.Lock()
		b.forget(b.clock.Now())
		b.observe(b.clock.Now())
		pages := b.takeUnwritten()
		b.mu.Unlock()
		delay := minWriteInterval
		switch err := b.write(ctx, pages); {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			delay = min(maxWriteDelay, minWriteInterval<<min(failures, 4))
			if failures++; failures == 1 {
				b.log.Warn("lineage: versions of streams not written; it is tried again", "pages", len(pages), "error", err)
			}
		case failures > 0 && len(pages) > 0:
			b.log.Info("lineage: versions of streams written again", "failures", failures)
			failures = 0
		}
		if len(pages) > 0 && !b.sleep(ctx, delay) {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-b.wake:
		case <-changed:
		case <-b.clock.After(observeInterval):
		}
	}
}

// learn reads the archive, so that this host knows which versions were in service before it
// started. It reports whether that succeeded before the context ended.
func (b *Book) learn(ctx context.Context) bool {
	for delay := minWriteInterval; ; delay = min(2*delay, maxWriteDelay) {
		_, _, err := b.find(ctx, 0)
		if err == nil || ctx.Err() != nil {
			return ctx.Err() == nil
		}
		b.log.Info("lineage: versions of earlier streams not read yet; it is tried again", "error", err)
		if !b.sleep(ctx, delay) {
			return false
		}
	}
}

// forget removes what is older than Retention.
func (b *Book) forget(now time.Time) {
	for s, began := range b.begun {
		if now.Sub(began.at) >= Retention {
			delete(b.begun, s)
		}
	}
	for pool, versions := range b.seen {
		for version, at := range versions {
			if now.Sub(at) >= Retention {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(b.seen, pool)
			delete(b.archiving, pool)
		}
	}
}

// takeUnwritten returns the unwritten pages, which count as written from then on. If there
// are any, it also returns written ones whose streams were forgotten, to be emptied.
func (b *Book) takeUnwritten() []pageKey {
	if len(b.unwritten) == 0 {
		return nil
	}
	oldest := b.pageOf(b.clock.Now().Add(-Retention))
	byNumber := map[PageNumber]pageKey{}
	for _, keys := range []map[pageKey]bool{b.written, b.unwritten} {
		for key := range keys {
			if newer, ok := byNumber[key.number()]; !ok || newer < key {
				byNumber[key.number()] = key
			}
		}
	}
	var pages []pageKey
	for _, key := range byNumber {
		if b.unwritten[key] || key < oldest {
			pages = append(pages, key)
		}
	}
	for _, key := range pages {
		delete(b.written, key)
		if key >= oldest {
			b.written[key] = true
		}
	}
	clear(b.unwritten)
	return pages
}

// write writes pages to the archive. Those that may be missing there count as unwritten.
func (b *Book) write(ctx context.Context, keys []pageKey) error {
	if len(keys) == 0 {
		return nil
	}
	err := b.archive.Write(ctx, b.pages(keys))
	if err == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if errors.Is(err, ErrPagesLost) {
		for _, began := range b.begun {
			b.markUnwritten(b.pageOf(began.at))
		}
	}
	for _, key := range keys {
		b.markUnwritten(key)
	}
	return err
}

// pages returns the contents of pages.
func (b *Book) pages(keys []pageKey) []Page {
	b.mu.Lock()
	defer b.mu.Unlock()
	index := make(map[pageKey]int, len(keys))
	pages := make([]Page, 0, len(keys))
	for _, key := range keys {
		index[key] = len(pages)
		pages = append(pages, Page{Number: key.number(), Streams: map[Build][]Stream{}})
	}
	now := b.clock.Now()
	if i, ok := index[b.pageOf(now)]; ok {
		for pool := range b.archiving {
			for _, version := range b.recent(pool, now) {
				pages[i].Streams[Build{pool, version}] = nil
			}
		}
	}
	for s, began := range b.begun {
		if i, ok := index[b.pageOf(began.at)]; ok {
			pages[i].Streams[began.build] = append(pages[i].Streams[began.build], s)
		}
	}
	return pages
}

// sleep reports whether d passed before the context ended.
func (b *Book) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-b.clock.After(d):
		return true
	}
}

// Origin returns the build at which a stream began. It reads the archive unless this host
// knows the stream. One that no host has recorded began while the given pool had a single
// version, if this host knows of all.
func (b *Book) Origin(ctx context.Context, pool target.Pool, id StreamID) Origin {
	s := StreamOf(id)
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for {
		build, known, err := b.find(ctx, s)
		switch {
		case known:
			return Known{build}
		case err == nil && b.versions.Complete():
			return b.unrecorded(pool)
		}
		if !b.sleep(ctx, readRetryDelay) {
			b.log.Warn("lineage: versions of streams not read, or those in service not known", "request", id, "error", err)
			return Unavailable{}
		}
	}
}

// unrecorded returns the origin of a stream that no host has recorded.
func (b *Book) unrecorded(pool target.Pool) Origin {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.observe(now)
	if versions := b.recent(pool, now); len(versions) == 1 {
		return Known{Build{pool, versions[0]}}
	}
	return Unknown{}
}

// find looks a stream up in memory and, unless it is there, in the archive as of now.
func (b *Book) find(ctx context.Context, s Stream) (build Build, known bool, err error) {
	build, known, asked := b.lookUp(s)
	if known {
		return build, true, nil
	}
	select {
	case b.reading <- struct{}{}:
		defer func() { <-b.reading }()
	case <-ctx.Done():
		return Build{}, false, ctx.Err()
	}
	b.mu.Lock()
	current, wait := b.complete > asked, minReadInterval-b.clock.Since(b.readAt)
	b.mu.Unlock()
	if !current {
		if wait > 0 && !b.sleep(ctx, wait) {
			return Build{}, false, ctx.Err()
		}
		if err := b.readArchive(ctx); err != nil {
			return Build{}, false, err
		}
	}
	build, known, _ = b.lookUp(s)
	return build, known, nil
}

// lookUp looks a stream up in memory. It also returns the number of reads that were started.
func (b *Book) lookUp(s Stream) (build Build, known bool, reads int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if began, ok := b.begun[s]; ok {
		return began.build, true, b.reads
	}
	build, known = b.read[s]
	return build, known, b.reads
}

// readArchive reads the archive.
func (b *Book) readArchive(ctx context.Context) error {
	b.mu.Lock()
	b.reads++
	number := b.reads
	b.readAt = b.clock.Now()
	b.mu.Unlock()
	pages, err := b.archive.Read(ctx)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.complete = number
	clear(b.read)
	now := b.clock.Now()
	for _, page := range pages {
		for build, streams := range page.Streams {
			b.see(build, now)
			for _, s := range streams {
				b.read[s] = build
			}
		}
	}
	return nil
}
