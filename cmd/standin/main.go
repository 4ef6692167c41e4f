// Command standin runs stand-ins for the outside systems: the key-value
// service, the host list, the weight store, model engines and plain services.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/standin"
	"hawthornway/target"
)

func main() {
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	addCommands(parser)
	_, err := parser.Parse()
	var flagsErr *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(err)
	default:
		fmt.Fprintln(os.Stderr, "standin:", trace.UserMessage(err))
		os.Exit(1)
	}
}

func addCommands(parser *flags.Parser) {
	commands := []struct {
		name, text string
		command    flags.Commander
	}{
		{name: "kv", text: "Run the key-value service", command: &kvCommand{}},
		{name: "hosts", text: "Run the host list", command: &hostsCommand{}},
		{name: "weights", text: "Run the weight store", command: &weightsCommand{}},
		{name: "engine", text: "Run a model engine", command: &engineCommand{}},
		{name: "service", text: "Run a plain service", command: &serviceCommand{}},
		{name: "all", text: "Run the stand-ins of a YAML file", command: &allCommand{}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.text, c.text+".", c.command); err != nil {
			// The options are fixed, so this can't happen at run time alone.
			panic(err)
		}
	}
}

// common are the options of the commands that run one stand-in.
type common struct {
	Address  string `long:"address" required:"yes" description:"IP number and port to listen on"`
	Settings string `long:"settings" description:"YAML file with the figures"`
}

// load returns the figures of the file, with no stand-ins.
func (c common) load() (standin.Settings, error) {
	settings := standin.DefaultSettings()
	if c.Settings == "" {
		return settings, nil
	}
	settings, err := standin.LoadSettings(c.Settings)
	settings.KeyValue.Address = ""
	settings.Hosts.Address = ""
	settings.Weights.Address = ""
	settings.Engines = nil
	settings.Services = nil
	return settings, err
}

type kvCommand struct{ common }

// Execute runs the key-value service.
func (c *kvCommand) Execute([]string) error {
	settings, err := c.load()
	settings.KeyValue.Address = c.Address
	return serve(settings, err)
}

type hostsCommand struct{ common }

// Execute runs the host list.
func (c *hostsCommand) Execute([]string) error {
	settings, err := c.load()
	settings.Hosts.Address = c.Address
	return serve(settings, err)
}

type weightsCommand struct{ common }

// Execute runs the weight store.
func (c *weightsCommand) Execute([]string) error {
	settings, err := c.load()
	settings.Weights.Address = c.Address
	return serve(settings, err)
}

type engineCommand struct {
	common
	Name         target.ID      `long:"name" default:"engine" description:"the target's name"`
	Domain       fleet.DomainID `long:"domain" description:"the target's failure domain"`
	Memory       model.Bytes    `long:"memory" description:"accelerator memory in bytes"`
	IgnoresFence bool           `long:"ignores-fence" description:"take orders with any fence"`
	WeightStore  string         `long:"weight-store" description:"IP number and port of the weight store; without it the engine has one of its own"`
}

// Execute runs one engine.
func (c *engineCommand) Execute([]string) error {
	settings, err := c.load()
	settings.WeightStoreAddress = c.WeightStore
	settings.Engines = []standin.EngineSettings{{
		Name:         c.Name,
		Domain:       c.Domain,
		Address:      c.Address,
		Memory:       c.Memory,
		IgnoresFence: c.IgnoresFence,
	}}
	return serve(settings, err)
}

type serviceCommand struct {
	common
	Name target.ID `long:"name" default:"service" description:"the target's name"`
}

// Execute runs one plain service.
func (c *serviceCommand) Execute([]string) error {
	settings, err := c.load()
	settings.Services = []standin.ServiceSettings{{Name: c.Name, Address: c.Address}}
	return serve(settings, err)
}

type allCommand struct {
	Settings string `long:"settings" required:"yes" description:"YAML file with the stand-ins"`
}

// Execute runs the stand-ins of the file.
func (c *allCommand) Execute([]string) error {
	settings, err := standin.LoadSettings(c.Settings)
	return serve(settings, err)
}

// serve runs the stand-ins until SIGINT or SIGTERM.
func serve(settings standin.Settings, err error) error {
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	running, err := standin.Start(ctx, settings)
	if err != nil {
		return err
	}
	report(running)
	<-ctx.Done()
	running.Close()
	return nil
}

func report(running *standin.Set) {
	for _, one := range running.Addresses() {
		slog.Info("standin: serving", "name", one.Name, "address", one.Address)
	}
}
