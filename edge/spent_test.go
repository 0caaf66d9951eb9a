package edge

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against answers that leave in time by the VM's clock and are late by that of a caller,
// who had to open a connection first.
func TestAnswerLeavesInTimeOverNewConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	const aim, way = 80 * time.Millisecond, 3 * time.Millisecond
	spent := newElapsedTimes()
	now := time.Unix(1_000_000, 0)
	g.Expect(spent.observe(now, "check", 1200*time.Millisecond)).To(gomega.BeZero())
	missing := spent.observe(now, "check", 1191*time.Millisecond)
	g.Expect(missing).To(gomega.Equal(9 * time.Millisecond))
	var unknown callerPath
	began := now.Add(-unknown.elapsed(missing, aim))
	g.Expect(began).To(gomega.Equal(now.Add(-missing)))
	g.Expect(unknown.answerBy(began, aim).Add(way)).To(gomega.BeTemporally("<", began.Add(aim)))
	// One that repeats after a failure gets the whole time anew.
	repeat := spent.observe(now, "check", 900*time.Millisecond)
	g.Expect(unknown.elapsed(repeat, aim)).To(gomega.BeZero())
}

// Guards against late answers where requests of a route are so rare that no other caller's
// stated time is known: the connection itself tells what its caller spent.
func TestAnswerLeavesInTimeForOnlyCallerOfRoute(t *testing.T) {
	g := gomega.NewWithT(t)
	const aim, way = 50 * time.Millisecond, 3 * time.Millisecond
	now := time.Unix(1_000_000, 0)
	conn := &callerConn{acceptedAt: now, roundTrip: 2 * way}
	ctx := withCallerConn(t.Context(), conn)
	leaves := func(arrived time.Time) time.Duration {
		path := callerPathOf(ctx, arrived)
		return path.answerBy(arrived.Add(-path.elapsed(0, aim)), aim).Sub(arrived)
	}
	toConnect := 2 * way
	g.Expect(toConnect + way + leaves(now) + way).To(gomega.BeNumerically("<", aim))
	g.Expect(way + leaves(now.Add(time.Second)) + way).To(gomega.BeNumerically("<", aim))
	g.Expect(leaves(now.Add(time.Second))).To(gomega.Equal(leaves(now) + toConnect))
	trackCallerState(conn, http.StateIdle)
	g.Expect(leaves(now)).To(gomega.Equal(leaves(now.Add(time.Second))), "the connection was there")
}

// Guards against a round trip that the kernel is asked for in vain.
func TestConnectionRoundTripIsMeasured(t *testing.T) {
	g := gomega.NewWithT(t)
	socket, err := listen("127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = socket.Close() }()
	caller, err := net.Dial("tcp", socket.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = caller.Close() }()
	conn, err := (&callerListener{Listener: socket}).Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	g.Expect(conn.(*callerConn).roundTrip).To(gomega.BeNumerically(">", 0))
}

// Callers of a route come to wait for less. They are not taken to have lost time for ever.
func TestLongestTimeoutExpires(t *testing.T) {
	g := gomega.NewWithT(t)
	spent := newElapsedTimes()
	now := time.Unix(1_000_000, 0)
	spent.observe(now, "check", time.Second)
	for range 3 {
		now = now.Add(timeoutPeriod)
		spent.observe(now, "check", 990*time.Millisecond)
	}
	g.Expect(spent.observe(now, "check", 990*time.Millisecond)).To(gomega.BeZero())
}
