package edge

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/bramleybarrow/bramleybarrow/leafhttp"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// runner executes one query. Its fields belong to the goroutine that runs loop. Attempts
// and calls run in goroutines of their own, which report only through events and may outlive
// loop.
type runner struct {
	e          *Engine
	req        *Request
	spec       scatter.Spec       // requirements and limits of the query
	slot       *slotGrant         // what a keeper of slots has named for the query; nil for nothing
	query      *scatter.Query     // decides what to do next; changed only with Engine.mu held
	events     chan event         // from attempts and calls to loop
	done       chan struct{}      // closed after loop has returned
	attemptCtx context.Context    // parent of the contexts of all attempts and calls; may outlive the query (see lingerAbandoned and lingerLate)
	cancel     context.CancelFunc // cancels attemptCtx

	// sharedCtx is a child of attemptCtx that ends at sharedEnd; nil before the first attempt.
	sharedCtx    context.Context
	sharedEnd    time.Time
	sharedCancel context.CancelFunc

	replies     map[scatter.AttemptID]*reply // usable answers of leafs, and answers that report a failure
	shards      map[scatter.AttemptID]int    // number of the shard that each attempt queries
	callAnswers []*ShardsAnswer              // in the order in which they were passed to the query

	steppedAt time.Time // when the query last took a step
	dueAt     time.Time // when the query took its last step, or when it was due if that is earlier; zero before

	// Set for a query on behalf of another VM, zero for a caller's query.
	interimAt time.Time                 // when to pass the results so far to onInterim; zero after that
	onInterim func([]scatter.AttemptID) // receives the attempts that leafs have answered so far
	// onStarted receives the shards that this VM does not query, unless there are none. It knows
	// other leafs than the calling VM for declined ones, and forecasts leftOut ones to be late.
	onStarted func(declined, leftOut []int)
}

// event reports the progress or the end of an attempt or of a call to another VM.
type event struct {
	attempt    scatter.AttemptID // set if the event concerns an attempt
	call       scatter.CallID    // set if the event concerns a call
	sent       bool              // the call was written to the connection
	end        scatter.End       // how the attempt or the call ended
	reply      *reply            // the leaf's answer, nil unless end is EndAnswered or EndFailed
	callAnswer *ShardsAnswer     // an answer to a call to another VM; nil for any other event
	// neverSent is true if the call failed before the VM received it.
	neverSent bool
}

// reply is a leaf's answer with the metadata from its headers.
type reply struct {
	*leafhttp.Answer
	metadata LeafMetadata
}

// failed reports whether the status, 500 or higher, means that the leaf failed. A 4xx status
// means that the request is at fault; it is passed on to the caller, because another leaf would
// answer the same.
func (r *reply) failed() bool { return r.Status >= http.StatusInternalServerError }

// How long attempts in flight continue after the end of a query, after the caller's deadline, or
// after the time at which their leaf should have stopped (see runner.linger).
const (
	// lingerAbandoned is how long attempts in flight continue after the caller of an idempotent
	// request has disconnected, or after an idempotent gathered request has been answered. It
	// is also how long an attempt of a gathered request continues after its leaf should have
	// stopped. Leafs should not work on unwanted results, but cancelling an attempt closes its
	// connection, and opening a new one is expensive. So a leaf gets enough time to finish most
	// requests, and a paused one to report that it stopped. lingerAbandoned always applies to a
	// query on behalf of another VM, because this VM is not notified when the caller
	// disconnects.
	lingerAbandoned = 300 * time.Millisecond
	// lingerLate is how long attempts in flight continue after the caller's deadline. No attempt
	// continues longer, and lingerAbandoned may end one earlier. At the deadline, leafs stop by
	// themselves. lingerLate lets them report that they stopped, so that their connections stay
	// open and they are not treated as silent.
	lingerLate = 60 * time.Millisecond
)

// newRunner returns a runner of the query that spec describes.
func (e *Engine) newRunner(req *Request, spec scatter.Spec) *runner {
	ctx, cancel := context.WithDeadline(context.Background(), spec.Deadline.Add(lingerLate))
	attempts := 0 // that are expected; a query that may delegate makes few itself
	if !spec.MayDelegate {
		attempts = len(spec.Services)
	}
	return &runner{
		e:          e,
		req:        req,
		spec:       spec,
		events:     make(chan event, len(spec.Services)+eventBuffer),
		done:       make(chan struct{}),
		attemptCtx: ctx,
		cancel:     cancel,
		replies:    make(map[scatter.AttemptID]*reply, attempts),
		shards:     make(map[scatter.AttemptID]int, attempts),
	}
}

