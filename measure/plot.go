package measure

import (
	"fmt"
	"image/color"
	"path/filepath"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"hawthornway/loadgen"
	"hawthornway/standin/engine"
)

// Dimensions of the plots.
const (
	plotWidth   = 22 * vg.Centimeter
	plotHeight  = 11 * vg.Centimeter
	pointRadius = 2
)

var (
	red   = color.RGBA{R: 200, G: 40, B: 40, A: 255}
	blue  = color.RGBA{R: 40, G: 80, B: 200, A: 255}
	green = color.RGBA{R: 30, G: 140, B: 60, A: 255}
	grey  = color.RGBA{R: 130, G: 130, B: 130, A: 255}
)

// WritePlots writes one SVG file for each measure to a directory.
func (r Run) WritePlots(dir string) error {
	plots := []struct {
		name string
		make func() (*plot.Plot, error)
	}{
		{name: "cold-starts", make: r.plotColdStarts},
		{name: "idle", make: r.plotIdle},
		{name: "refusals", make: r.plotRefusals},
		{name: "platform", make: r.plotPlatform},
		{name: "shares", make: r.plotShares},
	}
	for _, spec := range plots {
		p, err := spec.make()
		if err != nil {
			return trace.Wrap(err)
		}
		path := filepath.Join(dir, fmt.Sprintf("%s-%s-%s.svg", r.Case, r.System, spec.name))
		if err := p.Save(plotWidth, plotHeight, path); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (r Run) newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s, %s: %s", r.Deployment, r.Case, r.System, title)
	p.X.Label.Text = "time of the run (s)"
	p.Y.Label.Text = y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// plotColdStarts plots each cold start by weight source, with its lower bound.
func (r Run) plotColdStarts() (*plot.Plot, error) {
	p := r.newPlot("cold starts", "time to the first token (ms)")
	points := make(map[string]plotter.XYs)
	for _, c := range r.coldRequests() {
		at := c.plannedAt.Sub(r.Start).Seconds()
		points[string(c.source)] = append(points[string(c.source)], plotter.XY{X: at, Y: float64(toMilliseconds(c.firstToken))})
		points["bound"] = append(points["bound"], plotter.XY{X: at, Y: float64(toMilliseconds(c.bound))})
	}
	colors := []struct {
		name  string
		color color.Color
	}{
		{name: "bound", color: grey},
		{name: string(engine.SourceRemote), color: red},
		{name: string(engine.SourceDisk), color: blue},
		{name: string(engine.SourceMemory), color: green},
	}
	for _, c := range colors {
		if err := addScatter(p, c.name, points[c.name], c.color); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func addScatter(p *plot.Plot, name string, points plotter.XYs, c color.Color) error {
	if len(points) == 0 {
		return nil
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	dots.GlyphStyle = draw.GlyphStyle{Color: c, Radius: pointRadius, Shape: draw.CircleGlyph{}}
	p.Add(dots)
	p.Legend.Add(name, dots)
	return nil
}

func addLine(p *plot.Plot, name string, points plotter.XYs, c color.Color) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = c
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// plotIdle plots the memory held and the memory held idle between samples.
func (r Run) plotIdle() (*plot.Plot, error) {
	p := r.newPlot("accelerator memory", "GiB")
	var held, idle plotter.XYs
	for i := 1; i < len(r.Samples); i++ {
		now, last := r.Samples[i], r.Samples[i-1]
		seconds := (now.At - last.At).Seconds()
		meanGiB := func(amount engine.MemoryTime) float64 { return float64(amount) / seconds / (1 << 30) }
		held = append(held, plotter.XY{X: now.At.Seconds(), Y: meanGiB(now.Held - last.Held)})
		idle = append(idle, plotter.XY{X: now.At.Seconds(), Y: meanGiB(now.Idle - last.Idle)})
	}
	if err := addLine(p, "held", held, blue); err != nil {
		return nil, err
	}
	return p, addLine(p, "held idle", idle, red)
}

// plotRefusals plots the number of refused and lost requests per second.
func (r Run) plotRefusals() (*plot.Plot, error) {
	p := r.newPlot("requests not served", "requests a second")
	seconds := int(r.Duration.Seconds()) + 1
	counts := map[loadgen.Outcome]plotter.XYs{}
	for _, outcome := range []loadgen.Outcome{loadgen.OutcomeNotRun, loadgen.OutcomeUnknown, loadgen.OutcomeNone} {
		counts[outcome] = make(plotter.XYs, seconds)
		for i := range seconds {
			counts[outcome][i].X = float64(i)
		}
	}
	for _, result := range r.measuredResults() {
		if points, counted := counts[result.Outcome]; counted {
			points[min(int(result.Arrival.At.Seconds()), seconds-1)].Y++
		}
	}
	if err := addLine(p, "refused, not run", counts[loadgen.OutcomeNotRun], blue); err != nil {
		return nil, err
	}
	if err := addLine(p, "outcome unknown", counts[loadgen.OutcomeUnknown], red); err != nil {
		return nil, err
	}
	return p, addLine(p, "no answer", counts[loadgen.OutcomeNone], grey)
}

// plotPlatform plots the rate of calls to the key-value service.
func (r Run) plotPlatform() (*plot.Plot, error) {
	p := r.newPlot("key-value service", "calls a second")
	var reads, writes plotter.XYs
	for i := 1; i < len(r.Samples); i++ {
		now, last := r.Samples[i], r.Samples[i-1]
		seconds := (now.At - last.At).Seconds()
		at := now.At.Seconds()
		reads = append(reads, plotter.XY{X: at, Y: float64(now.PlatformCalls.Reads()-last.PlatformCalls.Reads()) / seconds})
		writes = append(writes, plotter.XY{X: at, Y: float64(now.PlatformCalls.Writes()-last.PlatformCalls.Writes()) / seconds})
	}
	if err := addLine(p, "reads", reads, blue); err != nil {
		return nil, err
	}
	return p, addLine(p, "writes", writes, red)
}

// plotShares plots the part of its fair share that each team received.
func (r Run) plotShares() (*plot.Plot, error) {
	p := r.newPlot("served part of each team's fair share", "share")
	p.X.Label.Text = ""
	shares := r.shares()
	values := make(plotter.Values, len(shares))
	names := make([]string, len(shares))
	for i, s := range shares {
		values[i], names[i] = s.Share, string(s.Team)
	}
	bars, err := plotter.NewBarChart(values, vg.Centimeter)
	if err != nil {
		return nil, err
	}
	bars.Color = blue
	p.Add(bars)
	p.NominalX(names...)
	p.Y.Min, p.Y.Max = 0, 1
	return p, nil
}
