package edge

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"sync"
	"syscall"
	"time"

	"github.com/bramleybarrow/bramleybarrow/room"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

const (
	// roomInterval is the time between two readings of this VM's room. A reading costs one timer
	// and one system call.
	roomInterval = 200 * time.Millisecond
	// roomLogInterval is the shortest time between two log lines about this VM's own room, and
	// between two about that of others.
	roomLogInterval = 10 * time.Second
	// shortRoom and enoughRoom are the factors of room below which a VM logs that it is short of
	// room, and from which it logs that it has room again.
	shortRoom  = 0.4
	enoughRoom = 0.7
)

// roomReport is what a VM tells of its room in a gatherAnswer. Its times are differences on the
// clock of that VM.
type roomReport struct {
	BusyPerMille int64 `cbor:"1,keyasint"` // processor time used, in thousandths of the VM's nominal power
	LateUS       int64 `cbor:"2,keyasint"` // how late its timers run, in microseconds
	AgeMS        int64 `cbor:"3,keyasint"` // time since the reading, in milliseconds
}

// newRoomReport returns the report of a state that is age old.
func newRoomReport(s room.State, age time.Duration) *roomReport {
	return &roomReport{
		BusyPerMille: int64(math.Round(s.Busy * 1000)),
		LateUS:       s.Late.Microseconds(),
		AgeMS:        age.Milliseconds(),
	}
}

// Bounds of the values of a report, beyond those of package room, so that they fit a time.Duration.
const (
	maxReportedLateUS = int64(time.Minute / time.Microsecond)
	maxReportedAgeMS  = int64(time.Hour / time.Millisecond)
)

// state returns the reported state and its age.
func (r *roomReport) state() (room.State, time.Duration) {
	return room.State{
		Busy: float64(r.BusyPerMille) / 1000,
		Late: time.Duration(min(max(r.LateUS, 0), maxReportedLateUS)) * time.Microsecond,
	}, time.Duration(min(max(r.AgeMS, 0), maxReportedAgeMS)) * time.Millisecond
}

// ownRoom measures the room of this VM. It is safe for concurrent use. A nil *ownRoom measures
// nothing.
type ownRoom struct {
	handOver bool        // this VM hands requests over while it is short of room, and takes those of others
	ready    func() bool // whether callers should send requests to this VM

	mu      sync.Mutex
	meter   *room.Meter
	shortOf room.Shortage
}

// add takes a reading.
func (o *ownRoom) add(s room.Sample) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.meter.Add(s)
}