// run executes the query and returns its outcome. ctx ends when the caller disconnects.
func (r *runner) run(ctx context.Context) scatter.Outcome {
	r.e.beginContent(r.spec.Content)
	out := r.loop(ctx)
	r.e.endContent(r.spec.Content)
	close(r.done)
	if out.Verdict != scatter.Answered && !r.spec.Delegated && r.e.knowsContent(r.spec.Content) {
		r.e.tellQuarantine(ctx, quarantineAckTime) // before the caller, whose next attempt comes through another VM
	}
	r.e.stats.ranked(r.spec, out, r.query.Yields())
	// The results of the attempts in flight are not needed any more if the caller has
	// disconnected, or if a gathered request has its result. A request that is not idempotent
	// is not cancelled early, though.
	unwanted := out.Verdict == scatter.Abandoned || r.spec.Gathered
	if unwanted && r.spec.Idempotent {
		time.AfterFunc(lingerAbandoned, r.cancel)
	} else {
		time.AfterFunc(time.Until(r.spec.Deadline)+lingerLate, r.cancel)
	}
	return out
}

// eventBuffer is the capacity of a runner's event channel beyond one event for each shard. It
// lets attempts end without waiting for loop.
const eventBuffer = 8

// loop runs the query until it finishes. It is the only user of r.query. For a query on behalf
// of another VM, loop also sends that VM an interim answer, with the results so far, when
// r.interimAt is reached.
func (r *runner) loop(ctx context.Context) scatter.Outcome {
	r.query = scatter.NewQuery(r.spec, r.e.table)
	acts, wake := r.step(r.query.Start)
	if r.onStarted != nil {
		r.reportStart(acts)
	}

	timer := time.NewTimer(time.Until(wake))
	defer timer.Stop()
	due := r.steppedAt
	told := r.e.stopping.begun
	if !r.spec.StopAt.IsZero() {
		told = nil // the query knows
	}
	for {
		if out, ended := r.execute(acts); ended {
			r.dueAt = earlier(r.steppedAt, due)
			return out
		}
		due = wake
		if !r.interimAt.IsZero() && !time.Now().Before(r.interimAt) {
			r.onInterim(r.query.AnsweredAttempts())
			r.interimAt = time.Time{}
		}
		timer.Reset(max(time.Until(earlier(wake, r.interimAt)), 0))
		select {
		case ev := <-r.events:
			acts, wake = r.handleEvents(ev)
		case <-timer.C:
			acts, wake = r.tick()
		case <-told:
			told = nil
			acts, wake = r.step(func(now time.Time) []scatter.Action { return r.query.StopsAt(now, r.e.stopping.time()) })
		case <-r.e.stopping.over.Done():
			acts, wake = r.stop()
		case <-ctx.Done():
			acts, wake = r.step(func(time.Time) []scatter.Action { return r.query.Abandon() })
		}
	}
}

// reportStart passes the shards that are not queried to onStarted. acts are the first actions of the
// query. If they end it, its answer says whether it was refused.
func (r *runner) reportStart(acts []scatter.Action) {
	declined, leftOut := r.query.Declined(), r.query.LeftOut()
	for _, act := range acts {
		if _, ended := act.(scatter.Finish); ended {
			leftOut = nil
		}
	}
	if len(declined)+len(leftOut) > 0 {
		r.onStarted(declined, leftOut)
	}
}

// leafTime returns how long a leaf of usual speed takes for an attempt of the query, as this VM has
// measured it; 0 if it is not known.
func (r *runner) leafTime() time.Duration {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	return r.query.LeafTime(time.Now())
}

// tick is called when loop's timer expires. It lets the query act on the time that has passed. The
// results are those of step.
func (r *runner) tick() ([]scatter.Action, time.Time) {
	return r.afterEvents(r.query.Tick)
}

// stop is called when this VM ends what it still serves. The results are those of step.
func (r *runner) stop() ([]scatter.Action, time.Time) {
	return r.afterEvents(r.query.Stop)
}

// afterEvents processes the pending events if there are any, so that an answer that arrived while this
// VM was short of CPU time is not treated as missing. Otherwise it lets f change the query. The results
// are those of step.
func (r *runner) afterEvents(f func(now time.Time) []scatter.Action) ([]scatter.Action, time.Time) {
	select {
	case ev := <-r.events:
		return r.handleEvents(ev)
	default:
		return r.step(f)
	}
}

