package service

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"hawthornway/call"
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// keyHeaders can hold a caller's key.
var keyHeaders = []string{"Authorization", "X-Api-Key", "Api-Key", "Cookie"}

// ownHeaders are set by hawthornway and not taken from others.
var ownHeaders = []string{
	"X-Request-Id", "X-Attempt", "X-Priority", "X-Resume-From",
	call.HeaderOutcome, call.HeaderDeadline, call.HeaderRequest, "Hawthornway-Not-Run",
}

// copyHeader copies the headers that may be passed on.
func copyHeader(to, from http.Header) {
	named := connectionHeaders(from)
	for name, values := range from {
		if withheld(name) || slices.Contains(named, name) {
			continue
		}
		to[name] = slices.Clone(values)
	}
}

func withheld(name string) bool {
	return slices.Contains(hopHeaders, name) ||
		slices.Contains(keyHeaders, name) ||
		slices.Contains(ownHeaders, name)
}

// connectionHeaders returns the headers that a Connection header names.
func connectionHeaders(header http.Header) []string {
	var names []string
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}
