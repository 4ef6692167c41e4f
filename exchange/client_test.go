package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/exchange"
)

// scriptedTarget is a target that responds to each request with the next entry
// of a script.
type scriptedTarget struct {
	listener net.Listener
	opened   atomic.Int32
	requests atomic.Int32
}

// scriptedResponse is what a scriptedTarget does for one request.
type scriptedResponse struct {
	bytes string
	// beforeBody responds before the request body has been read.
	beforeBody bool
	// closeAfter closes the connection after the bytes, and reset resets it.
	closeAfter, reset bool
}

func newScriptedTarget(t *testing.T, script ...scriptedResponse) *scriptedTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	target := &scriptedTarget{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	var next atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			target.opened.Add(1)
			go target.serve(conn, &next, script)
		}
	}()
	return target
}

func (target *scriptedTarget) serve(conn net.Conn, next *atomic.Int32, script []scriptedResponse) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		i := int(next.Add(1)) - 1
		target.requests.Add(1)
		if i >= len(script) {
			return
		}
		response := script[i]
		if !response.beforeBody {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		_, _ = io.WriteString(conn, response.bytes)
		if response.beforeBody {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		if response.reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		if response.closeAfter {
			return
		}
	}
}

func (target *scriptedTarget) address() string { return target.listener.Addr().String() }

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) exchange.Request {
	return exchange.Request{
		Method: http.MethodPost, URI: "/a%2Fb?c", Host: "h", Header: http.Header{"X-Id": {id}}, Body: []byte("body"),
		Belonging: ownIf("X-Id", id),
	}
}

// ownIf tells that responses belong to the request that a header names.
func ownIf(header, id string) func(http.Header) exchange.Belonging {
	return func(h http.Header) exchange.Belonging {
		switch h.Get(header) {
		case "":
			return exchange.Unnamed
		case id:
			return exchange.Own
		default:
			return exchange.Foreign
		}
	}
}

const maxIdle = exchange.MaxIdleTime(time.Minute)

