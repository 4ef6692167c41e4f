package hostlist

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/hostlist"
)

func TestChangesBecomeVisibleAfterLag(t *testing.T) {
	clock := clockwork.NewFakeClock()
	first := hostlist.Entry{Name: "a", Kind: hostlist.KindHost, Domain: "d", Address: "127.0.0.1:1", State: hostlist.StateLive}
	l := New(Settings{Lag: 5 * time.Second}, clock, first)
	server := httptest.NewServer(l.Handler())
	defer server.Close()
	client := hostlist.NewClient(server.Listener.Addr().String())

	leaving := first
	leaving.State = hostlist.StateLeaving
	l.Put(leaving)
	got, err := client.List(t.Context())
	must.NoError(t, err)
	must.Eq(t, []hostlist.Entry{first}, got)

	clock.Advance(5 * time.Second)
	got, err = client.List(t.Context())
	must.NoError(t, err)
	must.Eq(t, []hostlist.Entry{leaving}, got)
}

func TestChangesOverHTTP(t *testing.T) {
	l := New(Settings{}, clockwork.NewFakeClock())
	w := httptest.NewRecorder()
	body := `{"kind":"target","domain":"d","address":"127.0.0.1:2","state":"live"}`
	l.Handler().ServeHTTP(w, httptest.NewRequest("PUT", "/v1/hosts/e1", strings.NewReader(body)))
	must.Eq(t, "e1", l.Entries()[0].Name)
	l.Handler().ServeHTTP(w, httptest.NewRequest("DELETE", "/v1/hosts/e1", nil))
	must.SliceEmpty(t, l.Entries())
}
