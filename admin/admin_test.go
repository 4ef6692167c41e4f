package admin

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/shoenig/test/must"

	"hawthornway/burn"
	"hawthornway/config"
	"hawthornway/document"
	"hawthornway/fleet"
	"hawthornway/key"
	"hawthornway/peer/peertest"
	"hawthornway/standin/kvstore"
)

const token = "operator-token-of-the-test"

type fakeHost struct{ forgotten fleet.HostID }

func (f *fakeHost) Status(context.Context) (Status, error) { return Status{Host: "a1"}, nil }

func (f *fakeHost) Drain(context.Context) (DrainState, error) { return DrainState{true, 3}, nil }

func (f *fakeHost) Forget(_ context.Context, _ fleet.DomainID, host fleet.HostID) error {
	f.forgotten = host
	return nil
}

func (f *fakeHost) Burn(context.Context) (burn.Report, error) {
	return burn.Report{Missing: []fleet.HostID{"b1"}}, nil
}

// directory implements key.Directory for a fleet of one host.
type directory struct{ key.Directory }

func (directory) Domains() []fleet.DomainID { return []fleet.DomainID{"a"} }
func (directory) Hosts() []fleet.HostID     { return []fleet.HostID{"a1"} }

type testServer struct {
	kv     *kvstore.Store
	host   *fakeHost
	server *httptest.Server
	client *Client
}

func newTestServer(t *testing.T) *testServer {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	s := &testServer{kv: kvstore.New(), host: &fakeHost{}}
	mesh := peertest.NewNetwork(1).Join(fleet.Member{Host: "a1", Domain: "a"})
	configs := config.NewStore(s.kv, mesh, config.WithLogger(log))
	keys := key.NewStore(s.kv, mesh, directory{}, key.WithLogger(log))
	s.server = httptest.NewServer(NewHandler(Dependencies{configs, keys, s.host, token, log}))
	t.Cleanup(s.server.Close)
	s.client = NewClient(s.server.URL, token)
	return s
}

func teamFile(rate string) config.File {
	return config.File{Name: "teams.yaml", Data: []byte("teams: [{name: rafiq, burst: 10, rate: " + rate + "}]")}
}

func TestConfiguration(t *testing.T) {
	s := newTestServer(t)
	first := config.Submission{Files: []config.File{teamFile("5")}, Change: "c1", Author: "lina"}
	accepted, err := s.client.Apply(t.Context(), first)
	must.NoError(t, err)
	must.EqOp(t, 1, accepted.Revision)
	again, err := s.client.Apply(t.Context(), first)
	must.NoError(t, err)
	must.Eq(t, accepted, again)

	other := config.Submission{Files: []config.File{teamFile("7")}, Change: "c2", Author: "omar"}
	_, err = s.client.Apply(t.Context(), other)
	apiError := trace.Unwrap(err).(*Error)
	must.EqOp(t, CodeConflict, apiError.Code)
	must.EqOp(t, "lina", apiError.Conflict.Files[0].Author)
	must.EqOp(t, "teams.yaml", apiError.Conflict.Files[0].File)
	must.EqOp(t, 1, apiError.Conflict.Files[0].Revision)
	must.Eq(t, []config.FieldChange{{Field: "rate", Before: "7", After: "5"}}, apiError.Conflict.Files[0].Differences[0].Fields)

	_, err = s.client.Apply(t.Context(), config.Submission{Files: []config.File{teamFile("x")}, Base: 1, Change: "c3", Author: "omar"})
	want := document.Problems{{File: "teams.yaml", Line: 1, Field: "teams[0].rate", Reason: "must be a number"}}
	must.Eq(t, want, trace.Unwrap(err).(*Error).Problems)

	now, err := s.client.Config(t.Context())
	must.NoError(t, err)
	must.Eq(t, first.Files, now.Files)
	history, err := s.client.History(t.Context())
	must.NoError(t, err)
	must.Len(t, 1, history)
}

func TestIsOutcomeUnknown(t *testing.T) {
	s := newTestServer(t)
	s.kv.SetFaults(kvstore.Faults{Outage: true})
	_, err := s.client.Apply(t.Context(), config.Submission{Files: []config.File{teamFile("5")}, Change: "c1", Author: "lina"})
	must.EqOp(t, CodeUnavailable, trace.Unwrap(err).(*Error).Code)
	must.False(t, IsOutcomeUnknown(err))
	s.server.Close()
	_, err = s.client.Status(t.Context())
	must.True(t, trace.IsConnectionProblem(err))
	must.True(t, IsOutcomeUnknown(err))
}

func TestKeys(t *testing.T) {
	s := newTestServer(t)
	text := key.Generate()
	grant := []key.Grant{{Hash: text.Hash(), ID: "k1", Team: "rafiq"}}
	must.EqOp(t, CodeNotFound, trace.Unwrap(s.client.Grant(t.Context(), grant)).(*Error).Code)
	_, err := s.client.Apply(t.Context(), config.Submission{Files: []config.File{teamFile("5")}, Change: "c1", Author: "lina"})
	must.NoError(t, err)
	must.NoError(t, s.client.Grant(t.Context(), grant))
	must.NoError(t, s.client.Grant(t.Context(), grant))
	keys, err := s.client.Keys(t.Context())
	must.NoError(t, err)
	must.Len(t, 1, keys)
	must.False(t, keys[0].Withdrawn())
	confirmation, err := s.client.Withdraw(t.Context(), []key.ID{"k1"})
	must.NoError(t, err)
	must.Eq(t, key.Confirmation{Written: true, Confirmed: []fleet.HostID{"a1"}}, confirmation)
	keys, err = s.client.Keys(t.Context())
	must.NoError(t, err)
	must.True(t, keys[0].Withdrawn())
	_, err = s.client.Withdraw(t.Context(), []key.ID{"k2"})
	must.EqOp(t, CodeNotFound, trace.Unwrap(err).(*Error).Code)
}

