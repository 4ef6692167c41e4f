// Package settings reads the YAML settings of one host. They are read once at
// the start; what operators change while hosts run is in package config.
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
	// Seeds are peer addresses to try when the platform is down.
	Seeds   []string `yaml:"seeds" json:"seeds"`
	Secrets Secrets  `yaml:"secrets" json:"secrets"`
	TLS     TLS      `yaml:"tls" json:"tls"`
	Limits  Limits   `yaml:"limits" json:"limits"`
	Drain   Drain    `yaml:"drain" json:"drain"`
	Log     Log      `yaml:"log" json:"log"`
}

// Listen holds the addresses of the listeners, each an IP number and port.
type Listen struct {
	Callers   string `yaml:"callers" json:"callers"`
	Operators string `yaml:"operators" json:"operators"`
	Peers     string `yaml:"peers" json:"peers"`
	// PeersAdvertised is the address that other hosts dial instead of Peers,
	// where something stands between the two; empty if nothing does.
	PeersAdvertised string `yaml:"peers-advertised" json:"peers-advertised"`
}

// Platform holds the platform's base URLs, each with an IP number.
type Platform struct {
	KeyValue string `yaml:"key-value" json:"key-value"`
	// HostList may be empty: targets then come from the configuration alone.
	HostList string `yaml:"host-list" json:"host-list"`
	// WeightStore may be empty: loads are then planned without its state.
	WeightStore string `yaml:"weight-store" json:"weight-store"`
}

// Secrets are shared with operators or between hosts. The environment goes
// before the file.
type Secrets struct {
	Cluster       Secret `yaml:"cluster" json:"cluster"`
	OperatorToken Secret `yaml:"operator-token" json:"operator-token"`
}

// TLS holds the certificates of the listeners that operators and peers use.
type TLS struct {
	Operators TLSFiles `yaml:"operators" json:"operators"`
	Peers     TLSFiles `yaml:"peers" json:"peers"`
}

// TLSFiles are paths of PEM files. All empty means no TLS.
type TLSFiles struct {
	Cert string `yaml:"cert" json:"cert"`
	Key  string `yaml:"key" json:"key"`
	// CA verifies the other side's certificate. It is needed between peers.
	CA string `yaml:"ca" json:"ca"`
}

// Enabled reports whether TLS is on.
func (f TLSFiles) Enabled() bool { return f.Cert != "" }

// Limits bound what callers can use of one host.
type Limits struct {
	HeaderBytes int64 `yaml:"header-bytes" json:"header-bytes"`
	BodyBytes   int64 `yaml:"body-bytes" json:"body-bytes"`
	Connections int   `yaml:"connections" json:"connections"`
	Streams     int   `yaml:"streams" json:"streams"`
	// ConnectionAge is the age at which a connection is closed between two
	// requests.
	ConnectionAge time.Duration `yaml:"connection-age" json:"connection-age"`
	HeaderTimeout time.Duration `yaml:"header-timeout" json:"header-timeout"`
}

// Drain bounds a graceful stop.
type Drain struct {
	// Bound is the longest time that streams get to finish.
	Bound time.Duration `yaml:"bound" json:"bound"`
	// Unready is the time for which the host reports not ready and still
	// takes requests, so that the balancer notices.
	Unready time.Duration `yaml:"unready" json:"unready"`
}

// LogFormat names the form of log lines.
type LogFormat string

// The formats of log lines.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// Log says how to log.
type Log struct {
	Format LogFormat `yaml:"format" json:"format"`
	// Level is debug, info, warn or error.
	Level string `yaml:"level" json:"level"`
}

// Default returns the settings that hold where a file says nothing.
func Default() Settings {
	return Settings{
		Limits: Limits{
			HeaderBytes:   32 << 10,
			BodyBytes:     4 << 20,
			Connections:   4096,
			Streams:       1024,
			ConnectionAge: 10 * time.Minute,
			HeaderTimeout: 5 * time.Second,
		},
		Drain: Drain{Bound: 30 * time.Second, Unready: 2 * time.Second},
		Log:   Log{Format: LogText, Level: "info"},
	}
}
