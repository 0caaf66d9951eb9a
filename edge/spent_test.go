package edge

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A caller opens a connection, which takes it 9 ms of an aim of 80. Its answer leaves just
// before the aim by the VM's clock, and is late by its own.
func TestAnswerComesInTimeOverANewConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	const aim, way = 80 * time.Millisecond, 3 * time.Millisecond
	spent := newSpentTimes()
	now := time.Unix(1_000_000, 0)
	g.Expect(spent.of(now, "check", 1200*time.Millisecond)).To(gomega.BeZero())
	handshake := spent.of(now, "check", 1191*time.Millisecond)
	g.Expect(handshake).To(gomega.Equal(9 * time.Millisecond))
	g.Expect(answerBy(now.Add(-handshake), now, aim).Add(way)).To(gomega.BeTemporally("<", now.Add(-handshake).Add(aim)))
	// One that repeats after a failure gets the whole time anew.
	repeat := spent.of(now, "check", 900*time.Millisecond)
	g.Expect(answerBy(now.Add(-repeat), now, aim)).To(gomega.Equal(answerBy(now, now, aim)))
}

// Callers of a route come to wait for less. They are not taken to have lost time for ever.
func TestLongestWaitIsForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	spent := newSpentTimes()
	now := time.Unix(1_000_000, 0)
	spent.of(now, "check", time.Second)
	for range 3 {
		now = now.Add(waitPeriod)
		spent.of(now, "check", 990*time.Millisecond)
	}
	g.Expect(spent.of(now, "check", 990*time.Millisecond)).To(gomega.BeZero())
}
