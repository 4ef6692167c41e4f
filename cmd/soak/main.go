// Command soak runs hosts as processes under faults drawn from a seed, and reports
// violated invariants.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"hawthornway/soak"
)

type options struct {
	Binary  string        `long:"binary" required:"true" value-name:"FILE" description:"binary that the hosts run"`
	Seed    uint64        `long:"seed" description:"first seed; derived from the current time if zero"`
	Runs    int           `long:"runs" default:"1" description:"number of seeds, one after another"`
	Shape   string        `long:"shape" default:"small" description:"deployment that is played: small, desk, shop, slow or crowd"`
	Hosts   int           `long:"hosts" description:"number of host processes; that of the shape if zero"`
	Length  time.Duration `long:"length" default:"20s" description:"duration of the fault injection"`
	Faults  []string      `long:"fault" value-name:"NAME" description:"fault that is injected, may be given several times; all if there is none"`
	Planned bool          `long:"planned" description:"inject only planned events: stops, reloads and configuration changes"`
	Keep    bool          `long:"keep" description:"keep the logs of runs that held, too"`
	Overlap bool          `long:"overlap" description:"let planned events overlap"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if !run(ctx, o) {
		stop()
		os.Exit(1)
	}
}

// run runs all seeds and reports whether each run succeeded without a violated
// invariant.
func run(ctx context.Context, o options) bool {
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().UnixNano())
	}
	shape, err := soak.ShapeNamed(o.Shape)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return false
	}
	passed := true
	for i := range o.Runs {
		folder, err := soak.TempDir()
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			return false
		}
		seed := o.Seed + uint64(i)
		report, err := soak.Run(ctx, soak.Options{
			Binary: o.Binary, Folder: folder, Seed: seed, Shape: shape, Hosts: o.Hosts, Duration: o.Length, PlannedOnly: o.Planned, Overlap: o.Overlap, Faults: o.Faults,
		})
		if err != nil || len(report.Violations) > 0 {
			passed = false
			fmt.Printf("seed %d: failed; logs in %s\n%v\n%v\n", seed, folder, err, report)
			continue
		}
		fmt.Printf("seed %d: %d requests, %d served, %d faults, recovered in %v; %v\n",
			seed, report.Requests, report.Served, len(report.Faults), report.RecoveryTime.Round(time.Millisecond), report.Figures)
		if o.Keep {
			fmt.Printf("logs in %s\n%s\n", folder, strings.Join(report.Faults, "\n"))
			continue
		}
		if err := os.RemoveAll(folder); err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
		}
	}
	return passed
}
