package hop

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/target"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// OwnerOptions configure an Owner. All but MaxCalls are required.
type OwnerOptions struct {
	Leaves Leaves
	// Slots returns the slots of a leaf if this VM owns connections to its
	// target, and false for any other.
	Slots func(target string, leaf int) (int, bool)
	// MaxCalls bounds the calls taken from peers, waiting ones included. It is
	// apart from the bound on callers' work, and a call taken from a peer never
	// waits for another VM, so that VMs can't block one another in a circle.
	MaxCalls int // default 4096
}

const defaultMaxCalls = 4096

// Owner serves calls of other VMs to the targets that this VM owns connections
// to. It is safe for concurrent use.
type Owner struct {
	opts     OwnerOptions
	statuses statusCache

	mu       sync.Mutex // guards what follows; taken before a session's mu
	queues   map[leafKey]*slotQueue
	calls    int
	sessions map[*wire.Conn]*session
	draining bool // Drain was called
}

type leafKey struct {
	target string
	leaf   int
}

// session is what an owner does for one connection.
type session struct {
	owner   *Owner
	conn    *wire.Conn
	ctx     context.Context // ends with the connection
	wake    chan struct{}
	cancels map[uint64]func() // of calls under way; guarded by Owner.mu

	mu      sync.Mutex // guards what follows
	answers []Answer   // to be sent
	unsent  int        // answers to be sent or being sent
}

// NewOwner returns an owner without any connection.
func NewOwner(o OwnerOptions) *Owner {
	if o.MaxCalls <= 0 {
		o.MaxCalls = defaultMaxCalls
	}
	return &Owner{opts: o, queues: map[leafKey]*slotQueue{}, sessions: map[*wire.Conn]*session{}}
}

// drainPollInterval is the time between looks at whether calls are still under way.
const drainPollInterval = 5 * time.Millisecond

// Drain takes no further call and waits until none of another VM is under way and
// all answers have been handed to their connections, or ctx ends. VMs that know of
// no other owner call until the end; it would not come if their calls were taken.
func (o *Owner) Drain(ctx context.Context) error {
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
	for o.busy() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPollInterval):
		}
	}
	return nil
}

// Calls returns the number of calls of other VMs under way.
func (o *Owner) Calls() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.calls
}

func (o *Owner) busy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls > 0 {
		return true
	}
	for _, s := range o.sessions {
		if s.hasUnsent() {
			return true
		}
	}
	return false
}

// Handle serves the methods of this package; it is a wire.Handler.
func (o *Owner) Handle(_ context.Context, conn *wire.Conn, method string, params json.RawMessage) (any, error) {
	switch method {
	case MethodCalls:
		b, err := decode[Batch](conn, params)
		if err != nil {
			return nil, err
		}
		return nil, o.startBatch(conn, b)
	case MethodCancel:
		var c Cancel
		if err := json.Unmarshal(params, &c); err != nil {
			return nil, result.Wrap(result.BadMessage, err, "")
		}
		o.cancelCalls(conn, c.IDs)
		return nil, nil
	default:
		return nil, result.Errorf(result.UnknownMethod, "%q", method)
	}
}

func (o *Owner) startBatch(conn *wire.Conn, b *Batch) error {
	if len(b.Calls) > MaxBatchCalls {
		return result.Errorf(result.BadMessage, "%d calls, at most %d", len(b.Calls), MaxBatchCalls)
	}
	s := o.sessionFor(conn)
	now := time.Now()
	for i := range b.Calls {
		if f := o.admit(s, &b.Calls[i], now); f != nil {
			s.addAnswer(Answer{ID: b.Calls[i].ID, Failure: f})
		}
	}
	return nil
}

