package lineage_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/lineage"
	"hawthornway/target"
)

// shelf is an archive that all hosts share.
type shelf struct {
	mu    sync.Mutex
	pages map[string]map[lineage.PageNumber]lineage.Page
	// down makes all calls fail, cut those of some hosts, and lost the next write of each host.
	down          bool
	cut           map[string]bool
	lost          map[string]bool
	writes, reads int
}

func newShelf() *shelf {
	return &shelf{pages: map[string]map[lineage.PageNumber]lineage.Page{}, cut: map[string]bool{}, lost: map[string]bool{}}
}

// archive is a shelf as one start of a host sees it.
type archive struct {
	shelf *shelf
	host  string
}

var errDown = errors.New("the archive is down")

// callTime is the duration of a call to an archive.
const callTime = 4 * time.Millisecond

func (a archive) Write(_ context.Context, pages []lineage.Page) error {
	time.Sleep(callTime)
	a.shelf.mu.Lock()
	defer a.shelf.mu.Unlock()
	a.shelf.writes++
	switch {
	case a.shelf.down || a.shelf.cut[a.host]:
		return errDown
	case a.shelf.lost[a.host]:
		delete(a.shelf.lost, a.host)
		clear(a.shelf.pages[a.host])
		return fmt.Errorf("%w: lease", lineage.ErrPagesLost)
	}
	if a.shelf.pages[a.host] == nil {
		a.shelf.pages[a.host] = map[lineage.PageNumber]lineage.Page{}
	}
	for _, page := range pages {
		a.shelf.pages[a.host][page.Number] = page
	}
	return nil
}

func (a archive) Read(context.Context) ([]lineage.Page, error) {
	time.Sleep(callTime)
	a.shelf.mu.Lock()
	defer a.shelf.mu.Unlock()
	a.shelf.reads++
	if a.shelf.down || a.shelf.cut[a.host] {
		return nil, errDown
	}
	var pages []lineage.Page
	for _, byNumber := range a.shelf.pages {
		pages = slices.AppendSeq(pages, maps.Values(byNumber))
	}
	return pages, nil
}

func (s *shelf) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// setCut cuts a host off from the archive.
func (s *shelf) setCut(host string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[host] = cut
}

// losePages makes the archive lose a host's pages with its next write.
func (s *shelf) losePages(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost[host] = true
}

// service has the versions of a pool that a host sees in service.
type service struct {
	mu       sync.Mutex
	versions []target.Version
	// outOfStep is set while the host isn't told of changes.
	outOfStep bool
	changed   chan struct{}
}

func newService(versions ...target.Version) *service {
	return &service{versions: versions, changed: make(chan struct{})}
}

func (s *service) set(versions ...target.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = versions
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *service) Versions() map[target.Pool][]target.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[target.Pool][]target.Version{"p": s.versions}
}

func (s *service) VersionsChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *service) setOutOfStep(outOfStep bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outOfStep = outOfStep
}

// Complete implements lineage.Versions.
func (s *service) Complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.outOfStep
}

// startBook starts a host's book. The returned function ends it, with all that it knows.
func startBook(t *testing.T, shelf *shelf, service *service, host string) (book *lineage.Book, kill func()) {
	t.Helper()
	book = lineage.NewBook(archive{shelf, host}, service, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		must.NoError(t, book.Run(ctx))
	}()
	return book, func() {
		cancel()
		<-ended
	}
}

func known(version target.Version) lineage.Origin {
	return lineage.Known{Build: lineage.Build{Pool: "p", Version: version}}
}