func TestHostCalls(t *testing.T) {
	s := newTestServer(t)
	status, err := s.client.Status(t.Context())
	must.NoError(t, err)
	must.EqOp(t, "a1", status.Host)
	state, err := s.client.Drain(t.Context())
	must.NoError(t, err)
	must.EqOp(t, 3, state.Requests)
	must.NoError(t, s.client.Forget(t.Context(), "a", "a9"))
	must.EqOp(t, "a9", s.host.forgotten)
	report, err := s.client.Burn(t.Context())
	must.NoError(t, err)
	must.Eq(t, []fleet.HostID{"b1"}, report.Missing)
}

func TestHostileRequests(t *testing.T) {
	s := newTestServer(t)
	bearer := "Bearer " + token
	cases := []struct {
		name   string
		auth   string
		method string
		path   string
		body   string
		status int
		want   string
	}{
		{"no token", "", "GET", "/v1/status", "", 401, `"unauthorized"`},
		{"wrong token", "Bearer x", "GET", "/v1/status", "", 401, `"unauthorized"`},
		{"token of another scheme", "Basic " + token, "GET", "/v1/status", "", 401, `"unauthorized"`},
		{"empty token", "Bearer ", "GET", "/v1/status", "", 401, `"unauthorized"`},
		{"no token on an unknown path", "", "GET", "/v1/x", "", 401, `"unauthorized"`},
		{"unknown path", bearer, "GET", "/v1/x", "", 404, ""},
		{"wrong method", bearer, "PUT", "/v1/config", "", 405, ""},
		{"no JSON", bearer, "POST", "/v1/config", "files:", 400, `"invalid"`},
		{"empty body", bearer, "POST", "/v1/config", "", 400, `"invalid"`},
		{"unknown field", bearer, "POST", "/v1/config", `{"fils":[]}`, 400, `unknown field`},
		{"wrong type", bearer, "POST", "/v1/config", `{"base":"1"}`, 400, `"invalid"`},
		{"two values", bearer, "POST", "/v1/config", `{} {}`, 400, `more than one JSON value`},
		{"no change id", bearer, "POST", "/v1/config", `{"author":"a"}`, 400, `change id`},
		{"author with a line end", bearer, "POST", "/v1/config", `{"change":"c","author":"a\nb"}`, 400, `author`},
		{"file outside of the folder", bearer, "POST", "/v1/config", `{"change":"c","author":"a","files":[{"name":"../x.yaml","data":""}]}`, 400, `must be named`},
		{"same file twice", bearer, "POST", "/v1/config", `{"change":"c","author":"a","files":[{"name":"x.yaml","data":""},{"name":"x.yaml","data":""}]}`, 400, `is sent twice`},
		{"YAML bomb", bearer, "POST", "/v1/config", `{"change":"c","author":"a","files":[{"name":"x.yaml","data":"a: &a [1]\nb: [*a,*a]"}]}`, 400, `anchors`},
		{"huge body", bearer, "POST", "/v1/keys", `{"keys":[` + strings.Repeat(" ", maxBodyBytes) + `]}`, 413, `"too-large"`},
		{"short hash", bearer, "POST", "/v1/keys", `{"keys":[{"hash":"ab"}]}`, 400, `hexadecimal`},
		{"no keys", bearer, "POST", "/v1/keys", `{"keys":[]}`, 400, `1 to 10000`},
		{"unknown key", bearer, "POST", "/v1/keys/k%2F..%00/withdraw", ``, 404, `"not-found"`},
		{"forget nobody", bearer, "POST", "/v1/domain/forget", `{}`, 400, `needs a domain`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r, err := http.NewRequestWithContext(t.Context(), tc.method, s.server.URL+tc.path, strings.NewReader(tc.body))
			must.NoError(t, err)
			r.Header.Set("Authorization", tc.auth)
			response, err := http.DefaultClient.Do(r)
			must.NoError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			must.NoError(t, err)
			must.EqOp(t, tc.status, response.StatusCode)
			must.StrContains(t, string(body), tc.want)
			must.StrNotContains(t, string(body), token)
		})
	}
	_, err := s.client.Status(t.Context())
	must.NoError(t, err)
}

func TestEndpointsHaveADeadline(t *testing.T) {
	h := &handler{}
	served := h.serve(time.Minute, func(r *http.Request) (any, error) {
		_, hasDeadline := r.Context().Deadline()
		return hasDeadline, nil
	})
	w := httptest.NewRecorder()
	served(w, httptest.NewRequest(http.MethodGet, "/", nil))
	must.EqOp(t, "true\n", w.Body.String())
}
