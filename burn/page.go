package burn

import (
	_ "embed" // the page's template
	"fmt"
	"html/template"
	"io"
	"math"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"short": short, "rate": rateText, "target": targetOf, "used": usedBy, "all": orAll,
	"bars": bars,
}).Parse(pageText))

// WriteHTML writes the report as one page that needs no other file.
func (r Report) WriteHTML(w io.Writer) error { return page.Execute(w, r) }

// bar is one window's bar of an objective's picture.
type bar struct {
	X, Y, Width, Height float64
	Label, Value        string
	Class               string
}

// The picture's measures in pixels. A bar's height grows with the logarithm of
// its rate, from a tenth to a hundred.
const (
	barWidth    = 46
	barGap      = 14
	barsHeight  = 90
	lowestRate  = 0.1
	highestRate = 100
)

func bars(o ObjectiveBurn) []bar {
	all := make([]bar, 0, len(o.Windows))
	for i, w := range o.Windows {
		height := barsHeight * scaled(w.Rate)
		all = append(all, bar{
			X:      float64(i * (barWidth + barGap)),
			Y:      barsHeight - height,
			Width:  barWidth,
			Height: height,
			Label:  short(w.Window),
			Value:  fmt.Sprintf("%.2g", w.Rate),
			Class:  classOf(w.Rate),
		})
	}
	return all
}

// scaled maps a rate to a part of the height.
func scaled(rate float64) float64 {
	if rate <= lowestRate {
		return 0
	}
	part := math.Log(rate/lowestRate) / math.Log(highestRate/lowestRate)
	return min(part, 1)
}

func classOf(rate float64) string {
	switch {
	case rate >= pageRate:
		return "page"
	case rate >= ticketRate:
		return "ticket"
	case rate > 1:
		return "over"
	default:
		return "fine"
	}
}
