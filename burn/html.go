package burn

import (
	"fmt"
	"html/template"
	"io"
	"time"

	"github.com/gravitational/trace"
)

// Dimensions of the charts, in pixels.
const (
	chartWidth  = 720
	chartHeight = 120
	barWidth    = chartWidth / pointCount
	// chartMaxRate is the burn rate at the top edge of a chart.
	chartMaxRate = 20
)

var causeColors = map[Cause]string{
	CauseColdStart:     "#2f6f9f",
	CauseLimit:         "#c58b00",
	CauseTargetFailure: "#b3352b",
	CauseCutOff:        "#6a4c93",
	CauseSlow:          "#4f7f4f",
	CauseHost:          "#777777",
}

// bar is the segment of one cause in the stacked bar of one point.
type bar struct {
	X, Y, Width, Height float64
	Color, Title        string
}

type gridLine struct {
	Y     float64
	Label string
}

type legendEntry struct {
	Cause Cause
	Color string
}

type chart struct {
	Objective
	Bars      []bar
	GridLines []gridLine
}

type page struct {
	Report
	Charts []chart
	Legend []legendEntry
	Width  int
	Height int
}

// WriteHTML writes the report as a self-contained HTML page.
func WriteHTML(w io.Writer, r Report) error {
	p := page{Report: r, Width: chartWidth, Height: chartHeight}
	for _, cause := range Causes {
		p.Legend = append(p.Legend, legendEntry{cause, causeColors[cause]})
	}
	for _, o := range r.Objectives {
		p.Charts = append(p.Charts, newChart(o))
	}
	return trace.Wrap(pageTemplate.Execute(w, p))
}

func newChart(o Objective) chart {
	c := chart{Objective: o}
	for _, rate := range []float64{1, 6, 14.4} {
		c.GridLines = append(c.GridLines, gridLine{barTop(rate), fmt.Sprint(rate)})
	}
	for i, counts := range o.Points {
		c.Bars = append(c.Bars, newBars(o, i, counts)...)
	}
	return c
}

// newBars returns the segments of one point's stacked bar, one for each cause that
// has misses.
func newBars(o Objective, index int, counts Counts) []bar {
	var bars []bar
	var below float64
	for _, cause := range Causes {
		n := counts.Missed[cause]
		if n == 0 {
			continue
		}
		rate := o.Rate(Counts{Total: counts.Total, Missed: map[Cause]int64{cause: n}})
		bottom := barTop(below)
		below += rate
		top := barTop(below)
		bars = append(bars, bar{
			X: float64(index * barWidth), Y: top, Width: barWidth - 1, Height: bottom - top,
			Color: causeColors[cause], Title: fmt.Sprintf("%s: %d of %d requests", cause, n, counts.Total),
		})
	}
	return bars
}

// barTop returns the y coordinate of a burn rate, clamped to the chart.
func barTop(rate float64) float64 {
	return chartHeight * (1 - min(rate, chartMaxRate)/chartMaxRate)
}

var pageTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"window":  windowName,
	"all":     func(name any) string { return orAll(fmt.Sprint(name)) },
	"percent": func(part float64) string { return fmt.Sprintf("%.1f%%", 100*part) },
	"rate":    func(rate float64) string { return fmt.Sprintf("%.2f", rate) },
	"burnt":   causeShares,
	"time":    func(t time.Time) string { return t.Format(time.RFC3339) },
}).Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn</title>
<style>
body { font: 15px/1.4 system-ui, sans-serif; margin: 2em auto; max-width: 60em; padding: 0 1em; color: #222; background: #fff; }
table { border-collapse: collapse; margin: 0.5em 0; }
th, td { padding: 0.2em 0.8em; text-align: right; border-bottom: 1px solid #ddd; }
.page { color: #b3352b; font-weight: bold; }
.ticket { color: #8a6100; font-weight: bold; }
.key { display: inline-block; width: 0.8em; height: 0.8em; margin: 0 0.3em 0 1em; }
svg { background: #f6f6f6; max-width: 100%; height: auto; }
</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>At {{time .At}}. {{len .Hosts}} hosts answered.{{if .Missing}} <strong>Without an answer: {{range .Missing}}{{.}} {{end}}</strong>{{end}}</p>
<p>Burn rate of the last six hours by cause; at rate 1 the budget lasts exactly for its window:{{range .Legend}}<span class="key" style="background:{{.Color}}"></span>{{.Cause}}{{end}}</p>
{{range .Charts}}
<h2>{{.Name}}</h2>
<p>Team {{all .Team}}, model {{all .Model}}, {{percent .Share}} of requests over {{window .Window}}. Alert: <span class="{{.Severity}}">{{.Severity}}</span>. Budget used: {{percent .BudgetUsed}}. Burnt by: {{burnt .Objective}}.</p>
<table><tr><th>window</th>{{range .Windows}}<th>{{window .Length}}</th>{{end}}</tr>
<tr><th>burn rate</th>{{$o := .Objective}}{{range .Windows}}<td>{{rate ($o.Rate .Counts)}}</td>{{end}}</tr>
<tr><th>missed</th>{{range .Windows}}<td>{{.Bad}} of {{.Total}}</td>{{end}}</tr></table>
<svg viewBox="0 0 {{$.Width}} {{$.Height}}" width="{{$.Width}}" height="{{$.Height}}" role="img" aria-label="Burn rate of {{.Name}} over the last six hours">
{{range .GridLines}}<line x1="0" x2="{{$.Width}}" y1="{{.Y}}" y2="{{.Y}}" stroke="#999" stroke-dasharray="3 3"/><text x="2" y="{{.Y}}" dy="-2" font-size="10" fill="#555">{{.Label}}</text>
{{end}}{{range .Bars}}<rect x="{{.X}}" y="{{.Y}}" width="{{.Width}}" height="{{.Height}}" fill="{{.Color}}"><title>{{.Title}}</title></rect>
{{end}}</svg>
{{end}}
</body>
</html>
`))
