package caller

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/txtar"
	"github.com/shoenig/test/must"

	"hawthornway/call"
	"hawthornway/config"
	"hawthornway/listener"
	"hawthornway/model"
	"hawthornway/openai"
	"hawthornway/outcome"
	"hawthornway/team"
)

type fakeDirectory struct{}

func (fakeDirectory) Team(id team.ID) (config.Team, bool) {
	return config.Team{Name: id, Models: []model.Name{"brief"}, Routes: []config.RouteName{"bookings"}, Streams: 4}, id == "escorts"
}

func (fakeDirectory) Model(name model.Name) (config.Model, bool) {
	return config.Model{Name: name}, name == "brief" || name == "other"
}

func (fakeDirectory) Adapter(name model.Name) (config.Adapter, bool) {
	return config.Adapter{Name: name, Base: "other"}, name == "others-adapter"
}

func (fakeDirectory) RouteFor(path string) (config.Route, bool) {
	switch {
	case strings.HasPrefix(path, "/bookings"):
		return config.Route{Name: "bookings", Methods: []string{"POST"}, BodyBytes: 100}, true
	case strings.HasPrefix(path, "/ledger"):
		return config.Route{Name: "ledger"}, true
	default:
		return config.Route{}, false
	}
}

type fakeKeys struct{}

func (fakeKeys) Check(key string) (team.ID, <-chan struct{}, *outcome.NotRun) {
	if key != "hw_good" {
		return "", nil, &outcome.NotRun{Reason: outcome.ReasonNoKey, Detail: "the key is not known"}
	}
	return "escorts", make(chan struct{}), nil
}

// newTestHandler returns a handler that serves every accepted call with an empty
// response.
func newTestHandler(bodyBytes int64) *Handler {
	directory := fakeDirectory{}
	entries := []call.Entry{
		{Priority: call.PriorityResolve, Filter: ResolveFilter(directory)},
		{Priority: call.PriorityBody, Filter: BodyFilter(bodyBytes)},
		{Priority: call.PriorityBody, Filter: KeyLeakFilter()},
		{Priority: call.PriorityConcurrency, Filter: ConcurrencyFilter(directory, clockwork.NewRealClock())},
		{Priority: call.PriorityKey, Filter: KeyFilter(fakeKeys{})},
		{Priority: call.PriorityPath, Filter: PathFilter(directory)},
	}
	last := func(_ context.Context, c *call.Call) outcome.Outcome {
		if _, ok := c.Subject.(*call.Listing); ok {
			return openai.List(c, []model.Name{"brief"})
		}
		c.Writer.Header().Set(call.HeaderOutcome, "served")
		c.Writer.WriteHeader(http.StatusOK)
		return outcome.Served{}
	}
	return NewHandler(entries, last, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
}

// TestHostileRequests sends malformed and malicious requests byte by byte as they
// are in testdata/hostile. Each must get the expected status and text, and the
// server must still respond to the next valid request.
func TestHostileRequests(t *testing.T) {
	limits := listener.Limits{HeaderBytes: 8 << 10, HeaderTimeout: 200 * time.Millisecond}
	server, address, err := listener.NewServer("127.0.0.1:0", newTestHandler(2000), limits, nil)
	must.NoError(t, err)
	go func() { _ = server.Start(context.Background()) }()
	defer func() { _ = server.Stop(context.Background()) }()

	files, err := filepath.Glob("testdata/hostile/*.txtar")
	must.NoError(t, err)
	must.SliceNotEmpty(t, files)
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		must.NoError(t, err)
		for i := 0; i+1 < len(archive.Files); i += 2 {
			name := strings.TrimSuffix(archive.Files[i].Name, ".request")
			t.Run(name, func(t *testing.T) {
				checkHostile(t, address, string(archive.Files[i].Data), string(archive.Files[i+1].Data))
			})
		}
	}
}

func checkHostile(t *testing.T, address net.Addr, request, want string) {
	status, wantPart, _ := strings.Cut(strings.TrimSpace(want), " ")
	got := send(t, address, expand(request))
	if status == "closed" {
		must.EqOp(t, "", got)
	} else {
		must.True(t, strings.HasPrefix(got, "HTTP/1.1 "+status), must.Sprint(got))
		must.StrContains(t, got, wantPart)
	}
	response := send(t, address, "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer hw_good\r\nConnection: close\r\n\r\n")
	must.True(t, strings.HasPrefix(response, "HTTP/1.1 200"), must.Sprint(response))
}

// expand converts line ends in the headers to CRLF and expands placeholders in
// braces. The body is unchanged, except that its final newline is removed.
func expand(request string) string {
	head, body, _ := strings.Cut(request, "\n\n")
	body = expandRepeats(strings.ReplaceAll(strings.TrimSuffix(body, "\n"), "{{crlf}}", "\r\n"))
	head = expandRepeats(strings.ReplaceAll(head, "\n", "\r\n"))
	head = strings.Replace(head, "Content-Length: auto", "Content-Length: "+strconv.Itoa(len(body)), 1)
	data, _, _ := strings.Cut(head+"\r\n\r\n"+body, "{{end}}")
	return data
}

var repeatPattern = regexp.MustCompile(`{{\d+}}`)

func expandRepeats(text string) string {
	return repeatPattern.ReplaceAllStringFunc(text, func(match string) string {
		n, _ := strconv.Atoi(strings.Trim(match, "{}"))
		return strings.Repeat("a", n)
	})
}

// send writes the request and returns everything that is sent back.
func send(t *testing.T, address net.Addr, request string) string {
	conn, err := net.Dial("tcp", address.String())
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	must.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, _ = conn.Write([]byte(request)) // the server may close the connection early
	reader := bufio.NewReader(conn)
	var got strings.Builder
	for {
		line, err := reader.ReadString('\n')
		got.WriteString(line)
		if err != nil {
			return got.String()
		}
	}
}
