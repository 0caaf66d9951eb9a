package integration

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/gateway"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/fleet"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/platformsim"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
	"github.com/bramleybarrow/bramleybarrow/policy"
)

// reportTimeout bounds the waits for state that a VM must get from the reports of other
// VMs. It is less than the shortest time, 10 s, after which a VM reads the status of a
// target itself while other VMs report on that target, so that such a read cannot end a
// wait.
const reportTimeout = 9 * time.Second

// startWithReporters starts more VMs than a target accepts connections, so that each
// target has two owners and three VMs that reach it through owners. One of the three
// connections is reserved for a frozen owner. startWithReporters waits until every VM has
// received the health of all targets.
func startWithReporters(t *testing.T) *cluster {
	t.Helper()
	const daemons, connections = 5, 3
	cfg := fewConnections(daemons, daemons, connections)
	cfg.Replicas = 1
	c := start(t, cfg)
	c.Eventually(c.vmsWithPlace, waitTimeout, "100ms").Should(gomega.HaveLen(daemons))
	for _, d := range c.Daemons {
		c.Eventually(func() float64 { return c.metric(d, "bramley_peer_health_targets") }, waitTimeout, "50ms").
			Should(gomega.BeNumerically("==", len(c.Targets)), d.Name)
	}
	return c
}

// metric returns the value of one of a daemon's metrics, or 0 if the daemon has no metric
// of that name.
func (c *cluster) metric(d *fleet.Daemon, name string) float64 {
	for line := range strings.Lines(c.metrics(d)) {
		if key, text, _ := strings.Cut(strings.TrimSpace(line), " "); key == name {
			value, err := strconv.ParseFloat(text, 64)
			c.ok(err)
			return value
		}
	}
	return 0
}

// removeMainReporter makes all targets hold a further index, removes the daemon that sent
// the most reports about them from c.Daemons, and returns it.
func (c *cluster) removeMainReporter(further targetsim.Index) *fleet.Daemon {
	c.t.Helper()
	const reportsMetric = "bramley_health_told_total"
	before := map[string]float64{}
	for _, d := range c.Daemons {
		before[d.Name] = c.metric(d, reportsMetric)
	}
	c.setAllIndexes(c.Index, further)
	c.waitSnapshotChosen(further.Snapshot)
	reporterIndex, mostReports := 0, 0.0
	for i, d := range c.Daemons {
		if n := c.metric(d, reportsMetric) - before[d.Name]; n > mostReports {
			reporterIndex, mostReports = i, n
		}
	}
	c.Expect(mostReports).To(gomega.BeNumerically(">", 0))
	d := c.Daemons[reporterIndex]
	c.Daemons = append(append([]*fleet.Daemon{}, c.Daemons[:reporterIndex]...), c.Daemons[reporterIndex+1:]...)
	return d
}

// waitSnapshotChosen waits until each daemon chooses the snapshot for an answer, which
// may be incomplete or exceed its time limit. If each shard has one replica, every daemon
// then knows of every target that it holds the snapshot. The wait fails after
// reportTimeout.
func (c *cluster) waitSnapshotChosen(snapshot string) {
	c.t.Helper()
	end := time.Now().Add(reportTimeout)
	body := gateway.SearchBody{Query: "well", Coverage: minCoverage, TimeLimitMS: 300}
	for _, d := range c.Daemons {
		c.Eventually(func() (string, error) {
			a, _, err := d.Search(c.ctx, findSearch, body)
			return a.Snapshot, err
		}, time.Until(end), "50ms").Should(gomega.Equal(snapshot), d.Name)
	}
}

// setAllIndexes makes all targets hold exactly these indexes.
func (c *cluster) setAllIndexes(indexes ...targetsim.Index) {
	c.t.Helper()
	for i := range c.Targets {
		c.setIndexes(i, indexes...)
	}
}

// waitAnswersFrom waits until each daemon gives a complete answer from the snapshot. The
// wait fails after reportTimeout.
func (c *cluster) waitAnswersFrom(snapshot string) {
	c.t.Helper()
	end := time.Now().Add(reportTimeout)
	for _, d := range c.Daemons {
		c.Eventually(func() (string, error) {
			a, _, err := d.Search(c.ctx, findSearch, searchBody("well"))
			if err != nil || a.Coverage == nil || a.Coverage.Ratio < 1 {
				return "", err
			}
			return a.Snapshot, nil
		}, time.Until(end), "50ms").Should(gomega.Equal(snapshot), d.Name)
	}
}

