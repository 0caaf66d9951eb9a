package integration

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/gateway"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/rollout"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// minCoverage is a required coverage that is met by any answer from at least one shard.
const minCoverage = 0.01

// setIndexes makes target i hold its shards of exactly these indexes. The replicas of
// each index are placed as those of c.Index were by start.
func (c *cluster) setIndexes(i int, indexes ...targetsim.Index) {
	c.t.Helper()
	cfg := c.config
	var placements []targetsim.SnapshotPlacement
	for _, index := range indexes {
		placements = append(placements, targetsim.PlaceReplicas(index, cfg.Targets, cfg.Leaves, cfg.Replicas)[i])
	}
	c.ok(c.Targets[i].SetSnapshots(placements))
}

// nextIndex returns an index of the same records as c.Index, with another snapshot name,
// sequence number and number of shards.
func (c *cluster) nextIndex(name string, seq int64, shards int) targetsim.Index {
	index := c.Index
	index.Snapshot, index.Seq, index.Shards = name, seq, shards
	return index
}

// An answer must not contain records of two snapshots, or compute its coverage from the
// wrong number of shards. Targets switch to a new index with another number of shards
// while queries run. The failure would come from an attempt, hedge or retry that reads
// another snapshot than the other attempts of its query.
func TestIndexSwitchNeverMixesSnapshots(t *testing.T) {
	c := start(t, clusterConfig{Target: func(_ int, o *targetsim.Options) { o.Timing.BaseMS = 15 }})
	for _, target := range c.Targets { // to cause retries
		c.ok(target.SetFaults(targetsim.Faults{ShedShare: 0.15}))
	}
	indexes := []targetsim.Index{c.Index}
	for seq, shards := range []int{6, 3, 5, 4} {
		indexes = append(indexes, c.nextIndex(fmt.Sprint("s", seq+2), int64(seq+2), shards))
	}
	l := c.startLoad(minCoverage, 0, truthOf(indexes...).check)
	for n := 1; n < len(indexes); n++ {
		if n%2 == 1 { // hold both indexes for a while, otherwise switch without overlap
			for i := range c.Targets {
				c.setIndexes(i, indexes[n-1], indexes[n])
			}
			l.waitAnswers(100)
		}
		for i := range c.Targets {
			c.setIndexes(i, indexes[n])
			l.waitAnswers(20)
		}
	}
	c.Expect(l.stop()).To(gomega.BeEmpty())
	c.Expect(l.answered(result.Complete)).To(gomega.BeNumerically(">", 0))
}

// waitAnswers waits until n more queries were answered with at least some coverage.
func (l *load) waitAnswers(n int) {
	before := l.answered(result.Complete, result.Partial)
	l.c.Eventually(func() int { return l.answered(result.Complete, result.Partial) }, waitTimeout, "5ms").Should(gomega.BeNumerically(">", before+n))
}

// A reader must not see records twice, or miss some, if the index is switched between two
// pages. The cursor pins the snapshot; once no target holds that snapshot, the answer must
// say so.
func TestBrowseCursorPinsTheSnapshot(t *testing.T) {
	c := start(t, clusterConfig{})
	d := c.Daemons[0]
	first := must[gateway.Answer](c)(answerOnly(d.Browse(c.ctx, browseSearch, gateway.SearchBody{Limit: 10})))
	next := c.nextIndex("s2", 2, 5)
	for i := range c.Targets {
		c.setIndexes(i, c.Index, next)
	}
	c.Eventually(func() string {
		a, _, _ := d.Search(c.ctx, findSearch, searchBody("x"))
		return a.Snapshot
	}, waitTimeout, "50ms").Should(gomega.Equal("s2"))
	page := must[gateway.Answer](c)(answerOnly(d.Browse(c.ctx, browseSearch, gateway.SearchBody{Limit: 10, Cursor: first.Cursor})))
	c.Expect(page.Snapshot).To(gomega.Equal("s1"))
	want, _, _ := c.Index.ExpectedAnswer(target.KindBrowse, "", first.Items[9].Key, 10)
	c.Expect(page.Items).To(gomega.Equal(want))
	for i := range c.Targets {
		c.setIndexes(i, next)
	}
	c.Eventually(func() int {
		a, _, _ := d.Browse(c.ctx, browseSearch, gateway.SearchBody{Limit: 10, Cursor: first.Cursor})
		return a.Code
	}, waitTimeout, "50ms").Should(gomega.Equal(int(result.CursorGone)))
}

