package kvstore

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"hawthornway/keyvalue"
	"hawthornway/standin/wire"
)

// maxWatchWait is the longest wait that a watch may request.
const maxWatchWait = 10 * time.Minute

type wireEntry struct {
	Key      string            `json:"key"`
	Value    []byte            `json:"value"`
	Revision keyvalue.Revision `json:"revision"`
	Deleted  bool              `json:"deleted,omitempty"`
}

type wireList struct {
	Entries  []wireEntry       `json:"entries"`
	Revision keyvalue.Revision `json:"revision"`
}

type wireEvents struct {
	Events   []wireEntry       `json:"events"`
	Revision keyvalue.Revision `json:"revision"`
}

type wireRevision struct {
	Revision keyvalue.Revision `json:"revision"`
}

type wireConflict struct {
	Current keyvalue.Revision `json:"current"`
}

type wireLease struct {
	Lease LeaseID `json:"lease"`
}

// Handler returns the store's HTTP handler.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv", s.serveGet)
	mux.HandleFunc("PUT /v1/kv", s.serveSwap)
	mux.HandleFunc("DELETE /v1/kv", s.serveDelete)
	mux.HandleFunc("GET /v1/list", s.serveList)
	mux.HandleFunc("GET /v1/watch", s.serveWatch)
	mux.HandleFunc("POST /v1/lease", s.serveGrant)
	mux.HandleFunc("PUT /v1/lease/{id}", s.serveRenew)
	mux.HandleFunc("DELETE /v1/lease/{id}", s.serveRevoke)
	mux.HandleFunc("PUT /faults", s.serveFaults)
	mux.HandleFunc("GET /counts", s.serveCounts)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(keyvalue.HeaderEra, strconv.FormatUint(uint64(s.Era()), 10))
		mux.ServeHTTP(w, r)
	})
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	entry, err := s.Get(r.Context(), r.FormValue("key"))
	if err != nil {
		writeError(w, err)
		return
	}
	wire.WriteJSON(w, http.StatusOK, newWireEntry(entry, false))
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	entries, revision, err := s.List(r.Context(), r.FormValue("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	list := wireList{Entries: []wireEntry{}, Revision: revision}
	for _, e := range entries {
		list.Entries = append(list.Entries, newWireEntry(e, false))
	}
	wire.WriteJSON(w, http.StatusOK, list)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := parseNumber(r, "after")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ms, err := parseNumber(r, "wait-ms")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(ms)*time.Millisecond, maxWatchWait)
	events, next, err := s.watch(r.Context(), r.FormValue("prefix"), keyvalue.Revision(after), wait)
	if err != nil {
		writeError(w, err)
		return
	}
	batch := wireEvents{Events: []wireEntry{}, Revision: next}
	for _, e := range events {
		batch.Events = append(batch.Events, newWireEntry(e.Entry, e.Deleted))
	}
	wire.WriteJSON(w, http.StatusOK, batch)
}

func (s *Store) serveSwap(w http.ResponseWriter, r *http.Request) {
	expected, err := parseNumber(r, "expected")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, err := parseNumber(r, "lease")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// FormValue would consume a form-encoded body, so the key is read from the
	// query only.
	key := r.URL.Query().Get("key")
	value, err := io.ReadAll(io.LimitReader(r.Body, keyvalue.MaxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(value) > keyvalue.MaxValueBytes {
		http.Error(w, "value is over the bound", http.StatusRequestEntityTooLarge)
		return
	}
	revision, err := s.SwapWithLease(r.Context(), key, keyvalue.Revision(expected), value, LeaseID(id))
	if err != nil {
		writeError(w, err)
		return
	}
	wire.WriteJSON(w, http.StatusOK, wireRevision{Revision: revision})
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	expected, err := parseNumber(r, "expected")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.Delete(r.Context(), r.URL.Query().Get("key"), keyvalue.Revision(expected)); err != nil {
		writeError(w, err)
		return
	}
	wire.WriteJSON(w, http.StatusOK, struct{}{})
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	ms, err := parseNumber(r, "ttl-ms")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, err := s.Grant(r.Context(), time.Duration(ms)*time.Millisecond)
	if err != nil {
		writeError(w, err)
		return
	}
	wire.WriteJSON(w, http.StatusOK, wireLease{Lease: id})
}

func (s *Store) serveRenew(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.Renew(r.Context(), LeaseID(id)); err != nil {
		writeError(w, err)
		return
	}
	wire.WriteJSON(w, http.StatusOK, wireLease{Lease: LeaseID(id)})
}

func (s *Store) serveRevoke(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.Revoke(r.Context(), LeaseID(id)); err != nil {
		writeError(w, err)
		return
	}
	wire.WriteJSON(w, http.StatusOK, wireLease{Lease: LeaseID(id)})
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults wireFaults
	if !wire.ReadJSON(w, r, &faults) {
		return
	}
	s.SetFaults(faults.faults())
	wire.WriteJSON(w, http.StatusOK, faults)
}

func (s *Store) serveCounts(w http.ResponseWriter, _ *http.Request) {
	wire.WriteJSON(w, http.StatusOK, s.Counts())
}

// writeError responds with the status for the error. For an unknown result it
// aborts the connection, as if the response were lost.
func writeError(w http.ResponseWriter, err error) {
	var conflict *keyvalue.ConflictError
	switch {
	case errors.As(err, &conflict):
		wire.WriteJSON(w, http.StatusConflict, wireConflict{Current: conflict.Current})
	case errors.Is(err, keyvalue.ErrNotFound), errors.Is(err, ErrNoLease):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, keyvalue.ErrUnknown):
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func newWireEntry(entry keyvalue.Entry, deleted bool) wireEntry {
	return wireEntry{Key: entry.Key, Value: entry.Value, Revision: entry.Revision, Deleted: deleted}
}

// parseNumber returns a numeric query parameter, or zero if it is absent.
func parseNumber(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}
