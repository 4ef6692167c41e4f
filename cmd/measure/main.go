// Command measure runs a deployment's hosts before stand-ins under seeded,
// open-loop traffic and prints the users' four measures.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"hawthornway/cluster"
	"hawthornway/experiment"
	"hawthornway/measure"
	"hawthornway/workload"
)

// options are the command line's.
type options struct {
	Deployment string              `long:"deployment" required:"yes" description:"folder with standins.yaml, config and hosts"`
	Cases      []experiment.Case   `long:"case" description:"case to run (repeatable): steady, host-killed, domain-cut, platform-outage, slow-weights; all if none is given"`
	Systems    []experiment.System `long:"system" description:"system to run (repeatable): hawthornway, baseline; both if none is given"`
	Duration   time.Duration       `long:"duration" default:"60s" description:"length of each run"`
	WarmUp     time.Duration       `long:"warm-up" default:"15s" description:"traffic before each run that isn't measured"`
	Seed       uint64              `long:"seed" default:"1" description:"seed of the traffic"`
	Load       float64             `long:"load" default:"0.6" description:"part of its rate that each team offers"`
	Excess     float64             `long:"excess" default:"4" description:"multiple of its rate that the team with the lowest rate offers"`
	Deadline   time.Duration       `long:"deadline" default:"10s" description:"how long callers wait for a first token"`
	Pairs      int                 `long:"pairs" default:"40" description:"pairs of requests that compare a host with its engine; 0 for none"`
	Binary     string              `long:"binary" description:"hawthornway program; built from this module if not given"`
	Out        string              `long:"out" default:"out/measure" description:"folder for JSON, plots and the hosts' logs"`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, os.Args[1:])
	stop()
	var usage *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
	default:
		fmt.Fprintln(os.Stderr, "measure:", trace.UserMessage(err))
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	var o options
	parser := flags.NewNamedParser("measure", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		return trace.Wrap(err)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return err
	}
	if err := o.complete(); err != nil {
		return trace.Wrap(err)
	}
	d, err := cluster.Load(o.Deployment)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := o.build(ctx); err != nil {
		return trace.Wrap(err)
	}
	for _, c := range o.Cases {
		if err := o.runCase(ctx, d, c); err != nil {
			return trace.Wrap(err, "case %s", c)
		}
	}
	return nil
}

// complete fills in what was left out, and checks the rest.
func (o *options) complete() error {
	if len(o.Cases) == 0 {
		o.Cases = experiment.Cases()
	}
	for _, c := range o.Cases {
		if !slices.Contains(experiment.Cases(), c) {
			return trace.BadParameter("case %q does not exist", c)
		}
	}
	if len(o.Systems) == 0 {
		o.Systems = []experiment.System{experiment.SystemHawthornway, experiment.SystemBaseline}
	}
	return os.MkdirAll(o.Out, 0o755)
}

// build builds the hawthornway program unless one was given.
func (o *options) build(ctx context.Context) error {
	if o.Binary != "" || !slices.Contains(o.Systems, experiment.SystemHawthornway) {
		return nil
	}
	o.Binary = filepath.Join(o.Out, "hawthornway")
	command := exec.CommandContext(ctx, "go", "build", "-o", o.Binary, "hawthornway/cmd/hawthornway")
	command.Stdout, command.Stderr = os.Stderr, os.Stderr
	return trace.Wrap(command.Run())
}

// runCase runs one case on each system and prints the reports beside each
// other.
func (o *options) runCase(ctx context.Context, d cluster.Deployment, c experiment.Case) error {
	var reports []measure.Report
	for _, system := range o.Systems {
		fmt.Fprintf(os.Stderr, "%s: %s, %s, seed %d, %s\n", d.Name, c, system, o.Seed, o.Duration)
		left, err := experiment.Run(ctx, o.settings(d, c, system))
		if trace.IsNotImplemented(err) {
			fmt.Fprintf(os.Stderr, "  not run: %s\n", trace.UserMessage(err))
			continue
		}
		if err != nil {
			return trace.Wrap(err, "%s", system)
		}
		report := measure.NewReport(left)
		reports = append(reports, report)
		if err := o.save(left, report); err != nil {
			return trace.Wrap(err)
		}
	}
	if len(reports) == 0 {
		return nil
	}
	fmt.Printf("\n%s, %s, seed %d, %s\n", d.Name, c, o.Seed, o.Duration)
	return measure.WriteTable(os.Stdout, reports)
}

func (o *options) settings(d cluster.Deployment, c experiment.Case, system experiment.System) experiment.Settings {
	traffic := workload.DefaultSettings()
	traffic.Seed = o.Seed
	traffic.Duration = o.Duration
	traffic.Load = o.Load
	traffic.Excess = o.Excess
	pairs := 0
	if c == experiment.CaseSteady {
		pairs = o.Pairs
	}
	return experiment.Settings{
		Deployment: d,
		Case:       c,
		System:     system,
		Workload:   traffic,
		WarmUp:     o.WarmUp,
		Deadline:   o.Deadline,
		Binary:     o.Binary,
		LogDir:     o.Out,
		ProbePairs: pairs,
		Progress:   showProgress,
	}
}

// progressInterval is the time between two lines of progress.
const progressInterval = 5 * time.Second

func showProgress(at time.Duration, ended, planned int) {
	if at.Round(time.Second)%progressInterval == 0 {
		fmt.Fprintf(os.Stderr, "  %3.0f s: %d of %d requests ended\n", at.Seconds(), ended, planned)
	}
}

// save writes the report and the plots of one run.
func (o *options) save(left measure.Run, report measure.Report) error {
	base := fmt.Sprintf("%s-%s", report.Case, report.System)
	if err := o.saveJSON(base+".json", report); err != nil {
		return trace.Wrap(err)
	}
	if err := o.saveJSON(base+"-engines.json", left.Engines); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(left.WritePlots(o.Out))
}

func (o *options) saveJSON(name string, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(o.Out, name), append(text, '\n'), 0o644)
}
