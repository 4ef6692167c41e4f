// Command soak runs hosts as real processes under faults that a seed draws, and
// says which promises were broken.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/jessevdk/go-flags"

	"hawthornway/soak"
)

type options struct {
	Binary  string        `long:"binary" required:"true" value-name:"FILE" description:"program that hosts run"`
	Seed    uint64        `long:"seed" description:"first seed; zero draws one from the time"`
	Runs    int           `long:"runs" default:"1" description:"number of seeds, one after another"`
	Hosts   int           `long:"hosts" default:"4" description:"number of host processes"`
	Length  time.Duration `long:"length" default:"20s" description:"time for which faults come"`
	Planned bool          `long:"planned" description:"only planned stops, reloads and configurations"`
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

// run runs all seeds and reports whether every promise was kept.
func run(ctx context.Context, o options) bool {
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().UnixNano())
	}
	kept := true
	for i := range o.Runs {
		folder, err := soak.TempDir()
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			return false
		}
		seed := o.Seed + uint64(i)
		report, err := soak.Run(ctx, soak.Options{
			Binary: o.Binary, Folder: folder, Seed: seed, Hosts: o.Hosts, Duration: o.Length, PlannedOnly: o.Planned,
		})
		if err != nil || len(report.Violations) > 0 {
			kept = false
			fmt.Printf("seed %d: broken; logs in %s\n%v\n%v\n", seed, folder, err, report)
			continue
		}
		fmt.Printf("seed %d: %d requests, %d served, %d faults, recovered in %v\n",
			seed, report.Requests, report.Served, len(report.Faults), report.RecoveryTime.Round(time.Millisecond))
		if err := os.RemoveAll(folder); err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
		}
	}
	return kept
}
