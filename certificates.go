package hawthornway

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/certificate"
	"hawthornway/settings"
)

// peerDialTimeout limits the time for connecting to another host.
const peerDialTimeout = time.Second

// newCertificateSource returns the certificate source of a listener, or nil if
// TLS is disabled.
func (h *host) newCertificateSource(files settings.TLSFiles) (*certificate.Source, error) {
	if !files.Enabled() {
		return nil, nil
	}
	source, err := certificate.NewSource(files,
		certificate.WithClock(h.options.clock),
		certificate.WithLogger(h.options.log),
	)
	return source, trace.Wrap(err)
}

// serverConfig returns the TLS configuration of a listener, or nil if TLS is
// disabled.
func serverConfig(source *certificate.Source) *tls.Config {
	if source == nil {
		return nil
	}
	return source.ServerConfig()
}

// peerClient returns the HTTP client for connections to other hosts. It uses TLS
// if source is not nil.
func peerClient(source *certificate.Source) *http.Client {
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
	}
	if source != nil {
		transport.DialTLSContext = source.DialTLS
	}
	return &http.Client{Transport: transport}
}
