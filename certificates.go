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

// peerDialTimeout bounds the opening of a connection to another host.
const peerDialTimeout = time.Second

// certificates returns the source of a listener's certificates, or nil where TLS
// is off.
func (h *host) certificates(files settings.TLSFiles) (*certificate.Source, error) {
	if !files.Enabled() {
		return nil, nil
	}
	source, err := certificate.NewSource(files,
		certificate.WithClock(h.options.clock),
		certificate.WithLogger(h.options.log),
	)
	return source, trace.Wrap(err)
}

// serverConfig returns the TLS configuration of a listener, or nil for none.
func serverConfig(source *certificate.Source) *tls.Config {
	if source == nil {
		return nil
	}
	return source.ServerConfig()
}

// peerClient returns the HTTP client that dials other hosts, with TLS if there
// are certificates.
func peerClient(source *certificate.Source) *http.Client {
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
	}
	if source != nil {
		transport.DialTLSContext = source.DialTLS
	}
	return &http.Client{Transport: transport}
}
