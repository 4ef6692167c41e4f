// Package settings loads the YAML settings of one host. They are read once at
// startup; what operators can change at run time is in package config.
package settings

import (
	"time"

	"hawthornway/fleet"
)

// Settings are the settings of one host.
type Settings struct {
	Host     fleet.HostID   `yaml:"host" json:"host"`
	Domain   fleet.DomainID `yaml:"domain" json:"domain"`
	Listen   Listen         `yaml:"listen" json:"listen"`
	Platform Platform       `yaml:"platform" json:"platform"`
	// Seeds are addresses of peers to contact when the platform is unavailable.
	Seeds   []string `yaml:"seeds" json:"seeds"`
	Secrets Secrets  `yaml:"secrets" json:"secrets"`
	TLS     TLS      `yaml:"tls" json:"tls"`
	Limits  Limits   `yaml:"limits" json:"limits"`
	Drain   Drain    `yaml:"drain" json:"drain"`
	Log     Log      `yaml:"log" json:"log"`
}

// Listen holds the addresses of the listeners, each an IP address and port.
type Listen struct {
	Callers   string `yaml:"callers" json:"callers"`
	Operators string `yaml:"operators" json:"operators"`
	Peers     string `yaml:"peers" json:"peers"`
	// PeersAdvertised is the address that other hosts dial if it differs from
	// Peers, for example behind a proxy. If it is empty, they dial Peers.
	PeersAdvertised string `yaml:"peers-advertised" json:"peers-advertised"`
}

// Platform holds the base URLs of the platform's services, each with an IP
// address.
type Platform struct {
	KeyValue string `yaml:"key-value" json:"key-value"`
	// HostList may be empty; targets then come from the configuration only.
	HostList string `yaml:"host-list" json:"host-list"`
	// WeightStore may be empty; model loads are then planned without its state.
	WeightStore string `yaml:"weight-store" json:"weight-store"`
}

// Secrets are shared with operators or between hosts. Environment variables take
// precedence over the file.
type Secrets struct {
	Cluster       Secret `yaml:"cluster" json:"cluster"`
	OperatorToken Secret `yaml:"operator-token" json:"operator-token"`
}

// TLS holds the certificates of the listeners for operators and peers.
type TLS struct {
	Operators TLSFiles `yaml:"operators" json:"operators"`
	Peers     TLSFiles `yaml:"peers" json:"peers"`
}

// TLSFiles are paths of PEM files. TLS is off if all of them are empty.
type TLSFiles struct {
	Cert string `yaml:"cert" json:"cert"`
	Key  string `yaml:"key" json:"key"`
	// CA verifies the other side's certificate. It is required for peers.
	CA string `yaml:"ca" json:"ca"`
}

// Enabled reports whether TLS is on.
func (f TLSFiles) Enabled() bool { return f.Cert != "" }

// Limits limit the resources of one host that callers can use.
type Limits struct {
	HeaderBytes int64 `yaml:"header-bytes" json:"header-bytes"`
	BodyBytes   int64 `yaml:"body-bytes" json:"body-bytes"`
	Connections int   `yaml:"connections" json:"connections"`
	Streams     int   `yaml:"streams" json:"streams"`
	// MemoryBytes is what calls in progress may hold together: their heads and bodies, and
	// what targets answer.
	MemoryBytes int64 `yaml:"memory-bytes" json:"memory-bytes"`
	// ConnectionAge is the age after which a connection is closed once its
	// current request is done.
	ConnectionAge time.Duration `yaml:"connection-age" json:"connection-age"`
	HeaderTimeout time.Duration `yaml:"header-timeout" json:"header-timeout"`
}

// Drain configures a graceful shutdown.
type Drain struct {
	// Timeout is the maximum time that calls in progress get to finish.
	Timeout time.Duration `yaml:"bound" json:"bound"`
	// UnreadyDelay is the time for which the host reports that it is not ready but
	// still accepts requests, so that the load balancer notices first.
	UnreadyDelay time.Duration `yaml:"unready" json:"unready"`
}

// LogFormat is the format of log lines.
type LogFormat string

// The formats of log lines.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// Log configures logging.
type Log struct {
	Format LogFormat `yaml:"format" json:"format"`
	// Level is debug, info, warn or error.
	Level string `yaml:"level" json:"level"`
}

// Default returns the settings for everything that a file leaves out.
func Default() Settings {
	return Settings{
		Limits: Limits{
			HeaderBytes:   32 << 10,
			BodyBytes:     4 << 20,
			Connections:   4096,
			Streams:       1024,
			MemoryBytes:   512 << 20,
			ConnectionAge: 10 * time.Minute,
			HeaderTimeout: 5 * time.Second,
		},
		Drain: Drain{Timeout: 30 * time.Second, UnreadyDelay: 2 * time.Second},
		Log:   Log{Format: LogText, Level: "info"},
	}
}
