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

// batchDelay is how long a first call waits for others to the same owner. A query
// fans out in far less, and it is small against a leaf's time.
const batchDelay = 200 * time.Microsecond

// Caller calls leaves through one owner. It is safe for concurrent use.
type Caller struct {
	conn *wire.Conn
	wake chan struct{}

	mu      sync.Mutex // guards what follows
	lastID  uint64
	calls   map[uint64]*pending // neither answered nor given up
	unsent  []*pending
	cancels []uint64
	ended   bool
}

type pending struct {
	call   Call
	sent   bool
	answer chan Answer // holds one
}

// Dial connects to an owner. The connection is for this package's calls only.
func Dial(ctx context.Context, address string, o wire.Options, count *wire.Counters) (*Caller, error) {
	c := &Caller{wake: make(chan struct{}, 1), calls: map[uint64]*pending{}}
	o.Use = ConnUse
	o.Handler = c.handle
	o.WaitForCallSlot = true // a dropped answer would be waited for until the deadline
	conn, err := wire.Dial(ctx, address, o, count)
	if err != nil {
		return nil, err
	}
	c.conn = conn
	conn.Serve()
	go c.sendLoop()
	return c, nil
}

// Close ends the connection; calls under way fail.
func (c *Caller) Close() {
	c.conn.Close()
	c.conn.Wait()
}

// Done is closed when the connection has ended.
func (c *Caller) Done() <-chan struct{} { return c.conn.Done() }

// Search asks one leaf through the owner. The error is a *target.CallError.
func (c *Caller) Search(ctx context.Context, name string, leaf int, req target.LeafRequest) (target.LeafAnswer, error) {
	answer, err := c.do(ctx, Call{Target: name, Leaf: leaf, Search: &req})
	switch {
	case err != nil:
		return target.LeafAnswer{}, err
	case answer.Search == nil:
		return target.LeafAnswer{}, &target.CallError{Kind: target.ErrorMalformed, Target: name}
	case answer.Search.Echo != req.Echo:
		c.conn.Close() // what else it delivers can't be trusted either
		return target.LeafAnswer{}, &target.CallError{Kind: target.ErrorMismatched, Target: name}
	}
	return *answer.Search, nil
}

// Submit hands a non-idempotent request to one leaf through the owner, once. The
// error is a *target.CallError; unless it says NotStarted, the request may have
// been run.
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

// Status reads what a target says of itself through the owner, which may have
// read it a short time ago. The error is a *target.CallError.
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

func (c *Caller) do(ctx context.Context, call Call) (Answer, error) {
	limit := defaultTimeout
	if end, ok := ctx.Deadline(); ok {
		limit = time.Until(end)
	}
	if limit < time.Millisecond {
		return Answer{}, &target.CallError{Kind: target.ErrorDeadline, Target: call.Target, NotStarted: true}
	}
	*call.deadline() = limit.Milliseconds()
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

// ContextError is the error of a call whose context has ended.
func ContextError(ctx context.Context, name string, notStarted bool) *target.CallError {
	kind := target.ErrorCancelled
	if ctx.Err() == context.DeadlineExceeded {
		kind = target.ErrorDeadline
	}
	return &target.CallError{Kind: kind, Target: name, NotStarted: notStarted}
}

// defaultTimeout is the time for a call whose context has no deadline.
const defaultTimeout = time.Minute

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

func (c *Caller) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// cancelCall tells the owner that nobody waits for a call, and returns whether the
// call had been sent.
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

// sendLoop sends batches and cancellations until the connection ends.
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

// takeUnsent marks calls as sent before they are: whoever gives up in between
// must not say that they were not started.
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

// sendBatch sends one batch. A refusal of the whole batch is the owner's word that
// it started none of it.
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
		c.conn.Close() // it is silent or doesn't speak the protocol
	}
}

// batchTimeout bounds the time until an owner has taken a batch; it doesn't wait
// for anything before it answers.
const batchTimeout = 2 * time.Second

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

// deliver hands an answer to its call; a late or repeated one finds none.
func (c *Caller) deliver(a Answer) {
	c.mu.Lock()
	p := c.calls[a.ID]
	delete(c.calls, a.ID)
	c.mu.Unlock()
	if p != nil {
		p.answer <- a
	}
}

// failPending ends all calls when the connection has ended. Those that were sent may
// have been started. An owner that leaves sends its last answers and closes; they
// are still being handled when the end is seen, so failPending waits for them first, or
// calls that were answered would be called broken.
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
