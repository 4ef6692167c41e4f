package listener

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// serve serves handler and returns its URL.
func serve(t *testing.T, handler http.Handler, limits Limits) string {
	server, address, err := NewServer("127.0.0.1:0", handler, limits, nil)
	must.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- server.Start(context.Background()) }()
	t.Cleanup(func() {
		must.NoError(t, server.Stop(context.Background()))
		must.NoError(t, <-done)
	})
	return "http://" + address.String()
}

func TestStreamIsFlushedPartByPart(t *testing.T) {
	received := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for i := range 5 {
			_, _ = fmt.Fprintf(w, "part %d\n", i)
			_ = http.NewResponseController(w).Flush()
			<-received // the client has read this part
		}
	})
	response, err := http.Get(serve(t, handler, Limits{}))
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewReader(response.Body)
	for i := range 5 {
		line, err := lines.ReadString('\n')
		must.NoError(t, err)
		must.EqOp(t, fmt.Sprintf("part %d\n", i), line)
		received <- struct{}{}
	}
}

func TestPathReachesHandlerAsSent(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.RequestURI())
	})
	base := serve(t, handler, Limits{})
	for _, path := range []string{"/a//b", "/a/%2e%2e/b", "/a%2Fb?x=1&x=2", "/"} {
		response, err := http.Get(base + path)
		must.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		must.EqOp(t, path, string(body))
	}
}

// TestConnectionsAreLimited opens more connections, one after the other, than may
// be open at once. Each closed connection must free its slot for the next.
func TestConnectionsAreLimited(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})
	base := serve(t, handler, Limits{Connections: 2})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 6 {
		response, err := client.Get(base)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
	}
}