// Targets load a new index while they still hold the old one, and the platform is down. A
// VM without connections to them would go on answering from the old index until it reads
// their status again, because none of its calls fails. The VMs that own connections must
// report the new index to it. No answer may mix the two indexes, neither then nor when
// the targets drop the old one.
func TestIndexSwitchIsReportedToVMsWithoutConnections(t *testing.T) {
	c := startWithReporters(t)
	c.ok(c.Platform.SetFaults(platformsim.Faults{Outage: true}))
	next := c.nextIndex("s2", 2, 6)
	l := c.startLoad(minCoverage, 0, truthOf(c.Index, next).check)
	c.setAllIndexes(c.Index, next)
	c.waitSnapshotChosen("s2")
	c.setAllIndexes(next)
	l.waitAnswers(100)
	c.Expect(l.stop()).To(gomega.BeEmpty())
	c.waitAnswersFrom("s2")
}

// The VM that reports the health of targets is killed, and then the targets load a new
// index. Unless the next owner reports it, the VMs without connections keep answering
// from the old index. All searches must be answered completely throughout.
func TestReporterKilled(t *testing.T) {
	c := startWithReporters(t)
	second, third := c.nextIndex("s2", 2, 6), c.nextIndex("s3", 3, 5)
	reporter := c.removeMainReporter(second)
	rotation := &searchRotation{}
	rotation.setVMs(c.Daemons...)
	stop := c.startSearches(rotation)
	reporter.Kill()
	c.setAllIndexes(c.Index, second, third)
	c.waitSnapshotChosen("s3")
	_, failures := stop()
	c.Expect(failures).To(gomega.BeEmpty())
}

// The VM that reports the health of targets is frozen, so that it still counts as alive,
// and the targets load a new index. Unless the next owner reports it, the other VMs keep
// answering from the old index. When the frozen VM resumes, its reports must not make
// them return to the old index.
func TestReporterFrozen(t *testing.T) {
	c := startWithReporters(t)
	all := c.Daemons
	second, third := c.nextIndex("s2", 2, 6), c.nextIndex("s3", 3, 5)
	reporter := c.removeMainReporter(second)
	c.ok(reporter.Pause())
	c.setAllIndexes(second, third)
	c.waitSnapshotChosen("s3")
	c.setAllIndexes(third)
	c.ok(reporter.Resume())
	c.Daemons = all
	l := c.startLoad(minCoverage, 0, truthOf(c.Index, second, third).check)
	c.waitAnswersFrom("s3")
	l.waitAnswers(100)
	c.Expect(l.stop()).To(gomega.BeEmpty())
}

// A target is killed. A VM without connections rarely reads the target's status, so it
// would go on sending calls there, and each would delay its query before it fails. The
// owners must report that the target is lost, and report it as available again when a new
// process serves at its address.
func TestLostTargetIsReportedToVMsWithoutConnections(t *testing.T) {
	c := startWithReporters(t)
	lost := c.Targets[0]
	lost.Kill()
	body := gateway.SearchBody{Query: "well", Explain: true, Coverage: minCoverage}
	end := time.Now().Add(reportTimeout)
	for _, d := range c.Daemons {
		c.Eventually(func() error {
			a, _, err := d.Search(c.ctx, findSearch, body)
			if err != nil || a.Coverage == nil || len(a.Coverage.Gaps) == 0 {
				return fmt.Errorf("%+v, %w", a.Coverage, err)
			}
			for _, gap := range a.Coverage.Gaps {
				if gap.Reason != policy.ReasonNoReplica {
					return fmt.Errorf("shard %d: %s", gap.Shard, gap.Reason)
				}
			}
			return nil
		}, time.Until(end), "50ms").Should(gomega.Succeed(), d.Name)
	}
	o := lost.Options
	o.Listen = lost.Address
	c.Targets[0] = must[*fleet.Target](c)(c.StartTarget(o))
	c.waitAnswersFrom("s1")
}
