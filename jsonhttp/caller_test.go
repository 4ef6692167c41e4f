package jsonhttp_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/jsonhttp"
)

func TestCallerTakesAddressesAndURLs(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("7"))
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	for _, form := range []string{address, "http://" + address, "http://" + address + "/"} {
		var got int
		must.NoError(t, jsonhttp.NewClient(form).Get(t.Context(), "/x", nil, time.Second, &got))
		must.Eq(t, 7, got)
	}
}

func TestCallerFailures(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    func(error) bool
	}{
		{
			name:    "cut connection",
			handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			want:    func(err error) bool { return errors.Is(err, jsonhttp.ErrUnanswered) },
		},
		{
			name:    "status",
			handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) },
			want:    func(err error) bool { var s *jsonhttp.StatusError; return errors.As(err, &s) && s.Status == 418 },
		},
		{
			name:    "broken JSON",
			handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) },
			want:    func(err error) bool { return errors.Is(err, jsonhttp.ErrUnanswered) },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			caller := jsonhttp.NewClient(server.URL)
			var got int
			must.True(t, c.want(caller.Get(t.Context(), "/", nil, time.Second, &got)))
		})
	}
}
