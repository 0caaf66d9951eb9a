package experiment

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/model"
)

// column is one figure of the table.
type column struct {
	name   string
	format string // of one number
	figure func(model.Result) float64
}

// perRequest returns the figure that is a count divided by the number of requests.
func perRequest(count func(model.Result) int) func(model.Result) float64 {
	return func(r model.Result) float64 { return share(count(r), r.Asked) }
}

// columns are the figures of the table, in order.
var columns = []column{
	{"requests", "%.0f", func(r model.Result) float64 { return float64(r.Asked) }},
	{"in time", "%.4f", InTimeShare},
	{"late", "%.4f", perRequest(func(r model.Result) int { return r.Late })},
	{"refused", "%.4f", perRequest(func(r model.Result) int { return r.Refused })},
	{"failed", "%.4f", perRequest(func(r model.Result) int { return r.Failed })},
	{"credit", "%.4f", Credit},
	{"attempts", "%.1f", perRequest(func(r model.Result) int { return r.Attempts })},
	{"extra", "%.2f", perRequest(func(r model.Result) int { return r.Extra })},
	{"direct", "%.2f", perRequest(func(r model.Result) int { return r.Direct })},
	{"calls", "%.2f", perRequest(func(r model.Result) int { return r.Calls })},
	{"declined", "%.2f", perRequest(func(r model.Result) int { return r.Declined })},
}

// WriteTable writes the report as a table: for each variant the mean over its seeds, and the least and
// greatest value where they differ. Counts besides that of requests are per request.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	header := []string{"variant"}
	for _, c := range columns {
		header = append(header, c.name)
	}
	fmt.Fprintln(t, strings.Join(header, "\t"))
	for i := range r.Variants {
		cells := []string{r.Variants[i].Name}
		for _, c := range columns {
			cells = append(cells, c.cell(r.Variants[i].Spread(c.figure)))
		}
		fmt.Fprintln(t, strings.Join(cells, "\t"))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, text := range r.Unmet {
		if _, err := fmt.Fprintln(w, "not as expected:", text); err != nil {
			return err
		}
	}
	return nil
}

// cell returns the text of a figure.
func (c *column) cell(s Spread) string {
	mean, low, high := fmt.Sprintf(c.format, s.Mean), fmt.Sprintf(c.format, s.Min), fmt.Sprintf(c.format, s.Max)
	if low == high {
		return mean
	}
	return fmt.Sprintf("%s (%s to %s)", mean, low, high)
}
