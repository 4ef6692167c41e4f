package main

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/admin"
	"hawthornway/settings"
)

const (
	// maxAttempts limits how often a change with an unknown outcome is sent.
	maxAttempts    = 3
	retryDelay     = 500 * time.Millisecond
	requestTimeout = 45 * time.Second
)

// client returns a client for the host given in the options.
func (c *console) client() (*admin.Client, error) {
	token, err := c.token()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if c.options.CA == "" {
		return admin.NewClient(c.options.HostAddress, token), nil
	}
	pem, err := os.ReadFile(c.options.CA)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, trace.BadParameter("file %s holds no certificate", c.options.CA)
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}}
	httpClient := &http.Client{Transport: transport, Timeout: requestTimeout}
	return admin.NewClient(c.options.HostAddress, token, admin.WithHTTPClient(httpClient)), nil
}

func (c *console) token() (settings.Secret, error) {
	if c.options.TokenFile == "" {
		token := os.Getenv(settings.EnvironmentOperatorToken)
		if token == "" {
			return "", trace.BadParameter("set %s or --token-file", settings.EnvironmentOperatorToken)
		}
		return settings.Secret(token), nil
	}
	data, err := os.ReadFile(c.options.TokenFile)
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	return settings.Secret(strings.TrimSpace(string(data))), nil
}

// retryUntilKnown sends an idempotent change until its outcome is known, at most
// maxAttempts times.
func (c *console) retryUntilKnown(send func() error) error {
	var err error
	for range maxAttempts {
		err = send()
		if err == nil || !admin.IsOutcomeUnknown(err) || c.ctx.Err() != nil {
			break
		}
		time.Sleep(retryDelay)
	}
	return trace.Wrap(err)
}
