package health

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleybarrow/bramleybarrow/peer/facts"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// testTarget is the name of the only target of the tests.
const testTarget = "t"

// testTiming is the timing of testTarget in simulations.
var testTiming = timing{interval: time.Second, suspectAfter: 2}

// simulation simulates one target, its owners, another VM that owns nothing, and the time.
type simulation struct {
	now      time.Time
	owners   []*owner
	otherVM  *facts.Table  // the facts that the other VM knows
	status   target.Status // the target's current status
	restarts int           // number of incarnations that the target has had
}

// owner is a simulated owner. Owners rank by the numbers of their places.
type owner struct {
	reporter   *reporter
	table      *facts.Table
	place      int
	cannotRead bool        // the owner can't read the target
	isolated   bool        // the owner exchanges no facts with other VMs
	lost       bool        // the owner counts as lost on all VMs
	pending    *readResult // a finished read that isn't handled yet, as in a frozen process
}

// newSimulation returns a simulation with n owners.
func newSimulation(n int) *simulation {
	sim := &simulation{now: time.Unix(1_000_000, 0), otherVM: newTable()}
	for i := range n {
		sim.owners = append(sim.owners, &owner{reporter: newReporter(), table: newTable(), place: i})
	}
	sim.restart()
	return sim
}

// newTable returns a table that keeps the health of testTarget.
func newTable() *facts.Table {
	t := facts.NewTable()
	t.SetTargets([]string{testTarget})
	return t
}

// restart starts a new incarnation of the target. Its name sorts before that of the
// earlier one.
func (sim *simulation) restart() {
	sim.restarts++
	sim.status = target.Status{Target: testTarget, Incarnation: fmt.Sprint("i", 1000-sim.restarts), State: target.StateServing}
	sim.setHoldings("s1", 1)
}

// setHoldings makes the target hold another snapshot instead of the current one.
func (sim *simulation) setHoldings(snapshot string, seq int64) {
	sim.status.Leaves = []target.LeafStatus{{Holdings: []target.Holding{
		{Snapshot: snapshot, Seq: seq, Shards: 8, Shard: int(seq) % 8, Records: 10 * seq},
	}}}
}

// ownerOrder returns the order of the live owners for the owner at a place.
func (sim *simulation) ownerOrder(place int) ownerOrder {
	order := ownerOrder{place: place}
	for _, o := range sim.owners {
		if !o.lost {
			order.owners = append(order.owners, o.place)
		}
	}
	return order
}

// beginRead reads the target for an owner and stores the result in owner.pending.
// finishRead handles it later, since the owner may be frozen in between.
func (sim *simulation) beginRead(o *owner) {
	base, _ := o.table.Health(testTarget)
	r := &readResult{base: base, began: sim.now}
	if !o.cannotRead {
		status := sim.status
		r.status = &status
	}
	o.pending = r
}

// finishRead handles the result of beginRead, and publishes the statement that follows if
// the one known before the read is still current.
func (sim *simulation) finishRead(o *owner) {
	r := o.pending
	o.pending = nil
	next, publish := o.reporter.handleRead(testTarget, *r, sim.ownerOrder(o.place), testTiming, sim.now)
	if known, _ := o.table.Health(testTarget); publish && known.Stamp == r.base.Stamp {
		o.table.Merge(facts.Fact{Health: &next}, sim.now.Unix())
	}
}

// syncTables gives two tables the same statement about the target, the one that outranks
// the other, as a comparison of digests does.
func syncTables(a, b *facts.Table) {
	for _, pair := range [][2]*facts.Table{{a, b}, {b, a}} {
		if h, known := pair[0].Health(testTarget); known {
			pair[1].Merge(facts.Fact{Health: &h}, 0)
		}
	}
}

// round lets each owner that isn't lost read once, and exchanges all facts after each
// read.
func (sim *simulation) round() {
	for _, o := range sim.owners {
		if o.lost {
			continue
		}
		sim.beginRead(o)
		sim.finishRead(o)
		sim.syncAll()
	}
	sim.now = sim.now.Add(testTiming.interval)
}

// syncAll exchanges facts between all owners that are neither isolated nor lost, through
// the other VM.
func (sim *simulation) syncAll() {
	for range 2 {
		for _, o := range sim.owners {
			if !o.isolated && !o.lost {
				syncTables(o.table, sim.otherVM)
			}
		}
	}
}

