package edge

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/bramleybarrow/bramleybarrow/intake"
)

// Shares of a VM's memory and descriptors. docs/design/intake.md has the sum.
const (
	intakeShare      = 0.35        // memory for what callers make this VM hold, as a share of its own
	largeBodyShare   = 0.75        // part of that for large bodies
	receiveShare     = 0.25        // memory for bytes that the kernel has received from callers, as a share of this VM's
	longAnswerShare  = 0.125       // memory for long answers of leafs while they are read, as a share of this VM's
	callerFDShare    = 0.7         // descriptors for callers' connections; the rest is for leafs, other VMs, the store and readiness
	receiveBuffer    = 64 << 10    // receive buffer of a caller's connection, in bytes
	minReceiveBuffer = 16 << 10    // the same while many are open
	bodyChunk        = 2 << 10     // bytes of a body that are read at once
	firstBodySize    = 512         // first capacity for a body without a length, in bytes
	evictionLogPause = time.Second // between log lines about connections that give way
)

// callerLimits returns the limits of what callers make a VM with so much memory hold, and with so many
// descriptors; 0 descriptors means that their number is not known.
func callerLimits(memoryMB float64, fds int) intake.Limits {
	memory := memoryMB * (1 << 20)
	limits := intake.Limits{
		Bytes:       int64(intakeShare * memory),
		LargeBodies: int64(largeBodyShare * intakeShare * memory),
		Conns:       int(receiveShare * memory / minReceiveBuffer),
	}
	if fds > 0 {
		limits.Conns = min(limits.Conns, int(callerFDShare*float64(fds)))
	}
	return limits
}

// descriptorLimit returns how many descriptors this process may open: the number that its settings state, 0 for
// none, or the operating system's if that is lower. It returns 0 if neither is known.
func descriptorLimit(stated int) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 || limit.Cur > 1<<30 {
		return stated
	}
	if stated <= 0 {
		return int(limit.Cur)
	}
	return min(stated, int(limit.Cur))
}

// callerIntake owns the account of what callers make this VM hold, and closes the connections that give way. It
// is safe for concurrent use.
type callerIntake struct {
	log     *slog.Logger
	mu      sync.Mutex // guards the fields below
	account *intake.Account
	gaveWay map[intake.Phase]uint64 // connections by the phase in which they gave way
	refused map[string]uint64       // what was refused, by the kind of demand
	logged  time.Time               // time of the latest log line about these
}

// The kinds of demands that may be refused, in metrics.
const (
	demandConn   = "connection" // a caller's connection
	demandHeader = "header"     // the header of a request
	demandBody   = "body"       // the body of a request
	demandCopy   = "copy"       // a copy of a request for another VM
	demandVM     = "vm"         // a call of another VM
	demandAnswer = "answer"     // an answer that is sent; always granted
)

// newCallerIntake returns an intake without connections.
func newCallerIntake(limits intake.Limits, log *slog.Logger) *callerIntake {
	return &callerIntake{log: log, account: intake.NewAccount(limits), gaveWay: make(map[intake.Phase]uint64), refused: make(map[string]uint64)}
}

// decide lets f change the account, and carries out the evictions that f returns. It counts a demand of this kind
// that f refuses.
func (i *callerIntake) decide(kind string, f func(now time.Time, a *intake.Account) (ok bool, evicted []intake.Eviction)) bool {
	i.mu.Lock()
	now := time.Now()
	ok, evicted := f(now, i.account)
	if !ok {
		i.refused[kind]++
	}
	for _, ev := range evicted {
		i.gaveWay[ev.Phase]++
	}
	shouldLog := (len(evicted) > 0 || !ok) && now.Sub(i.logged) >= evictionLogPause
	if shouldLog {
		i.logged = now
	}
	bytes, conns := i.account.Held()
	i.mu.Unlock()
	for _, ev := range evicted {
		ev.Conn.Owner.(*callerConn).giveWay(ev.Close)
	}
	if shouldLog {
		limits := i.account.Limits()
		i.log.Warn("callers hold too much", "demand", kind, "granted", ok, "evicted", len(evicted),
			"bytes", bytes, "limit_bytes", limits.Bytes, "connections", conns, "limit_connections", limits.Conns)
	}
	return ok
}

// update lets f change the account without evicting connections.
func (i *callerIntake) update(f func(now time.Time, a *intake.Account)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f(time.Now(), i.account)
}

// admit reports whether a connection that was accepted may stay open. While many are open, the kernel receives less
// on each.
func (i *callerIntake) admit(c *callerConn) bool {
	var conns int
	ok := i.decide(demandConn, func(now time.Time, a *intake.Account) (bool, []intake.Eviction) {
		var evicted []intake.Eviction
		c.held, evicted = a.Open(now, c)
		_, conns = a.Held()
		return c.held != nil, evicted
	})
	if limit := i.account.Limits().Conns; ok && limit > 0 && conns > limit*minReceiveBuffer/receiveBuffer/2 {
		_ = c.SetReadBuffer(minReceiveBuffer) // an error means that the caller has disconnected
	}
	return ok
}

// reserve counts so many bytes of copies of a request, and reports whether there is room. If so, the function
// that it returns has to be called when they are not used any more.
func (i *callerIntake) reserve(kind string, size int64) (free func(), ok bool) {
	if size == 0 {
		return func() {}, true
	}
	ok = i.decide(kind, func(now time.Time, a *intake.Account) (bool, []intake.Eviction) { return a.Reserve(now, size) })
	if !ok {
		return nil, false
	}
	return sync.OnceFunc(func() { i.update(func(_ time.Time, a *intake.Account) { a.Free(size) }) }), true
}

// writeMetrics writes what callers hold, its limits, and what gave way, in the Prometheus text format.
func (i *callerIntake) writeMetrics(w io.Writer) {
	i.mu.Lock()
	defer i.mu.Unlock()
	limits := i.account.Limits()
	bytes, conns := i.account.Held()
	fmt.Fprintf(w, "bramley_edge_caller_bytes %d\n", bytes)
	fmt.Fprintf(w, "bramley_edge_caller_bytes_limit %d\n", limits.Bytes)
	fmt.Fprintf(w, "bramley_edge_caller_connections %d\n", conns)
	fmt.Fprintf(w, "bramley_edge_caller_connections_limit %d\n", limits.Conns)
	for _, phase := range intake.Evictable() {
		fmt.Fprintf(w, "bramley_edge_callers_evicted_total{phase=%q} %d\n", phase, i.gaveWay[phase])
	}
	for _, kind := range []string{demandConn, demandHeader, demandBody, demandCopy, demandVM} {
		fmt.Fprintf(w, "bramley_edge_intake_refusals_total{demand=%q} %d\n", kind, i.refused[kind])
	}
}

// heldBody is the body of a request, which counts as held until its last user has released it. A nil *heldBody is
// that of a request without one.
type heldBody struct {
	free  func()
	users atomic.Int64
}

// newHeldBody returns a body with one user. free ends its count.
func newHeldBody(free func()) *heldBody {
	b := &heldBody{free: free}
	b.users.Store(1)
	return b
}

// retain adds a user.
func (b *heldBody) retain() {
	if b != nil {
		b.users.Add(1)
	}
}

// release removes a user.
func (b *heldBody) release() {
	if b != nil && b.users.Add(-1) == 0 {
		b.free()
	}
}