// Guards against a stream whose version is lost with the host at which it began, or with all
// hosts at once.
func TestVersionOutlastsItsHost(t *testing.T) {
	cases := []struct {
		name   string
		before func(*service, *shelf, *lineage.Book)
		want   lineage.Origin
	}{
		{"begun while two versions serve", func(s *service, _ *shelf, b *lineage.Book) {
			s.set("v1", "v2")
			b.Began("stream", lineage.Build{Pool: "p", Version: "v1"})
			time.Sleep(200 * time.Millisecond)
		}, known("v1")},
		{"begun before the second version came", func(s *service, _ *shelf, b *lineage.Book) {
			b.Began("stream", lineage.Build{Pool: "p", Version: "v1"})
			time.Sleep(20 * time.Second)
			s.set("v1", "v2")
			time.Sleep(200 * time.Millisecond)
		}, known("v1")},
		{"two versions have served for long", func(s *service, _ *shelf, b *lineage.Book) {
			s.set("v1", "v2")
			time.Sleep(3 * lineage.Retention)
			b.Began("stream", lineage.Build{Pool: "p", Version: "v1"})
			time.Sleep(200 * time.Millisecond)
		}, known("v1")},
		{"the version that began it has left", func(s *service, _ *shelf, b *lineage.Book) {
			s.set("v1", "v2")
			b.Began("stream", lineage.Build{Pool: "p", Version: "v1"})
			time.Sleep(200 * time.Millisecond)
			s.set("v2")
		}, known("v1")},
		{"the archive was away as it began", func(s *service, sh *shelf, b *lineage.Book) {
			s.set("v1", "v2")
			sh.setDown(true)
			b.Began("stream", lineage.Build{Pool: "p", Version: "v1"})
			time.Sleep(10 * time.Second)
			sh.setDown(false)
			time.Sleep(2 * time.Second)
		}, known("v1")},
		{"the archive lost the host's pages", func(s *service, sh *shelf, b *lineage.Book) {
			s.set("v1", "v2")
			b.Began("stream", lineage.Build{Pool: "p", Version: "v1"})
			time.Sleep(15 * time.Second)
			sh.losePages("a")
			b.Began("later", lineage.Build{Pool: "p", Version: "v2"})
			time.Sleep(time.Second)
		}, known("v1")},
		{"killed before it could be written", func(s *service, _ *shelf, b *lineage.Book) {
			s.set("v1", "v2")
			time.Sleep(200 * time.Millisecond)
			b.Began("first", lineage.Build{Pool: "p", Version: "v1"})
			time.Sleep(10 * time.Millisecond)
			b.Began("stream", lineage.Build{Pool: "p", Version: "v1"})
		}, lineage.Unknown{}},
		{"a single version serves", func(_ *service, _ *shelf, b *lineage.Book) {
			b.Began("stream", lineage.Build{Pool: "p", Version: "v1"})
		}, known("v1")},
		{"the archive stays away", func(s *service, sh *shelf, _ *lineage.Book) {
			s.set("v1", "v2")
			sh.setDown(true)
		}, lineage.Unavailable{}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				shelf, service := newShelf(), newService("v1")
				book, kill := startBook(t, shelf, service, "a")
				tc.before(service, shelf, book)
				kill()
				next, kill := startBook(t, shelf, service, "b")
				defer kill()
				must.Eq(t, tc.want, next.Origin(t.Context(), "p", "stream"))
			})
		})
	}
}

// Guards against a host that is out of step for some seconds as targets of another version
// join, and takes their streams for those of the only version that it knows.
func TestHostOutOfStepDoesNotGuessVersions(t *testing.T) {
	cases := []struct {
		name string
		// during plays while the host is out of step, and back as it is asked, which may
		// take a second.
		during, back func(own *service, sh *shelf)
		want         lineage.Origin
	}{
		{"cut off from the archive", func(_ *service, sh *shelf) { sh.setCut("out", true) }, func(*service, *shelf) {}, lineage.Unavailable{}},
		{"other hosts cut off from the archive", func(_ *service, sh *shelf) { sh.setCut("in", true) }, func(*service, *shelf) {}, lineage.Unavailable{}},
		{"told a moment later", func(_ *service, sh *shelf) { sh.setCut("in", true) }, func(own *service, _ *shelf) {
			time.Sleep(500 * time.Millisecond)
			own.set("v1", "v2")
			own.setOutOfStep(false)
		}, lineage.Unknown{}},
		{"back and told a moment later", func(_ *service, sh *shelf) { sh.setCut("out", true) }, func(own *service, sh *shelf) {
			time.Sleep(500 * time.Millisecond)
			sh.setCut("out", false)
			own.set("v1", "v2")
			own.setOutOfStep(false)
		}, known("v2")},
		{"in step", func(own *service, _ *shelf) { own.setOutOfStep(false) }, func(*service, *shelf) {}, known("v2")},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				shelf, inStep, outOfStep := newShelf(), newService("v1"), newService("v1")
				book, kill := startBook(t, shelf, inStep, "in")
				defer kill()
				out, killOut := startBook(t, shelf, outOfStep, "out")
				defer killOut()
				time.Sleep(5 * time.Second)
				outOfStep.setOutOfStep(true)
				tc.during(outOfStep, shelf)
				inStep.set("v1", "v2")
				book.Began("stream", lineage.Build{Pool: "p", Version: "v2"})
				time.Sleep(3 * time.Second)
				go tc.back(outOfStep, shelf)
				must.Eq(t, tc.want, out.Origin(t.Context(), "p", "stream"))
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against records that nobody needs: the store is paid for by the call.
func TestSingleVersionIsNotArchived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shelf := newShelf()
		book, kill := startBook(t, shelf, newService("v1"), "a")
		defer kill()
		for i := range 1000 {
			book.Began(lineage.StreamID(fmt.Sprint(i)), lineage.Build{Pool: "p", Version: "v1"})
			time.Sleep(20 * time.Millisecond)
		}
		must.Eq(t, 0, shelf.writes)
		must.Eq(t, known("v1"), book.Origin(t.Context(), "p", "999"))
		must.Eq(t, 1, shelf.reads) // as the host started
	})
}