// answerOnly drops the HTTP status from the results of a call, so that must can take them.
func answerOnly(a gateway.Answer, _ int, err error) (gateway.Answer, error) { return a, err }

// All replicas of some shards are lost. The answer must say that records are missing, or
// the caller would conclude that they don't exist.
func TestLostShardIsStated(t *testing.T) {
	c := start(t, clusterConfig{Targets: 2, Leaves: 1, Shards: 4, Replicas: 1})
	c.Targets[0].Kill()
	d := c.Daemons[0]
	body := gateway.SearchBody{Query: "well", Explain: true, Coverage: minCoverage}
	var a gateway.Answer
	c.Eventually(func() int {
		a = must[gateway.Answer](c)(answerOnly(d.Search(c.ctx, findSearch, body)))
		c.ok(truthOf(c.Index).check(a, body))
		return a.Code
	}, waitTimeout, "20ms").Should(gomega.Equal(int(result.Partial)))
	c.Expect(a.Coverage.ShardsAnswered).To(gomega.Equal(2))
	c.Expect(a.Coverage.UnknownShards).To(gomega.Equal(0), "the sizes of the lost shards are known from earlier answers")
	body.Coverage = 1
	a = must[gateway.Answer](c)(answerOnly(d.Search(c.ctx, findSearch, body)))
	c.Expect(a.Code).To(gomega.Equal(int(result.CoverageTooLow)))
	c.Expect(a.RetryAfterMS).To(gomega.BeNumerically(">", 0))
}

// A leaf could read only a part of its shard, and its answer says so. The answer to the
// query must not claim to be complete.
func TestIncompleteLeafIsReported(t *testing.T) {
	c := start(t, clusterConfig{})
	const missing = 3
	for _, target := range c.Targets {
		c.ok(target.SetFaults(targetsim.Faults{MissingRecords: missing}))
	}
	body := gateway.SearchBody{Explain: true, Coverage: minCoverage}
	a := must[gateway.Answer](c)(answerOnly(c.Daemons[0].Search(c.ctx, findSearch, body)))
	c.ok(truthOf(c.Index).check(a, body))
	c.Expect(a.Code).To(gomega.Equal(int(result.Partial)))
	c.Expect(a.Coverage.Missing).To(gomega.Equal(int64(missing * c.config.Shards)))
}

// No replica of a shard is left, so the query can't succeed. Its answer must be sent at
// once, not at the end of the caller's time limit.
func TestGivenUpQueryIsAnsweredAtOnce(t *testing.T) {
	c := start(t, clusterConfig{Targets: 2, Leaves: 1, Shards: 2, Replicas: 1})
	c.Targets[0].Kill()
	const limitMS = 30000
	a := must[gateway.Answer](c)(answerOnly(c.Daemons[0].Search(c.ctx, findSearch, gateway.SearchBody{TimeLimitMS: limitMS})))
	c.Expect(a.Code).To(gomega.BeNumerically(">=", 300)) // neither complete nor partial
	c.Expect(a.TookMS).To(gomega.BeNumerically("<", limitMS/2))
}

// A target's process is frozen: its connections stay open and carry no data. Other
// replicas hold every shard, so a hedge or a retry must complete each search.
func TestFrozenTargetCostsNoAnswer(t *testing.T) {
	c := start(t, clusterConfig{Targets: 4, Replicas: 2})
	l := c.startLoad(1, 5000, truthOf(c.Index).check)
	c.Eventually(func() int { return l.answered(result.Complete) }, waitTimeout).Should(gomega.BeNumerically(">", 100))
	c.ok(c.Targets[1].Pause())
	before := l.answered(result.Complete)
	c.Eventually(func() int { return l.answered(result.Complete) }, waitTimeout).Should(gomega.BeNumerically(">", before+500))
	c.ok(c.Targets[1].Resume())
	c.Expect(l.stop()).To(gomega.BeEmpty())
	c.Expect(l.answered(result.TimedOut, result.CoverageTooLow)).To(gomega.BeZero())
}