// state returns the state of this VM and its age. ok is false if it is not known.
func (o *ownRoom) state(now time.Time) (s room.State, age time.Duration, ok bool) {
	if o == nil {
		return room.State{}, 0, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.meter.State(now)
}

// shortage returns the share of its nominal power that this VM can give to more work, and whether
// it is to hand requests over since that is too little.
func (o *ownRoom) shortage(now time.Time) (factor float64, short bool) {
	s, _, ok := o.state(now)
	if !ok || !o.handOver {
		return 1, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	factor = s.Factor()
	return factor, o.shortOf.Update(factor)
}

// mayTake reports whether this VM takes requests of others.
func (o *ownRoom) mayTake(now time.Time) bool {
	s, _, ok := o.state(now)
	return ok && o.handOver && s.Factor() >= room.TakerFactor && o.ready()
}

// useRoom makes this VM measure its room and tell it, and choose other VMs by theirs, as far as the
// settings say. power is its nominal power in cores; ready reports whether it takes callers.
func (e *Engine) useRoom(power float64, settings RoomSettings, ready func() bool) {
	e.room.Store(&ownRoom{meter: room.NewMeter(power), handOver: settings.HandOver, ready: ready})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.UseRoom()
	if settings.Spill {
		e.table.AllowSpill()
	}
}

// tellRoom adds the room of this VM to an answer to another VM, if it is measured.
func (e *Engine) tellRoom(ans *gatherAnswer) {
	if s, age, ok := e.room.Load().state(time.Now()); ok {
		ans.Room = newRoomReport(s, age)
	}
}

// roomObserver is a peerClient that records what other VMs tell of their room, and how long they
// take for their answers.
type roomObserver struct {
	peerClient
	e *Engine
}

// gather implements peerClient.
func (o roomObserver) gather(ctx context.Context, vm scatter.VM, call *gatherCall, onSent func(), onAnswer func(*gatherAnswer)) error {
	heard := heardCall{vm: vm.Name, objective: time.Duration(call.LatencyObjectiveUS) * time.Microsecond}
	return o.peerClient.gather(ctx, vm, call, func() {
		heard.sentAt = time.Now()
		onSent()
	}, func(ans *gatherAnswer) {
		o.e.recordRoom(&heard, ans)
		onAnswer(ans)
	})
}

// heardCall is what was heard so far of a call to another VM.
type heardCall struct {
	vm        string
	objective time.Duration // latency objective of the request
	sentAt    time.Time     // when the call was written
	acked     bool          // a message of the VM was received
	answered  bool          // an answer with shards, or the last one, was received
}

// recordRoom records what an answer says of the room of the VM that sent it.
func (e *Engine) recordRoom(heard *heardCall, ans *gatherAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if !heard.acked {
		e.table.CallAcknowledged(now, heard.vm, now.Sub(heard.sentAt))
	}
	heard.acked = true
	if !heard.answered && (len(ans.Included) > 0 || ans.Last) {
		e.table.CallAnswered(now, heard.vm, heard.objective, now.Sub(heard.sentAt))
		heard.answered = true
	}
	if ans.Room != nil {
		s, age := ans.Room.state()
		e.table.RoomTold(now, heard.vm, s, age)
	}
}

// measureRoom takes readings of this VM's room until ctx ends, if the settings ask for it.
func (n *Node) measureRoom(ctx context.Context) {
	if !n.settings.Room.Measure {
		return
	}
	n.engine.useRoom(n.settings.Power, n.settings.Room, n.isReady)
	own := n.engine.room.Load()
	log := roomLog{log: n.log}
	for ctx.Err() == nil {
		due := time.Now().Add(roomInterval)
		sleep(ctx, roomInterval)
		now := time.Now()
		used, err := processorTime()
		if err != nil {
			n.log.Error("reading this VM's processor time failed; its room is not measured", "error", err)
			return
		}
		own.add(room.Sample{At: now, CPU: used, Late: now.Sub(due)})
		if s, _, ok := own.state(now); ok {
			n.engine.setOwnRoom(s.Factor())
			log.own(now, s)
		}
		if log.othersDue(now) {
			log.others(n.engine.roomStats())
		}
	}
}

// processorTime returns the processor time that this process has used since its start.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// setOwnRoom records the room of this VM.
func (e *Engine) setOwnRoom(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.SetOwnRoom(factor)
}

// roomStats returns what this VM believes of the room of others.
func (e *Engine) roomStats() scatter.RoomStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.RoomStats(time.Now())
}

// roomLog writes log lines about room, no more than one of a kind per roomLogInterval.
type roomLog struct {
	log      *slog.Logger
	short    bool      // the latest line says that this VM is short of room
	ownAt    time.Time // when a line about this VM was written
	othersAt time.Time // when the others were last looked at
	spilling bool      // the latest line about this VM's zone says that it is short of room
	leftOut  int       // number of VMs left out in the latest line about others
}

// own logs that this VM is short of room, or has room again.
func (l *roomLog) own(now time.Time, s room.State) {
	factor := s.Factor()
	if now.Sub(l.ownAt) < roomLogInterval || l.short && factor < enoughRoom || !l.short && factor >= shortRoom {
		return
	}
	l.ownAt, l.short = now, !l.short
	msg := "this VM has room again"
	if l.short {
		msg = "this VM is short of room"
	}
	l.log.Info(msg, "room", factor, "busy", s.Busy, "late_ms", s.Late.Milliseconds())
}

// othersDue reports whether the room of others has to be looked at now.
func (l *roomLog) othersDue(now time.Time) bool {
	if now.Sub(l.othersAt) < roomLogInterval {
		return false
	}
	l.othersAt = now
	return true
}

// others logs whether requests go through other zones, and how many VMs are not called for lack of
// room, each if that has changed.
func (l *roomLog) others(stats scatter.RoomStats) {
	if stats.Spilling != l.spilling {
		l.spilling = stats.Spilling
		msg := "this zone has room again"
		if l.spilling {
			msg = "this zone is short of room; some requests go through other zones"
		}
		l.log.Info(msg, "room", stats.Home, "spilled", stats.Spilled)
	}
	if stats.LeftOut == l.leftOut {
		return
	}
	l.leftOut = stats.LeftOut
	l.log.Info("VMs left out for lack of room", "vms", stats.LeftOut, "lowest", stats.Lowest, "believed", stats.Believed, "shifted", stats.Shifted)
}

// writeRoomMetrics writes the metrics of room, if it is measured.
func (e *Engine) writeRoomMetrics(w io.Writer) {
	s, _, ok := e.room.Load().state(time.Now())
	if !ok {
		return
	}
	stats := e.roomStats()
	fmt.Fprintf(w, "bramley_edge_room %g\n", s.Factor())
	fmt.Fprintf(w, "bramley_edge_room_busy %g\n", s.Busy)
	fmt.Fprintf(w, "bramley_edge_room_late_seconds %g\n", s.Late.Seconds())
	fmt.Fprintf(w, "bramley_edge_room_believed_vms %d\n", stats.Believed)
	fmt.Fprintf(w, "bramley_edge_room_left_out_vms %d\n", stats.LeftOut)
	fmt.Fprintf(w, "bramley_edge_room_lowest_believed %g\n", stats.Lowest)
	fmt.Fprintf(w, "bramley_edge_room_home_zone %g\n", stats.Home)
	fmt.Fprintf(w, "bramley_edge_room_spilled_requests_total %d\n", stats.Spilled)
	fmt.Fprintf(w, "bramley_edge_room_choices_shifted_total %d\n", stats.Shifted)
	fmt.Fprintf(w, "bramley_edge_room_rises_damped_total %d\n", stats.Damped)
}
