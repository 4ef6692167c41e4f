// Package certificate reads the TLS certificates of listeners and links from
// files, and reads them anew when the files change, without a restart.
package certificate

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"hawthornway/settings"
)

// checkPause is the shortest time between two looks at the files.
const checkPause = 5 * time.Second

// dialTimeout bounds the opening of a connection, without its handshake.
const dialTimeout = time.Second

// Source holds the certificate and the authorities that are in the files.
type Source struct {
	files settings.TLSFiles
	clock clockwork.Clock
	log   *slog.Logger

	mu      sync.Mutex
	stamp   [3]stamp
	checked time.Time
	loaded  loaded
}

// loaded is what was read from the files.
type loaded struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// stamp tells one state of a file from another.
type stamp struct {
	modified time.Time
	size     int64
}

// Option changes a Source.
type Option func(*Source)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(s *Source) { s.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option {
	return func(s *Source) { s.log = log }
}

// NewSource returns a new Source, or why the files can't be used.
func NewSource(files settings.TLSFiles, opts ...Option) (*Source, error) {
	s := &Source{files: files, clock: clockwork.NewRealClock(), log: slog.Default()}
	for _, opt := range opts {
		opt(s)
	}
	s.stamp = s.stamps()
	s.checked = s.clock.Now()
	var err error
	s.loaded, err = s.read()
	return s, trace.Wrap(err)
}

// ServerConfig returns the TLS configuration of a listener. Where there is a CA
// file, clients must present a certificate of it.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.serverConfig(), nil
		},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.current().certificate, nil
		},
	}
}

func (s *Source) serverConfig() *tls.Config {
	now := s.current()
	c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*now.certificate}}
	if now.authorities != nil {
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = now.authorities
	}
	return c
}

// DialTLS opens a TLS connection to "IP:port" with what is in the files now. It
// is for http.Transport.DialTLSContext, which would keep one configuration.
func (s *Source) DialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &tls.Dialer{NetDialer: &net.Dialer{Timeout: dialTimeout}, Config: s.ClientConfig()}
	conn, err := dialer.DialContext(ctx, network, address)
	return conn, trace.Wrap(err)
}

// ClientConfig returns the TLS configuration of a connection to be made now.
func (s *Source) ClientConfig() *tls.Config {
	now := s.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		RootCAs:      now.authorities,
		Certificates: []tls.Certificate{*now.certificate},
	}
}

// current returns what is in the files. Files that can't be read, perhaps since
// they are half written, leave the old certificate in use.
func (s *Source) current() loaded {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clock.Since(s.checked) < checkPause {
		return s.loaded
	}
	s.checked = s.clock.Now()
	now := s.stamps()
	if now == s.stamp {
		return s.loaded
	}
	next, err := s.read()
	if err != nil {
		s.log.Warn("certificate: changed files not used", "cert", s.files.Cert, "error", err)
		return s.loaded
	}
	s.stamp, s.loaded = now, next
	s.log.Info("certificate: changed files in use", "cert", s.files.Cert)
	return s.loaded
}

func (s *Source) stamps() [3]stamp {
	var all [3]stamp
	for i, path := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if info, err := os.Stat(path); err == nil {
			all[i] = stamp{info.ModTime(), info.Size()}
		}
	}
	return all
}

func (s *Source) read() (loaded, error) {
	pair, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return loaded{}, trace.BadParameter("certificate %s with key %s can't be used: %v", s.files.Cert, s.files.Key, err)
	}
	l := loaded{certificate: &pair}
	if s.files.CA == "" {
		return l, nil
	}
	data, err := os.ReadFile(s.files.CA)
	if err != nil {
		return loaded{}, trace.ConvertSystemError(err)
	}
	l.authorities = x509.NewCertPool()
	if !l.authorities.AppendCertsFromPEM(data) {
		return loaded{}, trace.BadParameter("file %s holds no certificate", s.files.CA)
	}
	return l, nil
}