// A target's process is frozen, and all others pause for a moment, as on a machine that is
// busy: longer than the timeout of a shard's three attempts together. A search must still be
// completed in the seconds that it has left, also if one of its attempts was lost on the
// frozen target.
func TestShortPauseWhileATargetIsFrozenCostsNoAnswer(t *testing.T) {
	const pause = 200 * time.Millisecond
	c := start(t, clusterConfig{Targets: 4, Replicas: 2})
	l := c.startLoad(1, 5000, truthOf(c.Index).check)
	c.Eventually(func() int { return l.answered(result.Complete) }, waitTimeout).Should(gomega.BeNumerically(">", 100))
	for _, target := range c.Targets {
		c.ok(target.Pause())
	}
	time.Sleep(pause)
	frozen := c.Targets[1]
	for _, target := range c.Targets {
		if target != frozen {
			c.ok(target.Resume())
		}
	}
	before := l.answered(result.Complete)
	c.Eventually(func() int { return l.answered(result.Complete) }, waitTimeout).Should(gomega.BeNumerically(">", before+500))
	c.ok(frozen.Resume())
	c.Expect(l.stop()).To(gomega.BeEmpty())
	c.Expect(l.answered(result.TimedOut, result.CoverageTooLow)).To(gomega.BeZero(), l.lastIncomplete)
}

// All targets refuse all requests to shed load. Each answer must say "not run", and the
// targets' own records must confirm it.
func TestShedIsNotRun(t *testing.T) {
	c := start(t, clusterConfig{Shards: 1, Replicas: 3})
	for _, target := range c.Targets {
		c.ok(target.SetFaults(targetsim.Faults{ShedShare: 1}))
	}
	for range 20 {
		a := must[gateway.Answer](c)(answerOnly(c.Daemons[0].Search(c.ctx, findSearch, gateway.SearchBody{TimeLimitMS: 200})))
		c.Expect(a.Ran).To(gomega.Equal(result.RanNo.String()), a.Name)
		c.Expect(c.searchAttempts()).NotTo(gomega.HaveKey(a.Request))
	}
}

// searchAttempts returns how many search attempts the targets started for each request,
// by its ID. The counts are from the targets' own records.
func (c *cluster) searchAttempts() map[string]int {
	runs := map[string]int{}
	for _, t := range c.Targets {
		for _, r := range must[targetsim.StartedRequests](c)(t.Ran()).Searches {
			runs[r.Request]++
		}
	}
	return runs
}

// There are more callers than the targets' slots can serve, so some requests are refused
// at admission. A refused request must not run, and its answer must say when to retry.
// All other answers must be consistent with the index.
func TestRefusedAtAdmissionIsNotRun(t *testing.T) {
	c := start(t, clusterConfig{
		Daemons: 1,
		Target:  func(_ int, o *targetsim.Options) { o.Timing.BaseMS = 40 },
	})
	refused := make(chan gateway.Answer, 400)
	done := make(chan error, 100)
	for i := range cap(done) {
		go func() {
			var err error
			for j := range 4 {
				body := gateway.SearchBody{Query: fmt.Sprint(i, j), TimeLimitMS: 300, Explain: true}
				a, _, e := c.Daemons[0].Search(c.ctx, findSearch, body)
				if e == nil {
					e = truthOf(c.Index).check(a, body)
				}
				if e != nil {
					err = e
				}
				if a.Code == int(result.Overloaded) {
					refused <- a
				}
			}
			done <- err
		}()
	}
	for range cap(done) {
		c.ok(<-done)
	}
	close(refused)
	ran := c.searchAttempts()
	n := 0
	for a := range refused {
		n++
		c.Expect(ran).NotTo(gomega.HaveKey(a.Request))
		c.Expect(a.RetryAfterMS).To(gomega.BeNumerically(">", 0))
	}
	c.Expect(n).To(gomega.BeNumerically(">", 0), "the load was too small for a refusal")
}

// A target that has just started would slow down or fail the queries sent to it, and
// reports that it is starting. It must get no searches until it reports that it serves.
func TestColdTargetGetsNoSearches(t *testing.T) {
	c := start(t, clusterConfig{
		Targets: 3, Replicas: 2,
		Target: func(i int, o *targetsim.Options) {
			if i == 2 {
				o.ColdMS = 600000
			}
		},
	})
	for range 50 {
		a := must[gateway.Answer](c)(answerOnly(c.Daemons[0].Search(c.ctx, findSearch, searchBody("x"))))
		c.Expect(a.Code).To(gomega.Equal(int(result.Complete)))
	}
	counters := must[targetsim.Counters](c)(c.Targets[2].Counters())
	c.Expect(counters.Searches).To(gomega.BeZero())
	c.Expect(counters.Refused[target.ReasonCold]).To(gomega.BeZero())
}

