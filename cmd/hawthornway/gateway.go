package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/gravitational/trace"

	"hawthornway"
	"hawthornway/gateway"
	"hawthornway/logqueue"
	"hawthornway/platform"
	"hawthornway/settings"
)

func init() {
	register("gateway", "Run a host on the users' platform",
		"Runs a host on the users' platform until it is told to stop, then stops gracefully. The settings file is the one that "+
			platform.SettingsVariable+" names.",
		func(c *console) any { return &gatewayCommand{console: c} })
}

// heapPercent is the part of a host's memory, in percent, near which garbage is
// collected more often. The rest is for the program itself and for the kernel's
// buffers that are charged to it.
const heapPercent = 75

type gatewayCommand struct {
	console  *console
	Settings string `long:"settings" short:"s" value-name:"FILE" description:"the platform's settings file"`
	Log      string `long:"log" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"the least level that is logged"`
}

// Execute runs the host.
func (g *gatewayCommand) Execute([]string) error {
	path := g.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		return trace.BadParameter("no settings file: set %s or --settings", platform.SettingsVariable)
	}
	loaded, err := platform.LoadSettings(path)
	if err != nil {
		return trace.Wrap(err)
	}
	if loaded.MemoryLimit > 0 {
		debug.SetMemoryLimit(loaded.MemoryLimit / 100 * heapPercent)
	}
	lines := logqueue.NewWriter(g.console.stdout)
	defer lines.Close()
	log := newLog(lines, settings.Log{Level: g.Log, Format: settings.LogJSON})
	hawthornway.SetKratosLog(log)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	load := func() (platform.Settings, error) { return platform.LoadSettings(path) }
	host, err := gateway.New(loaded, gateway.WithLogger(log), gateway.WithReload(hangups, load))
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(host.Run(g.console.ctx))
}
