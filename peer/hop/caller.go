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

// batchDelay is how long the first call of a batch waits for further calls that go to
// the same owner in the same message. A query sends all its calls in far less time, and
// the delay is small compared with the time that a leaf takes.
const batchDelay = 200 * time.Microsecond

// Caller calls leaves through one owner, a VM that has connections to their targets. It
// holds the connection to that VM. It is safe for concurrent use.
type Caller struct {
	conn *wire.Conn
	wake chan struct{} // signals sendLoop; buffers one signal

	mu      sync.Mutex          // guards the fields below
	lastID  uint64              // ID of the last call; IDs count up from 1
	calls   map[uint64]*pending // calls that are neither answered nor cancelled, by ID
	unsent  []*pending          // calls that sendLoop has not sent yet, including cancelled ones
	cancels []uint64            // IDs of cancelled calls that the owner has to be notified of
	ended   bool                // the connection has ended
}

// pending is a call of this VM that waits for the answer of the owner. Caller.mu guards
// sent.
type pending struct {
	call   Call
	sent   bool        // the call may have reached the owner
	answer chan Answer // buffers one answer
}

// Dial connects to an owner at an address of the form host:port. It overrides the
// Use, Handler and WaitForCallSlot of o: the connection serves only this package.
func Dial(ctx context.Context, address string, o wire.Options, counters *wire.Counters) (*Caller, error) {
	c := &Caller{wake: make(chan struct{}, 1), calls: map[uint64]*pending{}}
	o.Use = ConnUse
	o.Handler = c.handle
	// If a busy connection refused messages, the answers in them would be lost, and their
	// calls would wait until the deadline.
	o.WaitForCallSlot = true
	conn, err := wire.Dial(ctx, address, o, counters)
	if err != nil {
		return nil, err
	}
	c.conn = conn
	conn.Serve()
	go c.sendLoop()
	return c, nil
}

// Close closes the connection. Calls in flight fail.
func (c *Caller) Close() {
	c.conn.Close()
	c.conn.Wait()
}

// Done is closed when the connection has ended.
func (c *Caller) Done() <-chan struct{} { return c.conn.Done() }

// Search searches one leaf through the owner. The error is a *target.CallError.
func (c *Caller) Search(ctx context.Context, name string, leaf int, req target.LeafRequest) (target.LeafAnswer, error) {
	answer, err := c.do(ctx, Call{Target: name, Leaf: leaf, Search: &req})
	switch {
	case err != nil:
		return target.LeafAnswer{}, err
	case answer.Search == nil:
		return target.LeafAnswer{}, &target.CallError{Kind: target.ErrorMalformed, Target: name}
	case answer.Search.Echo != req.Echo:
		c.conn.Close() // other answers of this connection can't be trusted either
		return target.LeafAnswer{}, &target.CallError{Kind: target.ErrorMismatched, Target: name}
	}
	return *answer.Search, nil
}

// Submit sends a non-idempotent request to one leaf through the owner, once. The
// error is a *target.CallError. Unless NotStarted is set in the error, the request may
// have been executed.
func (c *Caller) Submit(ctx context.Context, name string, leaf int, req target.SubmitRequest) (target.SubmitAnswer, error) {
	answer, err := c.do(ctx, Call{Target: name, Leaf: leaf, Submit: &req})
	switch {
	case err != nil:
		return target.SubmitAnswer{}, err
	case answer.Submit == nil:
		return target.SubmitAnswer{}, &target.CallError{Kind: target.ErrorMalformed, Target: name}
	case answer.Submit.Echo != req.Echo || answer.Submit.Key != req.Key:
		c.conn.Close()
		return target.SubmitAnswer{}, &target.CallError{Kind: target.ErrorMismatched, Target: name}
	}
	return *answer.Submit, nil
}

// Status reads a target's status through the owner, which may return a status that
// it read up to maxStatusAge ago. The error is a *target.CallError.
func (c *Caller) Status(ctx context.Context, name string) (target.Status, error) {
	answer, err := c.do(ctx, Call{Target: name, Status: &StatusRequest{}})
	switch {
	case err != nil:
		return target.Status{}, err
	case answer.Status == nil || answer.Status.Target != name:
		return target.Status{}, &target.CallError{Kind: target.ErrorMalformed, Target: name}
	}
	return *answer.Status, nil
}

// do sends one call and waits for its answer or the end of ctx. The call's deadline is
// set to the time that is left until the deadline of ctx, or to defaultCallTimeout.
func (c *Caller) do(ctx context.Context, call Call) (Answer, error) {
	timeout := defaultCallTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	if timeout < time.Millisecond {
		return Answer{}, &target.CallError{Kind: target.ErrorDeadline, Target: call.Target, NotStarted: true}
	}
	*call.deadlineMS() = timeout.Milliseconds()
	p := &pending{call: call, answer: make(chan Answer, 1)}
	if !c.enqueue(p) {
		return Answer{}, &target.CallError{Kind: target.ErrorUnreachable, Target: call.Target, NotStarted: true}
	}
	select {
	case answer := <-p.answer:
		if answer.Failure != nil {
			return Answer{}, answer.Failure.callError(call.Target)
		}
		return answer, nil
	case <-ctx.Done():
		return Answer{}, ContextError(ctx, call.Target, !c.cancelCall(p))
	}
}