// Faults overlap and repeat: targets freeze, refuse requests, return wrong, repeated or
// late answers, leave records out and switch their index, while connections are cut and
// become silent. In every order of the faults, each answer must be consistent with the
// index of the snapshot that it names.
func TestAnswersStayTrueUnderRandomFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 5, 8} {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			c := start(t, clusterConfig{Targets: 4, Replicas: 2, ProxyTargets: true, Bundle: func(b *bundle.Bundle) {
				b.Services[0].Drain.HealthTimeoutMS = 200
			}})
			f := &faultInjector{c: c, rng: rand.New(rand.NewPCG(seed, 0)), paused: map[int]bool{}, indexes: []targetsim.Index{c.Index, c.nextIndex("s2", 2, 6), c.nextIndex("s3", 3, 3)}}
			l := c.startLoad(minCoverage, 500, truthOf(f.indexes...).check)
			for range 25 {
				f.injectNext()
				time.Sleep(50 * time.Millisecond) // only paces the faults; no check depends on it
			}
			f.clearFaults()
			c.Eventually(func() float64 {
				a, _, err := c.Daemons[0].Search(c.ctx, findSearch, searchBody("x"))
				if err != nil || a.Coverage == nil {
					return 0
				}
				return a.Coverage.Ratio
			}, waitTimeout, "50ms").Should(gomega.Equal(1.0))
			c.Expect(l.stop()).To(gomega.BeEmpty())
		})
	}
}

// faultInjector injects one fault after another into the targets of a cluster.
type faultInjector struct {
	c       *cluster
	rng     *rand.Rand
	indexes []targetsim.Index // that the targets switch between
	paused  map[int]bool      // indexes of the targets that are paused
}

// injectNext injects a random fault into a random target or its proxy. If that target is
// paused, it resumes the target instead.
func (f *faultInjector) injectNext() {
	i := f.rng.IntN(len(f.c.Targets))
	t, p := f.c.Targets[i], f.c.TargetProxies[i]
	if f.paused[i] {
		f.resume(i)
		return
	}
	switch f.rng.IntN(6) {
	case 0:
		f.c.ok(t.Pause())
		f.paused[i] = true
	case 1:
		f.c.ok(p.Cut())
	case 2:
		f.c.ok(p.Silence())
	case 3:
		f.c.ok(t.SetFaults(targetsim.Faults{ShedShare: f.rng.Float64()}))
	case 4:
		f.c.ok(t.SetFaults(targetsim.Faults{MissingRecords: 2, MismatchedAnswers: 5, DuplicateAnswers: 5, LateAnswers: 5, LateMS: 100}))
	case 5:
		f.c.setIndexes(i, f.indexes[f.rng.IntN(len(f.indexes))], f.indexes[0])
	}
}

func (f *faultInjector) resume(i int) {
	f.c.ok(f.c.Targets[i].Resume())
	delete(f.paused, i)
}

// clearFaults ends all faults and makes every target hold the last index.
func (f *faultInjector) clearFaults() {
	for i, t := range f.c.Targets {
		f.c.ok(t.Resume())
		f.c.ok(t.SetFaults(targetsim.Faults{}))
		f.c.setIndexes(i, f.indexes[len(f.indexes)-1])
	}
}

// A VM that has just started must not answer that no live replica exists. It would if it
// became ready as soon as it has a bundle, before it has received the state of any
// target.
func TestReadyVMKnowsItsTargets(t *testing.T) {
	c := start(t, clusterConfig{Daemons: 1, NoRollout: true})
	must[rollout.Entry](c)(c.RollOut(c.ctx, c.Bundle))
	d := c.Daemons[0]
	c.Eventually(func() bool { return d.Ready(c.ctx) }, waitTimeout, "1ms").Should(gomega.BeTrue())
	a := must[gateway.Answer](c)(answerOnly(d.Search(c.ctx, findSearch, searchBody("x"))))
	c.Expect(a.Code).NotTo(gomega.Equal(int(result.NoReplica)))
}
