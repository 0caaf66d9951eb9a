package fleetbench

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// printTable prints one row per size of fleet and then the cost of health checks. With at
// least three sizes it also prints a straight line fitted to each figure. Figures with a
// slash are the mean and maximum over the daemons or repetitions.
func printTable(w io.Writer, o Options, rows []row) {
	if len(rows) == 0 {
		return
	}
	fmt.Fprintf(w, "bundle of %d bytes; idle for %s; %d rollouts, one every %s; %d drains\n",
		rows[0].bundleBytes, o.IdleTime, o.Rollouts, o.RolloutInterval, o.Drains)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "daemons\trevision s\tdrain s\t")
	fmt.Fprint(t, "idle: CPU %\tB/s out\tB/s in\tmsg/s\treads/s\t")
	fmt.Fprintln(t, "rollouts: CPU %\tB/s out\tB/s in\tmsg/s\treads/s\twrites/s\tRSS MB\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%d\t%s\t%s\t", r.daemons, r.revision, r.drain)
		fmt.Fprintf(t, "%s\t%.0f/%.0f\t%.0f/%.0f\t%s\t%.1f\t", r.idle.cpu,
			r.idle.bytesOut.mean(), r.idle.bytesOut.max(), r.idle.bytesIn.mean(), r.idle.bytesIn.max(), r.idle.messages, r.idle.platformReads)
		fmt.Fprintf(t, "%s\t%.0f/%.0f\t%.0f/%.0f\t%s\t%.1f\t%.2f\t%s\t\n", r.rollouts.cpu,
			r.rollouts.bytesOut.mean(), r.rollouts.bytesOut.max(), r.rollouts.bytesIn.mean(), r.rollouts.bytesIn.max(), r.rollouts.messages,
			r.rollouts.platformReads, r.rollouts.platformWrites, r.memory)
	}
	t.Flush()
	printHealth(w, rows)
	printFits(w, rows)
}

// printHealth prints the cost of the health checks of the status targets (targets that
// serve only their status), while idle and during an index switch. It prints nothing for
// rows without status targets.
func printHealth(w io.Writer, rows []row) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, r := range rows {
		if len(r.indexSwitch.cpu.values) == 0 {
			continue
		}
		for _, phase := range []struct {
			name string
			cost cost
		}{{"idle", r.idle}, {"index switch", r.indexSwitch}} {
			c := phase.cost
			fmt.Fprintf(t, "%d daemons, %s\tstatus reads/s %s\tat a target %.2f\tCPU %% %s\tB/s out %.0f/%.0f\tin %.0f/%.0f\tmsg/s %s\t\n",
				r.daemons, phase.name, c.statusReads, c.readsPerTarget, c.cpu,
				c.bytesOut.mean(), c.bytesOut.max(), c.bytesIn.mean(), c.bytesIn.max(), c.messages)
		}
	}
	t.Flush()
}

// largestFleet is the number of daemons for which printFits prints the value of each
// fitted line.
const largestFleet = 950

// printFits prints the straight line fitted to each figure as a function of the number
// of daemons. It prints nothing for fewer than three sizes.
func printFits(w io.Writer, rows []row) {
	if len(rows) < 3 {
		return
	}
	for _, f := range []struct {
		name  string
		value func(row) float64
	}{
		{"revision, s to last daemon", func(r row) float64 { return r.revision.max() }},
		{"drain, s to last daemon", func(r row) float64 { return r.drain.max() }},
		{"idle, CPU %", func(r row) float64 { return r.idle.cpu.mean() }},
		{"idle, B/s in and out", func(r row) float64 { return r.idle.bytesOut.mean() + r.idle.bytesIn.mean() }},
		{"idle, platform reads/s", func(r row) float64 { return r.idle.platformReads }},
		{"rollouts, CPU %", func(r row) float64 { return r.rollouts.cpu.mean() }},
		{"rollouts, B/s in and out", func(r row) float64 { return r.rollouts.bytesOut.mean() + r.rollouts.bytesIn.mean() }},
		{"rollouts, platform reads/s", func(r row) float64 { return r.rollouts.platformReads }},
		{"RSS MB", func(r row) float64 { return r.memory.mean() }},
	} {
		slope, intercept, maxResidual := fit(rows, f.value)
		fmt.Fprintf(w, "fit %-30s %8.3f + %8.3f per 100 daemons, worst residual %.3f, at %d: %.2f\n",
			f.name, intercept, 100*slope, maxResidual, largestFleet, intercept+slope*largestFleet)
	}
}

// fit returns the least-squares line of a figure over the number of daemons: the line's
// slope per daemon, its value at 0 daemons, and the largest absolute residual of a row.
// Value returns the figure of a row.
func fit(rows []row, value func(row) float64) (slope, intercept, maxResidual float64) {
	var n, sx, sy, sxx, sxy float64
	for _, r := range rows {
		x, y := float64(r.daemons), value(r)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	intercept = (sy - slope*sx) / n
	for _, r := range rows {
		maxResidual = math.Max(maxResidual, math.Abs(value(r)-intercept-slope*float64(r.daemons)))
	}
	return slope, intercept, maxResidual
}