// ContextError returns the error of a call to the named target whose context has ended.
// Its kind says whether the deadline passed or the call was cancelled. notStarted says
// that the call is certain not to have been started.
func ContextError(ctx context.Context, name string, notStarted bool) *target.CallError {
	kind := target.ErrorCancelled
	if ctx.Err() == context.DeadlineExceeded {
		kind = target.ErrorDeadline
	}
	return &target.CallError{Kind: kind, Target: name, NotStarted: notStarted}
}

// defaultCallTimeout bounds a call whose context has no deadline.
const defaultCallTimeout = time.Minute

// enqueue queues a call for sendLoop. It returns false if the connection has ended.
func (c *Caller) enqueue(p *pending) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.lastID++
	p.call.ID = c.lastID
	c.calls[p.call.ID] = p
	c.unsent = append(c.unsent, p)
	c.signal()
	return true
}

// signal wakes sendLoop.
func (c *Caller) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// cancelCall removes a call whose answer is no longer needed. It reports whether the call
// may have reached the owner, and in that case queues a notification for the owner.
func (c *Caller) cancelCall(p *pending) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, p.call.ID)
	if p.sent {
		c.cancels = append(c.cancels, p.call.ID)
		c.signal()
	}
	return p.sent
}

// sendLoop sends queued calls, in batches, and the IDs of cancelled calls until the
// connection ends. It then fails the pending calls.
func (c *Caller) sendLoop() {
	defer c.failPending()
	for {
		select {
		case <-c.conn.Done():
			return
		case <-c.wake:
		}
		time.Sleep(batchDelay)
		calls, cancels := c.takeUnsent()
		if len(cancels) > 0 && c.conn.Notify(MethodCancel, Cancel{IDs: cancels}) != nil {
			c.conn.Close()
			return
		}
		for len(calls) > 0 {
			n := min(len(calls), MaxBatchCalls)
			go c.sendBatch(calls[:n:n])
			calls = calls[n:]
		}
	}
}

// takeUnsent removes and returns the queued calls and the IDs of cancelled calls. It marks
// the calls as sent before they are written: a call that is cancelled in between must not
// be reported as not started.
func (c *Caller) takeUnsent() (calls []Call, cancels []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.unsent {
		if _, wanted := c.calls[p.call.ID]; wanted {
			p.sent = true
			calls = append(calls, p.call)
		}
	}
	cancels = c.cancels
	c.unsent, c.cancels = nil, nil
	return calls, cancels
}

// sendBatch sends one batch and waits until the owner has accepted or refused it.
// If the owner refuses the whole batch because it is busy, it has started none of its
// calls, and they fail. After any other error sendBatch closes the connection.
func (c *Caller) sendBatch(calls []Call) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	err := call(ctx, c.conn, MethodCalls, Batch{Calls: calls})
	switch result.CodeOf(err) {
	case result.Complete:
	case result.PeerBusy:
		for i := range calls {
			c.deliver(Answer{ID: calls[i].ID, Failure: &Failure{Kind: target.ErrorBusy, NotStarted: true}})
		}
	default:
		c.conn.Close() // the owner didn't answer in time or doesn't speak the protocol
	}
}

// batchTimeout bounds the time until an owner answers a batch. The owner starts, queues
// or refuses the calls and answers without waiting for any of them.
const batchTimeout = 2 * time.Second

// handle receives the answers that the owner sends. It is the wire.Handler of the
// connection.
func (c *Caller) handle(_ context.Context, _ *wire.Conn, method string, params json.RawMessage) (any, error) {
	if method != MethodAnswers {
		return nil, result.Errorf(result.UnknownMethod, "%q", method)
	}
	answers, err := decode[Answers](c.conn, params)
	if err != nil {
		return nil, err
	}
	for _, a := range answers.Answers {
		c.deliver(a)
	}
	return nil, nil
}

// deliver passes an answer to the pending call with the same ID. It drops the answer if
// there is none: the call was cancelled or is already answered.
func (c *Caller) deliver(a Answer) {
	c.mu.Lock()
	p := c.calls[a.ID]
	delete(c.calls, a.ID)
	c.mu.Unlock()
	if p != nil {
		p.answer <- a
	}
}

// failPending fails all pending calls when the connection has ended. Those that were
// sent may have been started. An owner that stops sends its last answers and then
// closes the connection. Handlers may still be processing these answers when the end
// of the connection is detected, so failPending waits for the handlers first.
// Otherwise answered calls would fail with target.ErrorBroken.
func (c *Caller) failPending() {
	c.conn.Close()
	c.conn.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for id, p := range c.calls {
		delete(c.calls, id)
		p.answer <- Answer{ID: id, Failure: &Failure{Kind: target.ErrorBroken, NotStarted: !p.sent}}
	}
}