// runUntilSettled runs as many rounds as the last owner in the order may need until it
// publishes.
func (sim *simulation) runUntilSettled() {
	for range 4 * (len(sim.owners) + 1) {
		sim.round()
	}
}

// known returns the statement that the other VM has.
func (sim *simulation) known() facts.Health {
	h, _ := sim.otherVM.Health(testTarget)
	return h
}

// checkKnown returns an error unless the other VM knows the target's current status
// and doesn't count the target as lost. Both must hold once all facts are exchanged.
func (sim *simulation) checkKnown() error {
	h := sim.known()
	if !h.SameContent(encode(sim.status)) {
		return fmt.Errorf("known %+v, the target says %+v", h, sim.status)
	}
	if lost(h, sim.ownerOrder(0).owners) {
		return fmt.Errorf("%+v counts as lost", h)
	}
	return nil
}

// TestOnlyFirstOwnerReports: if each owner published each change, the fleet would send
// several statements for one change. An unchanged target must cause none.
func TestOnlyFirstOwnerReports(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(3)
	sim.runUntilSettled()
	g.Expect(sim.checkKnown()).To(Succeed())
	before := sim.known().Stamp
	sim.runUntilSettled()
	g.Expect(sim.known().Stamp).To(Equal(before), "published again although nothing changed")
	sim.setHoldings("s2", 2)
	sim.beginRead(sim.owners[1])
	sim.finishRead(sim.owners[1])
	sim.syncAll()
	g.Expect(sim.known().Stamp).To(Equal(before), "the second did not wait for the first")
	sim.round()
	g.Expect(sim.checkKnown()).To(Succeed())
}

// TestNextOwnerReportsForFrozenOwner: the owner that publishes for a target is frozen,
// and no VM has detected that yet. The target switches to a new index. Calls of VMs
// without connections to the target would ask for the old index, which the target has
// removed. The next owner must publish the change.
func TestNextOwnerReportsForFrozenOwner(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(3)
	sim.runUntilSettled()
	sim.setHoldings("s2", 2)
	sim.runOthersUntilSettled()
	g.Expect(sim.checkKnown()).To(Succeed())
}

// TestFrozenOwnerStatementLoses: the first owner reads a target and is frozen. The
// target restarts, and the other owners publish the new incarnation. Then the first
// owner continues and publishes its old read. If that statement won, calls would use the
// holdings of an ended process. It must lose, also if the others never read the
// incarnation that the first owner read.
func TestFrozenOwnerStatementLoses(t *testing.T) {
	for _, unseen := range []bool{false, true} { // true: the others didn't see the incarnation that the first owner read
		g := NewWithT(t)
		sim := newSimulation(3)
		sim.runUntilSettled()
		first := sim.owners[0]
		first.isolated = true
		sim.restart()
		sim.beginRead(first)
		if !unseen {
			sim.runOthersUntilSettled()
		}
		sim.restart()
		sim.runOthersUntilSettled()
		g.Expect(sim.checkKnown()).To(Succeed())
		sim.finishRead(first)
		first.isolated = false
		sim.syncAll()
		g.Expect(sim.checkKnown()).To(Succeed())
	}
}

// runOthersUntilSettled lets all owners but the first read until one of them has
// published in its place.
func (sim *simulation) runOthersUntilSettled() {
	for range 4 {
		for _, o := range sim.owners[1:] {
			sim.beginRead(o)
			sim.finishRead(o)
		}
		sim.syncAll()
		sim.now = sim.now.Add(testTiming.interval)
	}
}

// TestTargetLostOnlyWhenNoOwnerCanRead: a single owner can't read a target, because of
// the network path or a failure of its own. If it could declare the target lost, all
// VMs would take its shards for missing. A target must be lost only when no live owner
// can read it.
func TestTargetLostOnlyWhenNoOwnerCanRead(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(3)
	sim.runUntilSettled()
	for i := range sim.owners {
		sim.owners[i].cannotRead = true
		sim.runUntilSettled()
		if i < len(sim.owners)-1 {
			g.Expect(sim.checkKnown()).To(Succeed(), "%d owners can't read the target", i+1)
		}
	}
	g.Expect(lost(sim.known(), sim.ownerOrder(0).owners)).To(BeTrue())
	sim.owners[1].cannotRead = false
	sim.runUntilSettled()
	g.Expect(sim.checkKnown()).To(Succeed())
}

