package bench

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// printTable prints the results of a shape as Markdown. The slice results has two entries
// for each scenario: that of the adaptive policy, then that of the plain one.
func printTable(w io.Writer, shape Shape, results []*Result) {
	fmt.Fprintf(w, "\n### %s: %d daemons, time limit %d ms\n\n", shape.Name, shape.Daemons, shape.TimeLimitMS)
	for _, s := range shape.Services {
		fmt.Fprintf(w, "- %s: %d targets with %d leaves of %d slots, %d connections, %g ms for each new connection; %d shards with %d replicas\n",
			s.Name, s.Targets, s.Leaves, s.Slots, s.Connections, s.ConnectCostMS, s.Shards, s.Replicas)
	}
	fmt.Fprint(w, "\n| service | scenario | policy | sent | p50 ms | p99 ms | p99.9 ms | median p99 of windows | ratio of median p99 to plain | complete % | mean coverage | leaf calls to minimum | refused % | complete in time/s | connections opened | peak connections, % of limit | connections refused |\n")
	fmt.Fprint(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for i := range shape.Services {
		for k := 0; k+1 < len(results); k += 2 {
			adaptive, plain := results[k], results[k+1]
			adaptive.Rows[i].print(w, adaptive, plain.Rows[i])
			plain.Rows[i].print(w, plain, nil)
		}
	}
	printNotes(w, results)
}

// print prints row, which belongs to r, as a line of the table. Unless baseline is nil, the
// line has the ratio of the median of row's P99s to that of baseline's.
func (row *Row) print(w io.Writer, r *Result, baseline *Row) {
	s := row.Sample
	ratio := ""
	if baseline != nil {
		ratio = fmt.Sprintf("%.2f", median(row.P99s)/median(baseline.P99s))
	}
	answered := max(s.Sent-s.Refused-s.Dropped, 1)
	sent := float64(max(s.Sent, 1))
	const percent = 100
	fmt.Fprintf(w, "| %s | %s | %s | %d | %.1f | %.1f | %.1f | %.1f | %s | %.2f | %.4f | %.3f | %.2f | %.0f | %d | %.0f | %d |\n",
		row.Service.Name, r.Scenario, r.Policy, s.Sent,
		s.quantileMS(50), s.quantileMS(99), s.quantileMS(99.9), median(row.P99s), ratio,
		percent*float64(s.Complete)/sent, s.Coverage/float64(answered),
		float64(row.usage.searches)/float64(max(s.MinLeafCalls, 1)), percent*float64(s.Refused)/sent,
		float64(s.InTime)/s.Seconds, row.usage.connections,
		percent*float64(row.usage.peakConnections)/float64(row.Service.Connections), row.usage.refusedConnections)
}

// median returns the median of values, one per window (measurement), or 0 if there are
// none. The table compares medians so that a single window in which the machine stalled
// does not decide the comparison.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)/2]
}

// quantileMS returns a quantile of the latencies in milliseconds. The quantile is given in
// percent.
func (s *Sample) quantileMS(quantile float64) float64 {
	return float64(s.Latency.ValueAtQuantile(quantile)) / float64(time.Millisecond/time.Microsecond)
}

// printNotes prints the results that have no column in the table.
func printNotes(w io.Writer, results []*Result) {
	fmt.Fprintln(w, "\nPercentiles are of requests that were not refused; complete and refused are shares of all requests sent. Peak connections are the most at one target in the run so far. Result codes, and the mean time of complete answers by phase: waiting for admission, held until the attempt of the last answer was sent, and in that attempt:")
	fmt.Fprintln(w)
	for _, r := range results {
		searches := 0
		for _, row := range r.Rows {
			searches += row.usage.searches
		}
		fmt.Fprintf(w, "- %s, %s: daemons %.0f µs of processor time for each leaf call, load average %s", r.Scenario, r.Policy,
			float64(r.DaemonCPU.Microseconds())/float64(max(searches, 1)), r.LoadAvg)
		for _, row := range r.Rows {
			s := row.Sample
			if r.Policy == adaptivePolicy {
				fmt.Fprintf(w, "; %s mean ms %v", row.Service.Name, row.phases)
			}
			fmt.Fprintf(w, "; %s %v, wrong %d, no answer %d, not sent %d", row.Service.Name, s.Codes, s.Wrong, s.Failed, s.Dropped)
		}
		fmt.Fprintln(w)
	}
}
