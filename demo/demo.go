// Package demo runs a small complete system in one process: stand-ins for the
// platform, an engine and a service, and one host.
package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"hawthornway"
	"hawthornway/settings"
	"hawthornway/standin"
)

const (
	modelName = "brief-small"
	teamName  = "demo-team"
	prompt    = "Draft a handover brief for a child of nine who flies alone."
	// readyTimeout limits the time until the host is ready.
	readyTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// Demo is a small complete system.
type Demo struct {
	out      io.Writer
	log      *slog.Logger
	standins *standin.Set
	host     hawthornway.Host
	secrets  settings.Secrets
	key      string
}

// New returns a Demo that prints its steps to out.
func New(out io.Writer, log *slog.Logger) *Demo {
	return &Demo{
		out: out,
		log: log,
		secrets: settings.Secrets{
			Cluster:       "the demo's cluster secret",
			OperatorToken: "the-demo-operator-token",
		},
	}
}

// Run starts the system and streams the answer of a model that must be loaded
// first. If once is set, it then sends a second request to the loaded model and
// returns; otherwise it serves until the context ends.
func (d *Demo) Run(ctx context.Context, once bool) error {
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	if err := d.start(runCtx); err != nil {
		return trace.Wrap(err)
	}
	defer d.standins.Close()
	done := make(chan error, 1)
	go func() { done <- d.host.Run(runCtx) }()
	err := d.runSteps(runCtx, once)
	if err == nil && !once {
		<-ctx.Done()
	}
	stop()
	return trace.NewAggregate(err, <-done)
}

// start starts the stand-ins and creates the host.
func (d *Demo) start(ctx context.Context) error {
	s := standin.DefaultSettings()
	s.KeyValue.Address = anyPort
	s.Weights.Address = anyPort
	s.Hosts.Address = anyPort
	s.Engines = []standin.EngineSettings{{Name: "engine-1", Domain: "demo-1", Address: anyPort}}
	s.Services = []standin.ServiceSettings{{Name: "service-1", Domain: "demo-1", Address: anyPort}}
	standins, err := standin.Start(ctx, s)
	if err != nil {
		return trace.Wrap(err)
	}
	d.standins = standins
	d.printStep("stand-ins are running: key-value service, host list, weight store, one engine, one service")
	d.host, err = hawthornway.New(d.hostSettings(), hawthornway.WithLogger(d.log))
	if err != nil {
		standins.Close()
	}
	return trace.Wrap(err)
}

const anyPort = "127.0.0.1:0"

func (d *Demo) hostSettings() settings.Settings {
	s := settings.Default()
	s.Host = "host-1"
	s.Domain = "demo-1"
	s.Listen = settings.Listen{Callers: anyPort, Operators: anyPort, Peers: anyPort}
	s.Platform = settings.Platform{
		KeyValue:    "http://" + d.standins.KeyValueAddress,
		HostList:    "http://" + d.standins.HostsAddress,
		WeightStore: "http://" + d.standins.WeightsAddress,
	}
	s.Secrets = d.secrets
	s.Drain = settings.Drain{Timeout: 5 * time.Second}
	return s
}

// runSteps runs the operator's steps and then the caller's steps.
func (d *Demo) runSteps(ctx context.Context, once bool) error {
	if err := d.configure(ctx); err != nil {
		return trace.Wrap(err)
	}
	if err := d.awaitReady(ctx); err != nil {
		return trace.Wrap(err)
	}
	d.printStep("the model is not loaded: the first request waits for the load")
	cold, err := d.streamChat(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintf(d.out, "cold: first token after %v\n", cold.Round(time.Millisecond))
	if once {
		warm, err := d.streamChat(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		fmt.Fprintf(d.out, "warm: first token after %v\n", warm.Round(time.Millisecond))
		return nil
	}
	d.printUsage()
	return nil
}

// configure applies the configuration and grants a key through the operators'
// API.
func (d *Demo) configure(ctx context.Context) error {
	files, err := configFiles(map[string]string{
		"ENGINE":  d.standins.Engines["engine-1"].Address,
		"SERVICE": d.standins.Services["service-1"].Address,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	operator := newOperator(d.host.Addresses().Operators, d.secrets.OperatorToken)
	if err := operator.apply(ctx, files); err != nil {
		return trace.Wrap(err)
	}
	d.printStep("configuration applied: %d files", len(files))
	d.key, err = operator.grant(ctx, teamName)
	if err != nil {
		return trace.Wrap(err)
	}
	d.printStep("key granted to team %q: %s", teamName, d.key)
	return nil
}

func (d *Demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		if d.isReady(ctx) {
			d.printStep("the host is ready")
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.LimitExceeded("host was not ready within %v", readyTimeout)
		case <-time.After(readyPollInterval):
		}
	}
}

func (d *Demo) isReady(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, d.url("/readyz"), nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (d *Demo) url(path string) string { return "http://" + d.host.Addresses().Callers + path }

func (d *Demo) printStep(format string, args ...any) {
	fmt.Fprintf(d.out, "- "+format+"\n", args...)
}

// printUsage prints a command that sends further requests.
func (d *Demo) printUsage() {
	fmt.Fprintf(d.out, "\nSend a request (interrupt the demo to stop it):\n\n")
	fmt.Fprintf(d.out, "curl -N %s -H 'Authorization: Bearer %s' -d '%s'\n", d.url("/v1/chat/completions"), d.key, chatRequest())
}
