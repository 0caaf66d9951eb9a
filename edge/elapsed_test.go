package edge

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/allotment"
)

// Guards against answers that are sent in time by the VM's clock but arrive late for a caller
// that first had to open a connection, which takes part of the latency objective.
func TestAnswerIsSentInTimeOverNewConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	const objective, oneWay = 80 * time.Millisecond, 3 * time.Millisecond
	times := newElapsedTimes()
	now := time.Unix(1_000_000, 0)
	g.Expect(times.observe(now, "check", 1200*time.Millisecond)).To(gomega.BeZero())
	shortfall := times.observe(now, "check", 1191*time.Millisecond)
	g.Expect(shortfall).To(gomega.Equal(9 * time.Millisecond))
	var unknown callerPath
	start := now.Add(-unknown.elapsed(shortfall, objective))
	g.Expect(start).To(gomega.Equal(now.Add(-shortfall)))
	g.Expect(unknown.answerBy(start, objective, answerWriteTime(1)).Add(oneWay)).To(gomega.BeTemporally("<", start.Add(objective)))
	// A request that is repeated after a failure gets the whole time again.
	repeat := times.observe(now, "check", 900*time.Millisecond)
	g.Expect(unknown.elapsed(repeat, objective)).To(gomega.BeZero())
}

// Guards against requests that are taken for ones that can be answered in time, though they come back too
// late for that, and the other way round.
func TestRequestThatComesBackLateIsStale(t *testing.T) {
	g := gomega.NewWithT(t)
	const objective = 50 * time.Millisecond
	var path callerPath
	times, now := newElapsedTimes(), time.Unix(1_000_000, 0)
	freshFor := func(stated time.Duration) time.Duration {
		return path.freshFor(times.observe(now, "check", stated), objective)
	}
	g.Expect(freshFor(300 * time.Millisecond)).To(gomega.Equal(objective / 2))
	g.Expect(freshFor(290*time.Millisecond)).To(gomega.Equal(objective/2-10*time.Millisecond), "it has opened a connection")
	g.Expect(freshFor(200 * time.Millisecond)).To(gomega.BeNumerically("<", 0))
	g.Expect(path.freshFor(time.Hour, 0)).To(gomega.Equal(allotment.NoObjective))
}

// Guards against late answers on a route that has only one caller, so that there is no other
// stated time to compare with. The time that the caller spent is then derived from the round
// trip measured on its connection.
func TestAnswerIsSentInTimeForOnlyCallerOfRoute(t *testing.T) {
	g := gomega.NewWithT(t)
	const objective, oneWay = 50 * time.Millisecond, 3 * time.Millisecond
	now := time.Unix(1_000_000, 0)
	conn := &callerConn{acceptedAt: now, roundTrip: 2 * oneWay}
	ctx := withCallerConn(t.Context(), conn)
	timeToAnswer := func(arrived time.Time) time.Duration {
		path := callerPathOf(ctx, arrived)
		return path.answerBy(arrived.Add(-path.elapsed(0, objective)), objective, answerWriteTime(1)).Sub(arrived)
	}
	connectTime := 2 * oneWay
	g.Expect(connectTime + oneWay + timeToAnswer(now) + oneWay).To(gomega.BeNumerically("<", objective))
	g.Expect(oneWay + timeToAnswer(now.Add(time.Second)) + oneWay).To(gomega.BeNumerically("<", objective))
	g.Expect(timeToAnswer(now.Add(time.Second))).To(gomega.Equal(timeToAnswer(now) + connectTime))
	trackCallerState(conn, http.StateIdle)
	g.Expect(timeToAnswer(now)).To(gomega.Equal(timeToAnswer(now.Add(time.Second))), "the connection was already open")
}

// Guards against a round-trip time that is not read from the kernel: a default would then be
// assumed for every caller. The round trip of a real connection is measured.
func TestConnectionRoundTripIsMeasured(t *testing.T) {
	g := gomega.NewWithT(t)
	ln, err := listen("127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = ln.Close() }()
	caller, err := net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = caller.Close() }()
	conn, err := (&callerListener{Listener: ln}).Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	g.Expect(conn.(*callerConn).roundTrip).To(gomega.BeNumerically(">", 0))
}

// Guards against an outdated longest timeout: when all callers of a route reduce their
// timeouts, the difference must not permanently count as time that they have spent.
func TestLongestTimeoutExpires(t *testing.T) {
	g := gomega.NewWithT(t)
	times := newElapsedTimes()
	now := time.Unix(1_000_000, 0)
	times.observe(now, "check", time.Second)
	for range 3 {
		now = now.Add(timeoutPeriod)
		times.observe(now, "check", 990*time.Millisecond)
	}
	g.Expect(times.observe(now, "check", 990*time.Millisecond)).To(gomega.BeZero())
}

// Guards against late answers of VMs with a small part of a core, which take several times as long
// to write an answer as those with a whole one.
func TestWeakVMAnswersEarlier(t *testing.T) {
	g := gomega.NewWithT(t)
	const objective = 50 * time.Millisecond
	start := time.Unix(1_000_000, 0)
	weak := callerPath{}.answerBy(start, objective, answerWriteTime(0.2))
	strong := callerPath{}.answerBy(start, objective, answerWriteTime(0.8))
	g.Expect(strong.Sub(weak)).To(gomega.BeNumerically("~", answerWork*5-answerWork*5/4))
}
