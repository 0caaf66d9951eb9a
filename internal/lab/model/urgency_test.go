package model

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// crowded is a fleet with three kinds of callers, the least urgent of which have much time.
func crowded(perSecond float64) Config {
	c := shifted()
	c.Shards, c.Work, c.PauseEvery, c.MinShare = 24, 25*time.Millisecond, 0, 0.89
	c.PerSecond, c.Ranked = perSecond, true
	const short, long = 200 * time.Millisecond, time.Second
	c.Kinds = []Kind{
		{Name: "urgent", Share: 1, Rank: 0, Objective: short, Deadline: 10 * short},
		{Name: "usual", Share: 1, Rank: 1, Objective: short, Deadline: 10 * short},
		{Name: "least", Share: 1, Rank: 2, Objective: long, Deadline: 6 * long},
	}
	return c
}

// inTime returns the share of the callers of a kind that were answered in time, from 0 to 1.
func (r *Result) inTime(kind string) float64 {
	k := r.Kinds[kind]
	return float64(k.InTime) / float64(k.Asked)
}

// Guards against less urgent requests in front of urgent ones where the owners of the leafs, and not
// the VMs that callers reach, know that room is short.
func TestUrgentAreServedFirstByAFleet(t *testing.T) {
	g := gomega.NewWithT(t)
	m := New(crowded(200))
	m.At(time.Second, func() { m.SlowLeafs(0.15, 10) })
	r := m.Run(12 * time.Second)
	t.Logf("urgent %.3f usual %.3f least %.3f, asked %d in time %d", r.inTime("urgent"), r.inTime("usual"), r.inTime("least"), r.Asked, r.InTime)
	g.Expect(r.inTime("urgent")).To(gomega.BeNumerically(">", 0.85))
	g.Expect(r.inTime("usual")).To(gomega.BeNumerically("<", r.inTime("urgent")))
	g.Expect(r.inTime("least")).To(gomega.BeNumerically("<", r.inTime("usual")))
	g.Expect(r.inTime("least")).To(gomega.BeNumerically(">", float64(r.InTime)/float64(r.Asked)/4))
}

// Guards against decisions by rank that refuse, delay or add anything where there is room enough.
func TestRanksChangeNothingInACalmFleet(t *testing.T) {
	g := gomega.NewWithT(t)
	c := crowded(60)
	ranked := New(c).Run(6 * time.Second)
	c.Ranked = false
	g.Expect(ranked).To(gomega.Equal(New(c).Run(6 * time.Second)))
	g.Expect(ranked.InTime).To(gomega.Equal(ranked.Asked))
}