func do(t *testing.T, c exchange.Client, address string, req exchange.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	resp, err := c.Do(ctx, address, req, maxIdle)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

func TestResponses(t *testing.T) {
	cases := []struct {
		name   string
		script []scriptedResponse
		want   string
		err    error
	}{
		{"complete", []scriptedResponse{{bytes: okResponse("1", "yes")}}, "yes", nil},
		{"chunked", []scriptedResponse{{bytes: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n"}}, "yes", nil},
		{"after an interim response", []scriptedResponse{{bytes: "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse("1", "yes")}}, "yes", nil},
		{"after a late response to another request", []scriptedResponse{{bytes: okResponse("0", "stray") + okResponse("1", "yes")}}, "yes", nil},
		{"only responses to other requests", []scriptedResponse{{bytes: okResponse("0", "a") + okResponse("0", "b") + okResponse("0", "c")}}, "", exchange.ErrNoResponse},
		{"not HTTP", []scriptedResponse{{bytes: "garbage\r\n\r\n", closeAfter: true}}, "", exchange.ErrNoResponse},
		{"closed", []scriptedResponse{{closeAfter: true}}, "", exchange.ErrNoResponse},
		{"cut short", []scriptedResponse{{bytes: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nyes", closeAfter: true}}, "yes", io.ErrUnexpectedEOF},
		{"chunks cut short", []scriptedResponse{{bytes: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n", closeAfter: true}}, "yes", io.ErrUnexpectedEOF},
		{"ends with its connection", []scriptedResponse{{bytes: "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nyes", closeAfter: true}}, "yes", nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			target := newScriptedTarget(t, tc.script...)
			c := exchange.New()
			defer c.Close()
			got, err := do(t, c, target.address(), request("1"))
			must.Eq(t, tc.want, got)
			if tc.err == nil {
				must.NoError(t, err)
				return
			}
			must.ErrorIs(t, err, tc.err)
		})
	}
}

func TestResetOfResponseWithoutLengthIsAnError(t *testing.T) {
	target := newScriptedTarget(t, scriptedResponse{bytes: "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nyes", reset: true})
	c := exchange.New()
	defer c.Close()
	_, err := do(t, c, target.address(), request("1"))
	must.Error(t, err)
}

func TestErrNotSentWithoutConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	_, err = do(t, exchange.New(), address, request("1"))
	must.ErrorIs(t, err, exchange.ErrNotSent)
}

// Checks which connections carry a second request.
func TestConnectionReuse(t *testing.T) {
	cases := []struct {
		name   string
		first  scriptedResponse
		opened int32
	}{
		{"complete response", scriptedResponse{bytes: okResponse("1", "yes")}, 1},
		{"more bytes after the response", scriptedResponse{bytes: okResponse("1", "yes") + okResponse("9", "more")}, 2},
		{"connection: close", scriptedResponse{bytes: strings.Replace(okResponse("1", "yes"), "X-Id", "Connection: close\r\nX-Id", 1)}, 2},
		{"keep-alive timeout of zero", scriptedResponse{bytes: strings.Replace(okResponse("1", "yes"), "X-Id", "Keep-Alive: timeout=0\r\nX-Id", 1)}, 2},
		{"closed by the target", scriptedResponse{bytes: okResponse("1", "yes"), closeAfter: true}, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			target := newScriptedTarget(t, tc.first, scriptedResponse{bytes: okResponse("2", "second")})
			c := exchange.New()
			defer c.Close()
			got, err := do(t, c, target.address(), request("1"))
			must.NoError(t, err)
			must.Eq(t, "yes", got)
			waitForClose(t, target)
			got, err = do(t, c, target.address(), request("2"))
			must.NoError(t, err)
			must.Eq(t, "second", got)
			must.Eq(t, tc.opened, target.opened.Load())
		})
	}
}

// waitForClose waits until the client has received the target's close of an
// earlier connection, if any. It opens and closes another connection to the
// target, by which time the loopback device has delivered the close.
func waitForClose(t *testing.T, target *scriptedTarget) {
	t.Helper()
	conn, err := net.Dial("tcp", target.address())
	must.NoError(t, err)
	must.NoError(t, conn.(*net.TCPConn).CloseWrite())
	_, err = conn.Read(make([]byte, 1))
	must.True(t, errors.Is(err, io.EOF))
	target.opened.Add(-1)
	must.NoError(t, conn.Close())
}

// The client must not resend a request when a reused connection breaks.
func TestRequestIsNeverSentTwice(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		target := newScriptedTarget(t, scriptedResponse{bytes: okResponse("1", "yes")}, scriptedResponse{closeAfter: true}, scriptedResponse{bytes: okResponse("2", "again")})
		c := exchange.New()
		req := request("1")
		req.Method = method
		_, err := do(t, c, target.address(), req)
		must.NoError(t, err)
		second := request("2")
		second.Method = method
		_, err = do(t, c, target.address(), second)
		must.ErrorIs(t, err, exchange.ErrNoResponse)
		must.Eq(t, 2, target.requests.Load())
		c.Close()
	}
}

// A target responds before it has read a long body and reads the rest later.
// Nothing but the rest of the body may follow on that connection.
func TestEarlyResponseToLongBody(t *testing.T) {
	target := newScriptedTarget(t, scriptedResponse{bytes: okResponse("1", "early"), beforeBody: true}, scriptedResponse{bytes: okResponse("2", "second")})
	c := exchange.New()
	defer c.Close()
	long := request("1")
	long.Body = make([]byte, 8<<20)
	got, err := do(t, c, target.address(), long)
	must.NoError(t, err)
	must.Eq(t, "early", got)
	got, err = do(t, c, target.address(), request("2"))
	must.NoError(t, err)
	must.Eq(t, "second", got)
}

func TestCancelClosesConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	closed := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, conn)
		closed <- err
	}()
	ctx, cancel := context.WithCancel(t.Context())
	c := exchange.New()
	done := make(chan error, 1)
	go func() {
		_, err := c.Do(ctx, listener.Addr().String(), request("1"), maxIdle)
		done <- err
	}()
	cancel()
	err = <-done
	must.Error(t, err)
	if errors.Is(err, exchange.ErrNoResponse) {
		<-closed
	}
}
