package bench

import (
	"fmt"
	"io"
	"time"
)

// printTable prints the rows, two for each scenario, as Markdown.
func printTable(w io.Writer, shape Shape, rows []*Row) {
	fmt.Fprintf(w, "\n### %s: %d daemons, time limit %d ms\n\n", shape.Name, shape.Daemons, shape.TimeLimitMS)
	for _, s := range shape.Services {
		fmt.Fprintf(w, "- %s: %d targets with %d leaves of %d slots, %d connections, %g ms for each new one; %d shards with %d replicas\n",
			s.Name, s.Targets, s.Leaves, s.Slots, s.Connections, s.ConnectCostMS, s.Shards, s.Replicas)
	}
	fmt.Fprint(w, "\n| scenario | policy | sent | p50 ms | p99 ms | p99.9 ms | p99 to plain | whole % | mean coverage | leaf calls to minimum | refused % | whole in time/s | connections opened | most at a target | over limit | daemon µs/leaf call |\n")
	fmt.Fprint(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for i, row := range rows {
		ratio := ""
		if row.Policy == adaptive && i+1 < len(rows) {
			base := rows[i+1].Sample.Latency.ValueAtQuantile(99)
			ratio = fmt.Sprintf("%.2f", float64(row.Sample.Latency.ValueAtQuantile(99))/float64(max(base, 1)))
		}
		row.print(w, ratio)
	}
	printNotes(w, rows)
}

func (r *Row) print(w io.Writer, ratio string) {
	s := r.Sample
	ms := func(q float64) float64 {
		return float64(s.Latency.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	}
	answered := max(s.Sent-s.Refused-s.Dropped, 1)
	const percent = 100
	fmt.Fprintf(w, "| %s | %s | %d | %.1f | %.1f | %.1f | %s | %.2f | %.4f | %.3f | %.2f | %.0f | %d | %d | %d | %.0f |\n",
		r.Scenario, r.Policy, s.Sent, ms(50), ms(99), ms(99.9), ratio,
		percent*float64(s.Whole)/float64(max(s.Sent, 1)), s.Coverage/float64(answered),
		float64(r.usage.searches)/float64(max(s.Needed, 1)), percent*float64(s.Refused)/float64(max(s.Sent, 1)),
		float64(s.Served)/s.Seconds, r.usage.connections, r.usage.peak, r.usage.overLimit,
		float64(r.usage.daemonCPU.Microseconds())/float64(max(r.usage.searches, 1)))
}

// printNotes tells what the table has no column for.
func printNotes(w io.Writer, rows []*Row) {
	fmt.Fprintln(w, "\nPercentiles are of requests not refused; whole and refused are of all sent. Result codes:")
	fmt.Fprintln(w)
	for _, r := range rows {
		fmt.Fprintf(w, "- %s, %s: %v; wrong %d, no answer %d, not sent %d\n",
			r.Scenario, r.Policy, r.Sample.Codes, r.Sample.Wrong, r.Sample.Failed, r.Sample.Dropped)
	}
}