// earlier returns the earlier of two times. A zero b means never.
func earlier(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// step lets f change the query under Engine.mu. It returns the actions to execute, and when the
// query must be ticked next if no event occurs before.
func (r *runner) step(f func(now time.Time) []scatter.Action) ([]scatter.Action, time.Time) {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	now := time.Now()
	r.steppedAt = now
	acts := f(now)
	if r.e.table.LivenessCheckRequested() {
		r.e.livenessCheckDue.notify()
	}
	r.e.quarantineNews.notifyIf(r.e.table.Guard().HasNews())
	return acts, r.query.Wake(now)
}

// maxEventsPerStep bounds the events that are passed to a query while Engine.mu is held.
const maxEventsPerStep = 64

// handleEvents passes an event and those that are pending after it to the query, and returns the
// results of step.
func (r *runner) handleEvents(first event) ([]scatter.Action, time.Time) {
	return r.step(func(now time.Time) []scatter.Action {
		// No one else receives events, so those that are pending now can be received at once.
		pending := min(len(r.events), maxEventsPerStep-1)
		if pending == 0 {
			return r.handleEvent(now, first)
		}
		return r.query.Together(now, func() []scatter.Action {
			acts := r.handleEvent(now, first)
			for range pending {
				acts = append(acts, r.handleEvent(now, <-r.events)...)
			}
			return acts
		})
	})
}

// handleEvent passes an event to the query and returns the actions that follow. Engine.mu must be
// held.
func (r *runner) handleEvent(now time.Time, ev event) []scatter.Action {
	switch {
	case ev.sent:
		return r.query.CallSent(now, ev.call)
	case ev.call != 0 && ev.callAnswer != nil:
		r.callAnswers = append(r.callAnswers, ev.callAnswer)
		return r.query.CallReply(now, ev.call, scatter.CallAnswer{
			Included: ev.callAnswer.Included,
			Declined: ev.callAnswer.declined,
			Last:     ev.callAnswer.last,

			Refused:    ev.callAnswer.refused,
			RetryAfter: ev.callAnswer.retryAfter,
			Cause:      ev.callAnswer.cause,
			LeftOut:    ev.callAnswer.leftOut,
			LeafTime:   ev.callAnswer.leafTime,
		})
	case ev.call != 0:
		return r.query.CallFail(now, ev.call, ev.neverSent)
	case ev.reply != nil:
		r.replies[ev.attempt] = ev.reply
		r.query.Timed(ev.attempt, ev.reply.WrittenAt, ev.reply.ReadAt)
		return r.query.Reply(now, ev.attempt, r.answerFailed(ev.reply))
	default:
		return r.query.Fail(now, ev.attempt, ev.end)
	}
}

// answerFailed reports whether an answer can't be used. A gathered request needs the result
// of each shard, so any status outside 2xx is a failure.
func (r *runner) answerFailed(ans *reply) bool {
	if r.spec.Gathered {
		return ans.Status/100 != 2
	}
	return ans.failed()
}

// execute starts the actions. It returns the outcome and true if the query has finished.
func (r *runner) execute(acts []scatter.Action) (scatter.Outcome, bool) {
	for _, act := range acts {
		switch a := act.(type) {
		case scatter.Send:
			r.req.HTTP.Prepare()
			r.shards[a.Attempt] = a.Shard
			r.req.held.retain()
			go r.send(r.attemptContext(a.Until.Add(r.linger())), a)
		case scatter.CallVM:
			r.req.held.retain()
			go r.callPeer(a)
		case scatter.Finish:
			return a.Outcome, true
		}
	}
	return scatter.Outcome{}, false
}

// poolKey returns the key of the connections to one incarnation of a leaf.
func poolKey(id scatter.LeafID) string {
	var buf [64]byte
	return string(strconv.AppendInt(append(append(buf[:0], id.ID...), '/'), id.Born, 10))
}

// attemptContext returns the context of an attempt that lasts until end at most. Most attempts of a
// query end at the same time, and share it. It ends with attemptCtx.
func (r *runner) attemptContext(end time.Time) context.Context {
	if r.sharedCtx == nil || !end.Equal(r.sharedEnd) {
		r.sharedEnd = end
		r.sharedCtx, r.sharedCancel = context.WithDeadline(r.attemptCtx, end)
	}
	return r.sharedCtx
}

// send makes one attempt and records its end in the table, even if the query has ended long
// before.
func (r *runner) send(ctx context.Context, s scatter.Send) {
	defer r.req.held.release()
	endpoint := leafhttp.Endpoint{Key: poolKey(s.Leaf), Address: s.Address, Transient: !s.KeepConnection}
	ev, metadata, err := r.exchange(ctx, s, endpoint)
	if ev.end == scatter.EndSilent {
		// Other connections to this leaf may be dead too.
		r.e.pool.CloseIdle(endpoint.Key)
	}
	r.e.mu.Lock()
	now := time.Now()
	if err == nil && metadata.HasLoad {
		r.e.table.RecordLoad(now, s.Leaf, metadata.Load)
	}
	r.e.table.AttemptEnded(now, s.Leaf, s.SentAt, ev.end)
	lost := err != nil && ev.end == scatter.EndBroken && leafhttp.ConnectionLost(err)
	switch {
	case lost:
		r.e.table.RecordLost(now, r.spec.Content, s.Leaf, s.SentAt)
	case ev.end == scatter.EndSilent:
		r.e.table.RecordSilent(now, r.spec.Content, s.Leaf, s.SentAt, r.query.Answered())
	default:
		r.e.table.RecordEnd(now, r.spec.Content, s.Leaf, s.SentAt, ev.end)
	}
	r.e.quarantineNews.notifyIf(r.e.table.Guard().HasNews())
	r.e.mu.Unlock()
	if ev.end == scatter.EndSilent || ev.end == scatter.EndUnreachable {
		r.e.suspectLeafs.notify()
	}
	r.e.stats.attempt(s.Reason, ev.end)
	r.logAttemptEnd(s, ev, err)
	if lost {
		r.awaitCheck(s, endpoint)
	}
	r.post(ev)
	r.slot.attemptEnded(s.Leaf, ev.end, metadata)
}

// exchange sends an attempt to its leaf, and returns the event that says how it ended. A panic, which
// what the leaf answers may cause, ends the attempt and not this process: the client's next attempt
// would end that of another VM.
func (r *runner) exchange(ctx context.Context, s scatter.Send, endpoint leafhttp.Endpoint) (ev event, metadata LeafMetadata, err error) {
	defer func() {
		if p := recover(); p != nil {
			r.e.logPanic("an attempt panicked", p, "request", r.req.ID)
			ev = event{attempt: s.Attempt, end: scatter.EndBroken}
			metadata, err = LeafMetadata{}, errPanicked
		}
	}()
	ev = event{attempt: s.Attempt}
	read := func(ans *leafhttp.Answer) leafhttp.Reading {
		metadata = r.e.headerCodec.ParseLeafHeaders(ans.Status, ans.Header)
		ev.reply, ev.end = r.classifyAnswer(s, ans, metadata)
		return leafhttp.Reading{ID: metadata.RequestID, Last: ev.end == scatter.EndAnswered}
	}
	_, err = r.e.pool.Do(ctx, endpoint, r.req.HTTP, r.req.ID, r.e.headerCodec.AttemptHeaders(s.Leaf, time.Until(s.Until), r.spec.Tenant), read)
	if err != nil {
		ev.reply, ev.end, metadata = nil, endOfAttempt(ctx, err), LeafMetadata{}
	}
	return ev, metadata, err
}

// errPanicked means that an attempt panicked.
var errPanicked = errors.New("edge: the attempt panicked")

// linger returns how long an attempt continues to wait for an answer after scatter.Send.Until, the
// time at which the leaf should have stopped. For a gathered request, Until may be long before the
// caller's deadline, since the request is answered with the shards received so far. The leafs of a
// gathered request get the longer lingerAbandoned to finish or to report that they stopped. For a
// request that is not gathered, Until is the deadline, after which lingerLate applies.
func (r *runner) linger() time.Duration {
	if r.spec.Gathered {
		return lingerAbandoned
	}
	return lingerLate
}

// expirySlack is how much earlier than scatter.Send.Until, the time at which its answer becomes
// useless, a leaf may stop. The remaining time is sent to the leaf in whole milliseconds, so the
// leaf's deadline may be early.
const expirySlack = 2 * time.Millisecond

// classifyAnswer returns how an attempt with this answer ended. It also returns the reply if the
// end is EndAnswered or EndFailed, otherwise nil. An answer without a receipt proves nothing: a
// success can't be trusted, and a failure may have been sent after the request ran.
func (r *runner) classifyAnswer(s scatter.Send, ans *leafhttp.Answer, metadata LeafMetadata) (*reply, scatter.End) {
	answer := &reply{Answer: ans, metadata: metadata}
	switch {
	case metadata.Moved:
		return nil, scatter.EndMoved
	case r.spec.Gathered && answer.failed() && time.Until(s.Until) < expirySlack:
		// The leaf failed just when its time was over, so it is assumed to have stopped
		// for that reason.
		if metadata.NotRun {
			return nil, scatter.EndNotStarted
		}
		return nil, scatter.EndExpired
	case metadata.NotRun:
		return nil, scatter.EndRefused
	case metadata.Receipt == "":
		return nil, scatter.EndBroken
	case r.answerFailed(answer):
		return answer, scatter.EndFailed
	default:
		return answer, scatter.EndAnswered
	}
}

// endOfAttempt classifies an attempt that ended with err: EndUnreachable if no connection could
// be opened, EndSilent if its time ran out, else EndBroken.
func endOfAttempt(ctx context.Context, err error) scatter.End {
	var unreachable *leafhttp.UnreachableError
	switch {
	case errors.As(err, &unreachable):
		return scatter.EndUnreachable
	case ctx.Err() != nil:
		return scatter.EndSilent
	default:
		return scatter.EndBroken
	}
}

// post passes an event to loop, and drops it if loop has returned.
func (r *runner) post(ev event) {
	select {
	case r.events <- ev:
	case <-r.done:
	}
}
