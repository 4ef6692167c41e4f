// Package hostlist is a stand-in for the platform's host list. The list contains
// live and leaving hosts and targets. Changes become visible with a lag.
package hostlist

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/fleet"
	"hawthornway/hostlist"
	"hawthornway/standin/wire"
)

// Settings configure the list.
type Settings struct {
	// Lag is the delay after which a change becomes visible.
	Lag time.Duration `yaml:"lag"`
}

// List is a simulated host list.
type List struct {
	settings Settings
	clock    clockwork.Clock

	mu      sync.Mutex
	visible map[string]hostlist.Entry
	pending []change
}

// change is an update of one name that is not visible yet. A nil entry removes
// the name.
type change struct {
	visibleAt time.Time
	name      string
	entry     *hostlist.Entry
}

// New returns a List that shows the given entries at once.
func New(settings Settings, clock clockwork.Clock, entries ...hostlist.Entry) *List {
	l := &List{settings: settings, clock: clock, visible: make(map[string]hostlist.Entry)}
	for _, entry := range entries {
		l.visible[entry.Name] = entry
	}
	return l
}

// Put adds or replaces an entry. The change becomes visible after the lag.
func (l *List) Put(entry hostlist.Entry) { l.change(entry.Name, &entry) }

// Remove removes an entry. The change becomes visible after the lag.
func (l *List) Remove(name string) { l.change(name, nil) }

func (l *List) change(name string, entry *hostlist.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, change{visibleAt: l.clock.Now().Add(l.settings.Lag), name: name, entry: entry})
}

// Entries returns the visible entries, sorted by name.
func (l *List) Entries() []hostlist.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyPending()
	entries := make([]hostlist.Entry, 0, len(l.visible))
	for _, entry := range l.visible {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b hostlist.Entry) int { return cmp.Compare(a.Name, b.Name) })
	return entries
}

func (l *List) applyPending() {
	now := l.clock.Now()
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		c := l.pending[0]
		l.pending = l.pending[1:]
		if c.entry == nil {
			delete(l.visible, c.name)
			continue
		}
		l.visible[c.name] = *c.entry
	}
}

type wireList struct {
	Hosts []wireEntry `json:"hosts"`
}

type wireEntry struct {
	Name    string         `json:"name"`
	Kind    hostlist.Kind  `json:"kind"`
	Domain  fleet.DomainID `json:"domain"`
	Address string         `json:"address"`
	State   hostlist.State `json:"state"`
}

// Handler returns the list's HTTP handler.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", l.serveList)
	mux.HandleFunc("PUT /v1/hosts/{name}", l.servePut)
	mux.HandleFunc("DELETE /v1/hosts/{name}", l.serveRemove)
	return mux
}

func (l *List) serveList(w http.ResponseWriter, _ *http.Request) {
	list := wireList{Hosts: []wireEntry{}}
	for _, entry := range l.Entries() {
		list.Hosts = append(list.Hosts, wireEntry(entry))
	}
	wire.WriteJSON(w, http.StatusOK, list)
}

func (l *List) servePut(w http.ResponseWriter, r *http.Request) {
	var entry wireEntry
	if !wire.ReadJSON(w, r, &entry) {
		return
	}
	entry.Name = r.PathValue("name")
	l.Put(hostlist.Entry(entry))
	wire.WriteJSON(w, http.StatusOK, entry)
}

func (l *List) serveRemove(w http.ResponseWriter, r *http.Request) {
	l.Remove(r.PathValue("name"))
	wire.WriteJSON(w, http.StatusOK, struct{}{})
}
