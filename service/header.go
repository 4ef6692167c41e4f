package service

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"hawthornway/call"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// credentialHeaders can contain a caller's key.
var credentialHeaders = []string{"Authorization", "X-Api-Key", "Api-Key", "Cookie"}

// reservedHeaders are set by hawthornway and ignored in what others send.
var reservedHeaders = []string{
	"X-Request-Id", "X-Attempt", "X-Priority", "X-Resume-From",
	call.HeaderOutcome, call.HeaderDeadline, call.HeaderRequest, "Hawthornway-Not-Run",
}

// copyHeader copies the headers that may be forwarded.
func copyHeader(dst, src http.Header) {
	named := connectionHeaders(src)
	for name, values := range src {
		if isWithheld(name) || slices.Contains(named, name) {
			continue
		}
		dst[name] = slices.Clone(values)
	}
}

func isWithheld(name string) bool {
	return slices.Contains(hopByHopHeaders, name) ||
		slices.Contains(credentialHeaders, name) ||
		slices.Contains(reservedHeaders, name)
}

// connectionHeaders returns the header names listed in Connection headers.
func connectionHeaders(header http.Header) []string {
	var names []string
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}