// TestTargetDownFromTheStart: a bundle contains a target that is down. Without a
// statement about it, all VMs would try to read it through its owners at each interval.
// The owners must publish that they can't read it, and its status once it is up.
func TestTargetDownFromTheStart(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(3)
	for _, o := range sim.owners {
		o.cannotRead = true
	}
	sim.runUntilSettled()
	g.Expect(lost(sim.known(), sim.ownerOrder(0).owners)).To(BeTrue())
	sim.owners[2].cannotRead = false
	sim.runUntilSettled()
	g.Expect(sim.checkKnown()).To(Succeed())
}

// TestDrainedStaysDrained: a late read returns the state serving for a target whose
// drain was published. The target must not get new work.
func TestDrainedStaysDrained(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(2)
	sim.status.State = target.StateDraining
	sim.runUntilSettled()
	sim.status.State = target.StateServing
	sim.setHoldings("s2", 2)
	sim.runUntilSettled()
	g.Expect(decode(sim.known()).State).To(Equal(target.StateDraining))
	g.Expect(decode(sim.known()).Leaves).To(Equal(sim.status.Leaves))
}

// TestHealthConverges: owners are isolated, frozen during a read, unable to read the
// target, or permanently lost, and the target restarts and switches its index, in any
// order. Once all owners but one are healthy again, all VMs must know the target's
// current status.
func TestHealthConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(4)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			o := sim.owners[rapid.IntRange(0, 3).Draw(t, "owner")]
			sim.step(o, rapid.IntRange(0, 7).Draw(t, "what"))
		}
		for i, o := range sim.owners {
			o.cannotRead, o.isolated, o.pending = false, false, nil
			o.lost = i == 0
		}
		sim.runUntilSettled()
		if err := sim.checkKnown(); err != nil {
			t.Fatal(err)
		}
	})
}

// step does one of the things that may happen to an owner or to the target, by its number
// from 0 to 7.
func (sim *simulation) step(o *owner, action int) {
	switch action {
	case 0:
		sim.restart()
	case 1:
		sim.setHoldings(fmt.Sprint("s", sim.now.Unix()), sim.now.Unix())
	case 2:
		o.cannotRead = !o.cannotRead
	case 3:
		o.isolated = !o.isolated
	case 4, 5:
		if o.pending == nil {
			sim.beginRead(o)
		} else {
			sim.finishRead(o)
		}
	case 6:
		sim.syncAll()
	default:
		sim.round()
	}
}

// TestContentRoundTrip: if a statement lost a part of a target's status, VMs that have the
// status only from statements would not find some shards. Encoding a status and decoding
// it must keep everything apart from the loads and the order.
func TestContentRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		st := target.Status{Target: testTarget, Incarnation: "i", State: target.StateServing}
		for leaf := range rapid.IntRange(0, 3).Draw(t, "leaves") {
			l := target.LeafStatus{Leaf: leaf}
			for seq := range int64(2) {
				for shard := range 6 {
					if rapid.Bool().Draw(t, "held") {
						l.Holdings = append(l.Holdings, target.Holding{
							Snapshot: fmt.Sprint("s", seq), Seq: seq, Shards: 6, Shard: shard,
							Records: rapid.Int64Range(0, 9).Draw(t, "records"),
						})
					}
				}
			}
			st.Leaves = append(st.Leaves, l)
		}
		if got := decode(encode(st)); fmt.Sprint(got) != fmt.Sprint(st) {
			t.Fatalf("%+v became %+v", st, got)
		}
	})
}

// TestOversizedStatusIsOpaque: the status of a target doesn't fit in a statement. If
// none were published, VMs would continue to use an earlier one.
func TestOversizedStatusIsOpaque(t *testing.T) {
	g := NewWithT(t)
	st := target.Status{Target: testTarget, Incarnation: "i", State: target.StateServing, Leaves: []target.LeafStatus{{}}}
	for shard := range 2000 {
		st.Leaves[0].Holdings = append(st.Leaves[0].Holdings, target.Holding{Snapshot: "s", Shards: 2000, Shard: shard, Records: 1000})
	}
	g.Expect(encode(st).Opaque).To(BeTrue())
	g.Expect(encode(target.Status{Target: testTarget, Incarnation: "i", State: "resting"}).Opaque).To(BeTrue())
}