func (o *Owner) sessionFor(conn *wire.Conn) *session {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s, ok := o.sessions[conn]; ok {
		return s
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &session{owner: o, conn: conn, ctx: ctx, wake: make(chan struct{}, 1), cancels: map[uint64]func(){}}
	o.sessions[conn] = s
	go s.sendLoop(cancel)
	return s
}

// admit queues or runs one call, or returns why it does neither. None of the
// refusals has touched the target.
func (o *Owner) admit(s *session, call *Call, now time.Time) *Failure {
	timeLeft := call.deadline()
	slots, owned := o.opts.Slots(call.Target, call.Leaf)
	if timeLeft == nil || !owned {
		return &Failure{Kind: target.ErrorUnknownTarget, NotStarted: true}
	}
	timeout := time.Duration(*timeLeft) * time.Millisecond
	if call.Status != nil {
		return o.admitStatus(s, call, timeout)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining {
		return &Failure{Kind: target.ErrorUnknownTarget, NotStarted: true}
	}
	if _, duplicate := s.cancels[call.ID]; duplicate || o.calls >= o.opts.MaxCalls {
		return &Failure{Kind: target.ErrorBusy, NotStarted: true}
	}
	q := o.queueFor(leafKey{call.Target, call.Leaf}, slots)
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	w := &waiter{peer: s.conn.Peer().VM, deadline: now.Add(timeout)}
	w.run = func() { go o.runCall(ctx, s, q, call) }
	w.expire = func() {
		o.removeCall(s, call.ID)
		s.addAnswer(Answer{ID: call.ID, Failure: &Failure{Kind: target.ErrorDeadline, NotStarted: true}})
	}
	run, accepted, wait := q.offer(w, now)
	if !accepted {
		cancel()
		return &Failure{Kind: target.ErrorRefused, Reason: target.ReasonShed, NotStarted: true, RetryAfterMS: wait.Milliseconds()}
	}
	o.calls++
	s.cancels[call.ID] = func() {
		cancel()
		if q.remove(w) {
			o.removeCall(s, call.ID)
		}
	}
	if run {
		w.run()
	}
	return nil
}

// queueFor must hold mu.
func (o *Owner) queueFor(key leafKey, slots int) *slotQueue {
	q := o.queues[key]
	if q == nil {
		q = newSlotQueue(slots)
		o.queues[key] = q
	}
	q.slots = max(slots, 1)
	return q
}

// releaseSlot gives the slot of a call that has ended to the next. It must hold mu.
func (o *Owner) releaseSlot(q *slotQueue, took time.Duration, now time.Time) {
	next, expired := q.release(took, now)
	for _, w := range expired {
		w.expire()
	}
	if next != nil {
		next.run()
	}
}

// admitStatus reads a target's status apart from the leaves' slots.
func (o *Owner) admitStatus(s *session, call *Call, timeout time.Duration) *Failure {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining {
		return &Failure{Kind: target.ErrorUnknownTarget, NotStarted: true}
	}
	if o.calls >= o.opts.MaxCalls {
		return &Failure{Kind: target.ErrorBusy, NotStarted: true}
	}
	o.calls++
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, timeout)
		defer cancel()
		answer := Answer{ID: call.ID}
		if status, err := o.statuses.read(ctx, o.opts.Leaves, call.Target); err != nil {
			answer.Failure = failureOf(err)
		} else {
			answer.Status = &status
		}
		s.addAnswer(answer)
		o.mu.Lock()
		o.calls--
		o.mu.Unlock()
	}()
	return nil
}

// removeCall must hold mu.
func (o *Owner) removeCall(s *session, id uint64) {
	if _, known := s.cancels[id]; known {
		delete(s.cancels, id)
		o.calls--
	}
}

func (o *Owner) runCall(ctx context.Context, s *session, q *slotQueue, call *Call) {
	start := time.Now()
	answer := o.callLeaf(ctx, call)
	now := time.Now()
	s.addAnswer(answer)
	o.mu.Lock()
	if stop := s.cancels[call.ID]; stop != nil {
		stop() // frees the call's timer
	}
	o.removeCall(s, call.ID)
	o.releaseSlot(q, now.Sub(start), now)
	o.mu.Unlock()
}

func (o *Owner) callLeaf(ctx context.Context, call *Call) Answer {
	answer := Answer{ID: call.ID}
	if call.Search != nil {
		a, err := o.opts.Leaves.Search(ctx, call.Target, call.Leaf, *call.Search)
		if err != nil {
			answer.Failure = failureOf(err)
			return answer
		}
		answer.Search = &a
		return answer
	}
	a, err := o.opts.Leaves.Submit(ctx, call.Target, call.Leaf, *call.Submit)
	if err != nil {
		answer.Failure = failureOf(err)
		return answer
	}
	answer.Submit = &a
	return answer
}

func (o *Owner) cancelCalls(conn *wire.Conn, ids []uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.sessions[conn]
	if s == nil {
		return
	}
	for _, id := range ids {
		if stop := s.cancels[id]; stop != nil {
			stop()
		}
	}
}

// addAnswer hands an answer to the sender.
func (s *session) addAnswer(a Answer) {
	s.mu.Lock()
	s.answers = append(s.answers, a)
	s.unsent++
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// sendLoop sends what is done until the connection ends; what gets done while a
// message is being written goes into the next.
func (s *session) sendLoop(cancel func()) {
	defer s.close(cancel)
	for {
		select {
		case <-s.conn.Done():
			return
		case <-s.wake:
		}
		s.mu.Lock()
		done := s.answers
		s.answers = nil
		s.mu.Unlock()
		if len(done) > 0 && s.sendAnswers(done) != nil {
			s.conn.Close()
			return
		}
		s.mu.Lock()
		s.unsent -= len(done)
		s.mu.Unlock()
	}
}

func (s *session) hasUnsent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unsent > 0
}

func (s *session) sendAnswers(done []Answer) error {
	return notify(s.conn, MethodAnswers, Answers{Answers: done})
}

// close gives up all calls of a connection: nobody waits for them any more.
func (s *session) close(cancel func()) {
	cancel()
	o := s.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.sessions, s.conn)
	for _, stop := range s.cancels {
		stop()
	}
}
