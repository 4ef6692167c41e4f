package settings

import (
	"fmt"
	"log/slog"
	"net/netip"
	"net/url"
	"regexp"
	"time"

	"hawthornway/document"
)

const (
	minSecretBytes   = 16
	maxHeaderBytes   = 1 << 20
	maxBodyBytes     = 64 << 20
	minMemoryBytes   = 16 << 20
	maxMemoryBytes   = 1 << 40
	maxCount         = 1 << 20
	maxConnectionAge = 24 * time.Hour
	maxDrainTime     = time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// checker collects the problems of decoded settings.
type checker struct {
	doc      *document.Document
	problems document.Problems
}

// fail adds a problem, unless the field has one already.
func (c *checker) fail(field, format string, args ...any) {
	for _, p := range c.problems {
		if p.Field == field {
			return
		}
	}
	c.problems = append(c.problems, c.doc.Problem(field, format, args...))
}

func (c *checker) settings(s Settings) {
	c.name("host", string(s.Host))
	c.name("domain", string(s.Domain))
	c.listen(s.Listen)
	c.url("platform.key-value", s.Platform.KeyValue, true)
	c.url("platform.host-list", s.Platform.HostList, false)
	c.url("platform.weight-store", s.Platform.WeightStore, false)
	for i, seed := range s.Seeds {
		c.address(fmt.Sprintf("seeds[%d]", i), seed)
	}
	c.secret("secrets.cluster", s.Secrets.Cluster, EnvironmentClusterSecret)
	c.secret("secrets.operator-token", s.Secrets.OperatorToken, EnvironmentOperatorToken)
	c.tlsFiles("tls.operators", s.TLS.Operators, false)
	c.tlsFiles("tls.peers", s.TLS.Peers, true)
	c.limits(s.Limits)
	c.duration("drain.bound", s.Drain.Timeout, 0, maxDrainTime)
	c.duration("drain.unready", s.Drain.UnreadyDelay, 0, maxDrainTime)
	c.log(s.Log)
}

func (c *checker) name(field, value string) {
	if !namePattern.MatchString(value) {
		c.fail(field, "must be 1 to 63 lower-case letters, digits, dots and hyphens, not %q", value)
	}
}

func (c *checker) listen(l Listen) {
	if l.PeersAdvertised != "" {
		c.address("listen.peers-advertised", l.PeersAdvertised)
	}
	listeners := []struct{ field, address string }{
		{"listen.callers", l.Callers},
		{"listen.operators", l.Operators},
		{"listen.peers", l.Peers},
	}
	first := map[string]string{}
	for _, listener := range listeners {
		c.address(listener.field, listener.address)
		if other, taken := first[listener.address]; taken && listener.address != "" {
			c.fail(listener.field, "is the same address as %s", other)
		}
		first[listener.address] = listener.field
	}
}

func (c *checker) address(field, value string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		c.fail(field, "must be an IP number and port, not %q", value)
	}
}

func (c *checker) url(field, value string, required bool) {
	if value == "" && !required {
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil {
		c.fail(field, "must be an http or https URL with an IP number and port")
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		c.fail(field, "must name its host by IP number and port, not %q", u.Host)
	}
}

func (c *checker) secret(field string, value Secret, variable string) {
	if len(value) < minSecretBytes {
		c.fail(field, "must have at least %d bytes; set it here or in %s", minSecretBytes, variable)
	}
}

func (c *checker) tlsFiles(field string, f TLSFiles, requireCA bool) {
	if (f.Cert == "") != (f.Key == "") {
		c.fail(field, "needs both cert and key, or neither")
	}
	if f.CA != "" && !f.Enabled() {
		c.fail(field+".ca", "needs cert and key")
	}
	if requireCA && f.Enabled() && f.CA == "" {
		c.fail(field+".ca", "is needed where cert is set")
	}
}

func (c *checker) limits(l Limits) {
	c.number("limits.header-bytes", l.HeaderBytes, 1<<10, maxHeaderBytes)
	c.number("limits.body-bytes", l.BodyBytes, 1, maxBodyBytes)
	c.number("limits.connections", int64(l.Connections), 1, maxCount)
	c.number("limits.streams", int64(l.Streams), 1, maxCount)
	c.number("limits.memory-bytes", l.MemoryBytes, minMemoryBytes, maxMemoryBytes)
	c.duration("limits.connection-age", l.ConnectionAge, time.Second, maxConnectionAge)
	c.duration("limits.header-timeout", l.HeaderTimeout, 100*time.Millisecond, time.Minute)
}

func (c *checker) number(field string, value, low, high int64) {
	if value < low || value > high {
		c.fail(field, "must be from %d to %d, not %d", low, high, value)
	}
}

func (c *checker) duration(field string, value, low, high time.Duration) {
	if value < low || value > high {
		c.fail(field, "must be from %v to %v, not %v", low, high, value)
	}
}

func (c *checker) log(l Log) {
	if l.Format != LogText && l.Format != LogJSON {
		c.fail("log.format", "must be text or json, not %q", l.Format)
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		c.fail("log.level", "must be debug, info, warn or error, not %q", l.Level)
	}
}
