package burn

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// WriteText writes the report as a table.
func WriteText(w io.Writer, r Report) error {
	fmt.Fprintf(w, "burn at %s, %d hosts answered", r.At.Format(time.RFC3339), len(r.Hosts))
	if len(r.Missing) > 0 {
		fmt.Fprintf(w, ", without an answer: %v", r.Missing)
	}
	fmt.Fprintln(w)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "OBJECTIVE\tTEAM\tMODEL\tSHARE\tALERT\tBUDGET USED")
	for _, length := range Windows {
		fmt.Fprintf(table, "\t%s", windowName(length))
	}
	fmt.Fprintln(table, "\tBURNT BY")
	for _, o := range r.Objectives {
		fmt.Fprintf(table, "%s\t%s\t%s\t%g\t%s\t%.1f%%", o.Name, orAll(o.Team), orAll(o.Model), o.Share, o.Severity(), 100*o.BudgetUsed())
		for _, length := range Windows {
			fmt.Fprintf(table, "\t%.2f", o.RateOver(length))
		}
		fmt.Fprintf(table, "\t%s\n", causeShares(o))
	}
	return trace.Wrap(table.Flush())
}

// windowName formats a window's length in days, hours or minutes.
func windowName(length time.Duration) string {
	const day = 24 * time.Hour
	switch {
	case length%day == 0:
		return fmt.Sprintf("%dd", length/day)
	case length%time.Hour == 0:
		return fmt.Sprintf("%dh", length/time.Hour)
	default:
		return fmt.Sprintf("%dm", length/time.Minute)
	}
}

func orAll[S ~string](name S) string {
	if name == "" {
		return "all"
	}
	return string(name)
}

// causeShares lists the causes in the longest window with their shares of the
// missed requests.
func causeShares(o Objective) string {
	counts := o.longest()
	missed := counts.Bad()
	if missed == 0 {
		return "-"
	}
	var shares []string
	for _, cause := range Causes {
		if n := counts.Missed[cause]; n > 0 {
			shares = append(shares, fmt.Sprintf("%s %.0f%%", cause, 100*float64(n)/float64(missed)))
		}
	}
	return strings.Join(shares, ", ")
}

func (o Objective) longest() Counts {
	if len(o.Windows) == 0 {
		return Counts{}
	}
	return o.Windows[len(o.Windows)-1].Counts
}
