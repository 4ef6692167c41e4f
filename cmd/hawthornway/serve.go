package main

import (
	"io"
	"log/slog"

	"github.com/gravitational/trace"

	"hawthornway"
	"hawthornway/settings"
)

func init() {
	register("serve", "Run an entry host", "Runs an entry host until it is signaled to stop, then shuts down gracefully.",
		func(c *console) any { return &serveCommand{console: c} })
}

type serveCommand struct {
	console  *console
	Settings string `long:"settings" short:"s" required:"true" value-name:"FILE" description:"YAML file with the host's settings"`
}

// Execute runs the host.
func (s *serveCommand) Execute([]string) error {
	loaded, err := settings.Load(s.Settings)
	if err != nil {
		return trace.Wrap(err)
	}
	log := newLog(s.console.stderr, loaded.Log)
	hawthornway.SetKratosLog(log)
	host, err := hawthornway.New(loaded, hawthornway.WithLogger(log))
	if err != nil {
		return trace.Wrap(err)
	}
	addresses := host.Addresses()
	log.Info("host: serving", "host", loaded.Host, "domain", loaded.Domain,
		"callers", addresses.Callers, "operators", addresses.Operators, "peers", addresses.Peers)
	return trace.Wrap(host.Run(s.console.ctx))
}

// newLog returns a logger with the level and format of the settings.
func newLog(w io.Writer, s settings.Log) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Level)); err != nil {
		level = slog.LevelInfo // not reached: the settings are validated
	}
	options := &slog.HandlerOptions{Level: level}
	if s.Format == settings.LogJSON {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}
