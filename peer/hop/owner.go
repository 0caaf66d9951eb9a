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
	Leaves Leaves // calls targets over this VM's own connections
	// Slots returns the number of slots of a leaf, which is the number of calls that
	// the leaf runs at once, and true if this VM owns connections to its target. It
	// returns false otherwise. It must be safe for concurrent use.
	Slots func(target string, leaf int) (int, bool)
	// MaxCalls bounds the number of calls accepted from other VMs, including those that
	// wait for a slot; default 4096. It is separate from the bound on callers'
	// requests, and a call accepted from another VM is never forwarded to a third one,
	// so VMs can't deadlock by waiting for each other.
	MaxCalls int
}

// defaultMaxCalls is the default of OwnerOptions.MaxCalls: the number of calls accepted
// from other VMs at one time.
const defaultMaxCalls = 4096

// Owner serves calls of other VMs to the targets that this VM owns connections
// to. It is safe for concurrent use.
type Owner struct {
	opts     OwnerOptions
	statuses statusCache // the statuses of targets that were read less than maxStatusAge ago

	mu       sync.Mutex              // guards the fields below; locked before a session's mu
	queues   map[leafKey]*slotQueue  // the slots of each leaf and the calls that wait for them
	calls    int                     // number of calls of other VMs, waiting or in flight
	sessions map[*wire.Conn]*session // by connection of another VM that calls through this one
	draining bool                    // Drain was called
}

// leafKey identifies a leaf.
type leafKey struct {
	target string // name of the leaf's target
	leaf   int    // number of the leaf
}

// session holds the state of one connection of another VM to this owner.
type session struct {
	owner   *Owner
	conn    *wire.Conn
	ctx     context.Context   // ends with the connection
	wake    chan struct{}     // signals sendLoop; buffers one signal
	cancels map[uint64]func() // by ID of a waiting or running call that isn't a status read: cancels the call; guarded by Owner.mu

	mu      sync.Mutex // guards the fields below
	answers []Answer   // answers that sendLoop has not taken yet
	unsent  int        // number of answers that are queued or being written
}

// NewOwner returns an owner without connections of other VMs. Pass its Handle method to
// the wire server.
func NewOwner(o OwnerOptions) *Owner {
	if o.MaxCalls <= 0 {
		o.MaxCalls = defaultMaxCalls
	}
	return &Owner{opts: o, queues: map[leafKey]*slotQueue{}, sessions: map[*wire.Conn]*session{}}
}

// drainPollInterval is the interval at which Drain checks for calls in flight.
const drainPollInterval = 5 * time.Millisecond

// Drain refuses further calls of other VMs. It waits until none of their calls is waiting
// or in flight and all answers have been passed to their connections, or until ctx ends.
// In the latter case it returns the error of ctx. VMs that know no other owner keep
// sending calls. If these were accepted, Drain might never return.
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

// Calls returns the number of calls of other VMs that are waiting or in flight.
func (o *Owner) Calls() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.calls
}

// busy reports whether calls of other VMs are waiting or in flight, or answers to them
// are unsent.
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

// Handle serves the methods that other VMs call on an owner. It is a wire.Handler.
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

// startBatch admits or refuses each call of a batch. It doesn't wait for any of them.
func (o *Owner) startBatch(conn *wire.Conn, b *Batch) error {
	if len(b.Calls) > MaxBatchCalls {
		return result.Errorf(result.BadMessage, "batch of %d calls exceeds the limit of %d", len(b.Calls), MaxBatchCalls)
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

// sessionFor returns the session of a connection and creates it on first use.
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

// admit queues or starts one call, or returns the reason for its refusal; nil means that
// the call was admitted. A refused call has not been sent to the target.
func (o *Owner) admit(s *session, call *Call, now time.Time) *Failure {
	deadlineMS := call.deadlineMS()
	slots, owned := o.opts.Slots(call.Target, call.Leaf)
	// The call is malformed, or this VM doesn't own connections to the target.
	if deadlineMS == nil || !owned {
		return &Failure{Kind: target.ErrorUnknownTarget, NotStarted: true}
	}
	timeout := time.Duration(*deadlineMS) * time.Millisecond
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
	// q decides whether the call runs or expires; run and expire carry that out.
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
	// Ends the call's context. A call that still waits is also removed, without an answer.
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

// queueFor returns the queue of a leaf. It creates the queue on first use and updates its
// number of slots. The caller must hold mu.
func (o *Owner) queueFor(key leafKey, slots int) *slotQueue {
	q := o.queues[key]
	if q == nil {
		q = newSlotQueue(slots)
		o.queues[key] = q
	}
	q.slots = max(slots, 1)
	return q
}

// releaseSlot passes the slot of a call that has ended to the next waiting call, and
// fails waiting calls whose deadline has passed. took is how long the ended call held
// the slot. The caller must hold mu.
func (o *Owner) releaseSlot(q *slotQueue, took time.Duration, now time.Time) {
	next, expired := q.release(took, now)
	for _, w := range expired {
		w.expire()
	}
	if next != nil {
		next.run()
	}
}

// admitStatus starts a read of a target's status, or returns the reason for its
// refusal. The read doesn't need a slot of a leaf.
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

// removeCall removes the call with this ID from its session and from the count of calls.
// It does nothing if the call has already been removed. The caller must hold mu.
func (o *Owner) removeCall(s *session, id uint64) {
	if _, known := s.cancels[id]; known {
		delete(s.cancels, id)
		o.calls--
	}
}

// runCall makes a call that holds a slot of its leaf, queues the answer for the calling
// VM and releases the slot. q is the queue of the leaf.
func (o *Owner) runCall(ctx context.Context, s *session, q *slotQueue, call *Call) {
	start := time.Now()
	answer := o.callLeaf(ctx, call)
	now := time.Now()
	s.addAnswer(answer)
	o.mu.Lock()
	if stop := s.cancels[call.ID]; stop != nil {
		stop() // releases the timer of the call's context
	}
	o.removeCall(s, call.ID)
	o.releaseSlot(q, now.Sub(start), now)
	o.mu.Unlock()
}

// callLeaf makes a search or a non-idempotent request and returns its answer.
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

// cancelCalls cancels the calls with the given IDs that were received on a connection.
// IDs of calls that have ended are ignored.
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

// addAnswer queues an answer and wakes sendLoop.
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

// sendLoop sends queued answers until the connection ends. Answers that are queued
// while a message is being written go into the next message. cancel ends the session's
// context.
func (s *session) sendLoop(cancel func()) {
	defer s.close(cancel)
	for {
		select {
		case <-s.conn.Done():
			return
		case <-s.wake:
		}
		s.mu.Lock()
		answers := s.answers
		s.answers = nil
		s.mu.Unlock()
		if len(answers) > 0 && s.sendAnswers(answers) != nil {
			s.conn.Close()
			return
		}
		s.mu.Lock()
		s.unsent -= len(answers)
		s.mu.Unlock()
	}
}

// hasUnsent reports whether answers are queued or being written.
func (s *session) hasUnsent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unsent > 0
}

// sendAnswers sends answers to the calling VM in one message.
func (s *session) sendAnswers(answers []Answer) error {
	return notify(s.conn, MethodAnswers, Answers{Answers: answers})
}

// close removes the session of a connection that has ended and cancels its calls, since
// their answers can't be delivered. cancel ends the session's context.
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
