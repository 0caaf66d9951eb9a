package edge

import (
	"context"
	"log/slog"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/room"
	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// Guards against a VM whose room is not heard by those that call it, and against a statement by a VM
// that doesn't measure its room.
func TestAnswersTellRoom(t *testing.T) {
	for _, measured := range []bool{true, false} {
		g := gomega.NewWithT(t)
		join := func(name string) (*Engine, *peerTransport, scatter.VM) {
			e := NewEngine(EngineOptions{Self: name, Zone: name, Power: 1, Log: logging.Discard(), Budget: scatter.BudgetConfig{Window: time.Second}})
			key := make([]byte, 32)
			p, err := joinPeers(e, wire.Identity{Deployment: "d", VM: name, Incarnation: name}, "127.0.0.1:0", key, logging.Discard())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(p.close)
			e.setPeerClient(p)
			return e, p, scatter.VM{Name: name, Zone: name, Power: 1, Address: p.server.Addr().String(), Key: string(key)}
		}
		caller, _, _ := join("a")
		called, _, vm := join("b")
		caller.setVMs([]scatter.VM{vm})
		caller.useRoom(1, RoomSettings{Measure: true}, nil)
		if measured {
			called.useRoom(1, RoomSettings{Measure: true}, nil)
			now := time.Now()
			called.room.Load().add(room.Sample{At: now.Add(-time.Minute)})
			called.room.Load().add(room.Sample{At: now, Late: 200 * time.Millisecond})
		}
		call := &gatherCall{Services: []string{"unknown"}, Views: []scatter.View{0}, MaxAttempts: 1, LatencyObjectiveUS: 1e5, InterimUS: 1e6, AnswerUS: 1e6, DeadlineUS: 2e6}
		g.Eventually(func() error {
			return caller.currentPeerClient().gather(t.Context(), vm, call, func() {}, func(*gatherAnswer) {})
		}, "10s").Should(gomega.Succeed())
		lowest := caller.roomStats().Lowest
		if measured {
			g.Expect(lowest).To(gomega.BeNumerically("<", 0.3))
		} else {
			g.Expect(lowest).To(gomega.Equal(1.0))
		}
	}
}

// Guards against an answer that is larger than it need be, and against numbers out of all bounds,
// as in a garbled message.
func TestRoomReportIsSmallAndBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	with, err := cbor.Marshal(&gatherAnswer{Key: 1, Room: newRoomReport(room.State{Busy: 2, Late: time.Second}, time.Second)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	without, err := cbor.Marshal(&gatherAnswer{Key: 1})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(with) - len(without)).To(gomega.BeNumerically("<=", 16))
	for _, extreme := range []int64{math.MinInt64, math.MaxInt64} {
		s, age := (&roomReport{BusyPerMille: extreme, LateUS: extreme, AgeMS: extreme}).state()
		g.Expect(s.Late).To(gomega.And(gomega.BeNumerically(">=", 0), gomega.BeNumerically("<=", time.Minute)))
		g.Expect(age).To(gomega.And(gomega.BeNumerically(">=", 0), gomega.BeNumerically("<=", time.Hour)))
		var b room.Belief
		b.Tell(time.Now(), s, age)
		g.Expect(b.Factor(time.Now())).To(gomega.BeNumerically(">=", room.MinFactor))
	}
}

// Guards against a VM that measures its room although the settings don't ask for it, and against one
// that doesn't although they do.
func TestRoomIsMeasuredIfSet(t *testing.T) {
	for _, measure := range []bool{true, false} {
		g := gomega.NewWithT(t)
		e := NewEngine(EngineOptions{Self: "a", Zone: "a", Power: 1, Log: logging.Discard(), Budget: scatter.BudgetConfig{Window: time.Second}})
		n := &Node{engine: e, log: logging.Discard(), settings: &Settings{Power: 1, Room: RoomSettings{Measure: measure}}}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			n.measureRoom(ctx)
		}()
		metrics := func() string {
			var text strings.Builder
			e.writeMetrics(&text)
			return text.String()
		}
		if measure {
			g.Eventually(metrics, "10s").Should(gomega.ContainSubstring("bramley_edge_room_late_seconds"))
		} else {
			g.Eventually(done, "10s").Should(gomega.BeClosed())
			g.Expect(metrics()).NotTo(gomega.ContainSubstring("bramley_edge_room"))
		}
		stop()
		g.Eventually(done, "10s").Should(gomega.BeClosed())
	}
}

// Guards against a line for each reading while the room of this VM goes up and down.
func TestRoomLogIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var lines strings.Builder
	l := roomLog{log: slog.New(slog.NewTextHandler(&lines, nil))}
	now := time.Unix(1_000_000, 0)
	for i := range 300 { // a minute
		s := room.State{}
		if i%2 == 0 {
			s.Late = time.Second
		}
		l.own(now, s)
		now = now.Add(roomInterval)
	}
	g.Expect(strings.Count(lines.String(), "\n")).To(gomega.And(gomega.BeNumerically(">=", 4), gomega.BeNumerically("<=", 7)))
}

// BenchmarkRoomReading measures the processor time of one reading, without the timer.
func BenchmarkRoomReading(b *testing.B) {
	own := &ownRoom{meter: room.NewMeter(0.134)}
	for b.Loop() {
		used, err := processorTime()
		if err != nil {
			b.Fatal(err)
		}
		own.add(room.Sample{At: time.Now(), CPU: used})
	}
}