// Guards against a read of the archive for each of many streams that are taken up at once.
func TestLookUpsShareReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shelf, service := newShelf(), newService("v1", "v2")
		book, kill := startBook(t, shelf, service, "a")
		for i := range 500 {
			book.Began(lineage.StreamID(fmt.Sprint(i)), lineage.Build{Pool: "p", Version: "v2"})
		}
		time.Sleep(time.Second)
		kill()
		next, kill := startBook(t, shelf, service, "b")
		defer kill()
		var wg sync.WaitGroup
		for i := range 500 {
			wg.Go(func() {
				must.Eq(t, known("v2"), next.Origin(t.Context(), "p", lineage.StreamID(fmt.Sprint(i))))
			})
		}
		wg.Wait()
		must.LessEq(t, 3, shelf.reads) // one as each host started
	})
}

// begun is a stream of TestVersionsAtRandom.
type begun struct {
	id      lineage.StreamID
	version target.Version
	at      time.Time
}

// Guards against streams taken up at a wrong version, whatever series of releases, kills of
// hosts, power losses and outages of the archive comes before.
func TestVersionsAtRandom(t *testing.T) {
	for seed := range *sequences {
		synctest.Test(t, func(t *testing.T) { playVersions(t, uint64(seed)) })
	}
}

func playVersions(t *testing.T, seed uint64) {
	const hosts, steps = 4, 120
	random := rand.New(rand.NewPCG(seed, 1))
	var log []string
	shelf, serving := newShelf(), []target.Version{"v1"}
	defer func() {
		if t.Failed() {
			t.Log(log)
		}
	}()
	books, kills, services := make([]*lineage.Book, hosts), make([]func(), hosts), make([]*service, hosts)
	starts := 0
	start := func(i int) {
		starts++
		books[i], kills[i] = startBook(t, shelf, services[i], fmt.Sprint(i, "-", starts))
	}
	for i := range hosts {
		services[i] = newService(serving...)
		start(i)
	}
	// release changes the versions that serve, of which hosts out of step aren't told.
	release := func(versions []target.Version) {
		serving = versions
		for _, s := range services {
			if s.Complete() {
				s.set(versions...)
			}
		}
	}
	defer func() {
		for _, kill := range kills {
			kill()
		}
	}()
	var streams []begun
	newest, down := 1, false
	for step := range steps {
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
		log = append(log, fmt.Sprint("\n", step, " ", serving, " down ", down, " starts ", starts))
		switch random.IntN(13) {
		case 0: // a release begins
			if down {
				continue // hosts learn of targets from the same store
			}
			newest++
			release(append(slices.Clone(serving), target.Version(fmt.Sprint("v", newest))))
		case 1: // a version leaves
			if len(serving) > 1 && !down {
				i := random.IntN(len(serving))
				release(slices.Delete(slices.Clone(serving), i, i+1))
			}
		case 2: // a host is killed
			i := random.IntN(hosts)
			kills[i]()
			start(i)
		case 3: // all hosts lose power
			for i := range hosts {
				kills[i]()
				start(i)
			}
		case 4:
			down = !down
			shelf.setDown(down)
		case 12: // a host falls out of step, or is told of all changes again
			s := services[random.IntN(hosts)]
			s.setOutOfStep(s.Complete())
			if s.Complete() {
				s.set(serving...)
			}
		case 5, 6, 7, 8: // streams begin
			for n := range 1 + random.IntN(5) {
				i := random.IntN(hosts)
				known := services[i].Versions()["p"]
				s := begun{lineage.StreamID(fmt.Sprint(step, "-", n)), known[random.IntN(len(known))], time.Now()}
				books[i].Began(s.id, lineage.Build{Pool: "p", Version: s.version})
				streams = append(streams, s)
			}
		default: // a stream is taken up
			streams = slices.DeleteFunc(streams, func(s begun) bool { return time.Since(s.at) > lineage.Retention/2 })
			if len(streams) == 0 {
				continue
			}
			s := streams[random.IntN(len(streams))]
			origin := books[random.IntN(hosts)].Origin(t.Context(), "p", s.id)
			if build, ok := origin.(lineage.Known); ok && build.Build.Version != s.version {
				t.Fatalf("seed %d, step %d: stream %s of %s is taken for one of %s", seed, step, s.id, s.version, build.Build.Version)
			}
		}
	}
}
