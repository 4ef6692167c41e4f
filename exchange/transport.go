package exchange

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"hawthornway/head"
)

// CheckedTransport is a transport whose responses are errors, or end with one, where a Client's would.
type CheckedTransport struct{ Next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t CheckedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	written := make(chan error, 1)
	var traced atomic.Bool
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { traced.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case written <- info.Err:
			default: // net/http has sent the request once more, and the first one has failed
			}
		},
	})
	response, err := t.Next.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := head.Check(response); err != nil {
		_ = response.Body.Close() // the response isn't used
		return nil, err
	}
	if !traced.Load() { // the transport has no connections
		written <- nil
	}
	delimited := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	response.Body = &checkedBody{ReadCloser: response.Body, response: response, delimited: delimited, written: written}
	return response, nil
}

// CloseIdleConnections implements what http.Client.CloseIdleConnections asks for.
func (t CheckedTransport) CloseIdleConnections() {
	if closer, ok := t.Next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// checkedBody is a body whose end is checked.
type checkedBody struct {
	io.ReadCloser
	response  *http.Response
	delimited bool
	written   <-chan error
	checked   bool
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF || b.checked {
		return n, err
	}
	if err := b.checkEnd(); err != nil {
		return n, err
	}
	b.checked = true
	return n, io.EOF
}

// checkEnd is like Response.checkEnd. The transport closes the connection at the end of a body that
// has no other, which ends the writing.
func (b *checkedBody) checkEnd() error {
	if b.delimited {
		return head.CheckFields(b.response.Trailer)
	}
	select {
	case err := <-b.written:
		if err != nil {
			return errRequestCut
		}
		return nil
	case <-b.response.Request.Context().Done():
		return b.response.Request.Context().Err()
	}
}
