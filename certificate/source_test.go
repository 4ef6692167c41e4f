package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/settings"
)

// writePair writes a self-signed certificate with a serial number.
func writePair(t *testing.T, files settings.TLSFiles, serial int64) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(serial),
		Subject:               pkix.Name{CommonName: "host"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	must.NoError(t, err)
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	must.NoError(t, err)
	write := func(path, kind string, data []byte) {
		must.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
		stamp := time.Unix(1_000_000+serial, 0)
		must.NoError(t, os.Chtimes(path, stamp, stamp))
	}
	write(files.Cert, "CERTIFICATE", der)
	write(files.Key, "PRIVATE KEY", encoded)
}

// handshake returns the serial number that a client sees, or its error.
func handshake(source *Source, client *tls.Config) (int64, error) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	go func() { _ = tls.Server(far, source.ServerConfig()).Handshake() }()
	conn := tls.Client(near, client)
	if err := conn.Handshake(); err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestChangedFilesAreUsed(t *testing.T) {
	folder := t.TempDir()
	files := settings.TLSFiles{Cert: filepath.Join(folder, "cert.pem"), Key: filepath.Join(folder, "key.pem")}
	files.CA = files.Cert
	clock := clockwork.NewFakeClock()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	_, err := NewSource(files, WithClock(clock), WithLogger(log))
	must.ErrorContains(t, err, "can't be used")

	writePair(t, files, 1)
	source, err := NewSource(files, WithClock(clock), WithLogger(log))
	must.NoError(t, err)
	steps := []struct {
		name   string
		change func()
		want   int64
	}{
		{"first", func() {}, 1},
		{"changed, not looked at yet", func() { writePair(t, files, 2) }, 1},
		{"looked at", func() { clock.Advance(checkPause) }, 2},
		{"half written", func() {
			must.NoError(t, os.WriteFile(files.Key, []byte("-----BEGIN"), 0o600))
			clock.Advance(checkPause)
		}, 2},
		{"written whole", func() {
			writePair(t, files, 3)
			clock.Advance(checkPause)
		}, 3},
	}
	for _, step := range steps {
		step.change()
		client := source.ClientConfig()
		client.ServerName = "127.0.0.1"
		got, err := handshake(source, client)
		must.NoError(t, err, must.Sprint(step.name))
		must.EqOp(t, step.want, got, must.Sprint(step.name))
	}
}

func TestDialTLSFollowsTheFiles(t *testing.T) {
	folder := t.TempDir()
	files := settings.TLSFiles{Cert: filepath.Join(folder, "cert.pem"), Key: filepath.Join(folder, "key.pem")}
	files.CA = files.Cert
	writePair(t, files, 1)
	clock := clockwork.NewFakeClock()
	source, err := NewSource(files, WithClock(clock), WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))))
	must.NoError(t, err)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", source.ServerConfig())
	must.NoError(t, err)
	defer listener.Close()
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	}()
	for serial := int64(1); serial <= 3; serial++ {
		writePair(t, files, serial)
		clock.Advance(checkPause)
		conn, err := source.DialTLS(t.Context(), "tcp", listener.Addr().String())
		must.NoError(t, err)
		state := conn.(*tls.Conn).ConnectionState()
		must.EqOp(t, serial, state.PeerCertificates[0].SerialNumber.Int64())
		must.NoError(t, conn.Close())
	}
}
