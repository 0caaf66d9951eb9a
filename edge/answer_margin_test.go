package edge

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against late answers of a VM that gets less processor time than its nominal power: each
// answer is written 4 to 10 ms after it is due. Nearly all are late by the nominal margin; measured,
// at least four in five are in time. Once the VM is well again, the margin is the nominal one.
func TestSlowedVMAnswersEarlier(t *testing.T) {
	g := gomega.NewWithT(t)
	const objective, nominal = 100 * time.Millisecond, 2 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1_000_000, 0)
	play := func(late *lateAnswers) (inTime int) {
		for range 200 {
			now = now.Add(time.Second)
			leaves := now.Add(objective) // when an answer has to leave this VM
			due := leaves.Add(-late.margin(now, nominal, objective))
			written := due.Add(4*time.Millisecond + time.Duration(rng.Int64N(int64(6*time.Millisecond))))
			late.add(written, due)
			if !written.After(leaves) {
				inTime++
			}
		}
		return inTime
	}
	late := new(lateAnswers)
	g.Expect(play(nil)).To(gomega.BeZero())
	g.Expect(play(late)).To(gomega.BeNumerically(">=", 160))
	g.Expect(late.margin(now.Add(lateAnswerLifetime+time.Second), nominal, objective)).To(gomega.Equal(nominal))
}

// Guards against leaving shards out for nothing: a single pause does not count, a VM that is on time
// keeps the nominal margin, and no lateness takes more than its share of the objective.
func TestMarginIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	const objective, nominal = 50 * time.Millisecond, 2 * time.Millisecond
	now := time.Unix(1_000_000, 0)
	late := new(lateAnswers)
	for i := range 2 * minLateAnswers {
		by := time.Millisecond
		if i == 1 {
			by = time.Second // a pause
		}
		late.add(now, now.Add(-by))
		g.Expect(late.margin(now, nominal, objective)).To(gomega.Equal(nominal))
	}
	for range maxLateAnswers {
		late.add(now, now.Add(-time.Second))
	}
	g.Expect(late.margin(now, nominal, objective)).To(gomega.Equal(objective / 5))
	g.Expect(late.margin(now, objective/4, objective)).To(gomega.Equal(objective / 4))
}
