// Package certificate loads the TLS certificates of servers and clients from
// files, and reloads them without a restart when the files change.
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

// minCheckInterval is the minimum time between two checks of the files.
const minCheckInterval = 5 * time.Second

// dialTimeout is the timeout of the TCP connect, without the TLS handshake.
const dialTimeout = time.Second

// Source provides the certificate and the authorities in the files.
type Source struct {
	files settings.TLSFiles
	clock clockwork.Clock
	log   *slog.Logger

	mu          sync.Mutex
	fileStates  [3]fileState
	lastCheck   time.Time
	credentials credentials
}

// credentials is the content of the files.
type credentials struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// fileState identifies a version of a file.
type fileState struct {
	modified time.Time
	size     int64
}

// Option configures a Source.
type Option func(*Source)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(s *Source) { s.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option {
	return func(s *Source) { s.log = log }
}

// NewSource returns a new Source. It fails if the files can't be loaded.
func NewSource(files settings.TLSFiles, opts ...Option) (*Source, error) {
	s := &Source{files: files, clock: clockwork.NewRealClock(), log: slog.Default()}
	for _, opt := range opts {
		opt(s)
	}
	s.fileStates = s.statFiles()
	s.lastCheck = s.clock.Now()
	var err error
	s.credentials, err = s.load()
	return s, trace.Wrap(err)
}

// ServerConfig returns the TLS configuration of a server. If a CA file is set,
// clients must present a certificate signed by one of its authorities.
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
	creds := s.current()
	c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*creds.certificate}}
	if creds.authorities != nil {
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = creds.authorities
	}
	return c
}

// DialTLS opens a TLS connection to "IP:port" with the current certificate. It is
// meant for http.Transport.DialTLSContext, since http.Transport.TLSClientConfig
// would not follow changes of the files.
func (s *Source) DialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &tls.Dialer{NetDialer: &net.Dialer{Timeout: dialTimeout}, Config: s.ClientConfig()}
	conn, err := dialer.DialContext(ctx, network, address)
	return conn, trace.Wrap(err)
}

// ClientConfig returns the TLS configuration of a new client connection.
func (s *Source) ClientConfig() *tls.Config {
	creds := s.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		RootCAs:      creds.authorities,
		Certificates: []tls.Certificate{*creds.certificate},
	}
}

// current returns the current credentials, after reloading changed files. If
// that fails, perhaps because a file is partly written, the old ones stay in use.
func (s *Source) current() credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clock.Since(s.lastCheck) < minCheckInterval {
		return s.credentials
	}
	s.lastCheck = s.clock.Now()
	states := s.statFiles()
	if states == s.fileStates {
		return s.credentials
	}
	creds, err := s.load()
	if err != nil {
		s.log.Warn("certificate: cannot load changed files; the old certificate stays in use", "cert", s.files.Cert, "error", err)
		return s.credentials
	}
	s.fileStates, s.credentials = states, creds
	s.log.Info("certificate: reloaded changed files", "cert", s.files.Cert)
	return s.credentials
}

func (s *Source) statFiles() [3]fileState {
	var states [3]fileState
	for i, path := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if info, err := os.Stat(path); err == nil {
			states[i] = fileState{info.ModTime(), info.Size()}
		}
	}
	return states
}

func (s *Source) load() (credentials, error) {
	pair, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return credentials{}, trace.BadParameter("certificate %s with key %s can't be used: %v", s.files.Cert, s.files.Key, err)
	}
	creds := credentials{certificate: &pair}
	if s.files.CA == "" {
		return creds, nil
	}
	data, err := os.ReadFile(s.files.CA)
	if err != nil {
		return credentials{}, trace.ConvertSystemError(err)
	}
	creds.authorities = x509.NewCertPool()
	if !creds.authorities.AppendCertsFromPEM(data) {
		return credentials{}, trace.BadParameter("CA file %s contains no certificate", s.files.CA)
	}
	return creds, nil
}
