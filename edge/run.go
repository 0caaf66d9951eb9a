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

// runner is one query in progress. Its fields belong to the goroutine that runs loop;
// attempts reach it through events alone, and may outlive it.
type runner struct {
	e        *Engine
	req      *Request
	spec     scatter.Spec
	query    *scatter.Query
	events   chan event
	done     chan struct{} // closed when loop returns
	attempts context.Context
	cancel   context.CancelFunc // of attempts

	answers     map[scatter.AttemptID]*reply
	shards      map[scatter.AttemptID]int // that each attempt asks for
	callAnswers []*ShardsAnswer           // in the order in which the query took them

	// Of a query for another VM; zero for a caller's.
	interim    time.Time                 // when tell gets what was answered by then
	onInterim  func([]scatter.AttemptID) // gets the attempts that answered
	onDeclined func(shards []int)        // gets the shards that are not asked
}

// event is the end of an attempt or of a call to another VM.
type event struct {
	attempt scatter.AttemptID
	call    scatter.CallID // set for a call
	sent    bool           // the call was written
	end     scatter.End
	reply   *reply
	shards  *ShardsAnswer
	// neverSent says of a failed call that the VM did not get it.
	neverSent bool
}

// reply is a leaf's answer with what it says.
type reply struct {
	*leafhttp.Answer
	metadata LeafMetadata
}

// failed reports whether the leaf ran the request and failed. An answer that blames
// the request is passed on: another leaf would say the same.
func (r *reply) failed() bool { return r.Status >= http.StatusInternalServerError }

// How long attempts in flight go on after a query.
const (
	// lingerAbandoned is for a caller that left, and for a gathered request that has been
	// answered: leafs should not work for nobody, but closing a connection costs a
	// new one, so a leaf gets the time of most requests to finish, and one that pauses
	// the time to say that it has stopped. Another VM's caller may have left long
	// before; this VM is not told, so it never waits for the deadline.
	lingerAbandoned = 300 * time.Millisecond
	// lingerLate is added to the caller's deadline, at which leafs stop by
	// themselves.
	lingerLate = 60 * time.Millisecond
)

func (e *Engine) newRunner(req *Request, spec scatter.Spec) *runner {
	attempts, cancel := context.WithDeadline(context.Background(), spec.Deadline.Add(lingerLate))
	return &runner{
		e:        e,
		req:      req,
		spec:     spec,
		events:   make(chan event, len(spec.Services)+eventBuffer),
		done:     make(chan struct{}),
		attempts: attempts,
		cancel:   cancel,
		answers:  make(map[scatter.AttemptID]*reply),
		shards:   make(map[scatter.AttemptID]int),
	}
}

// run carries the query out to its end. ctx ends when the caller leaves.
func (r *runner) run(ctx context.Context) scatter.Outcome {
	out := r.loop(ctx)
	close(r.done)
	unwanted := out.Verdict == scatter.Abandoned || r.spec.Gathered
	if unwanted && r.spec.Idempotent {
		time.AfterFunc(lingerAbandoned, r.cancel)
	} else {
		time.AfterFunc(time.Until(r.spec.Deadline)+lingerLate, r.cancel)
	}
	return out
}

// eventBuffer lets attempts end without waiting for the loop.
const eventBuffer = 8

func (r *runner) loop(ctx context.Context) scatter.Outcome {
	r.query = scatter.NewQuery(r.spec, r.e.table)
	acts, wake := r.step(r.query.Start)
	if declined := r.query.Declined(); len(declined) > 0 {
		r.onDeclined(declined)
	}

	timer := time.NewTimer(time.Until(wake))
	defer timer.Stop()
	for {
		if out, ended := r.execute(acts); ended {
			return out
		}
		if !r.interim.IsZero() && !time.Now().Before(r.interim) {
			r.onInterim(r.query.AnsweredAttempts())
			r.interim = time.Time{}
		}
		timer.Reset(max(time.Until(earlier(wake, r.interim)), 0))
		select {
		case ev := <-r.events:
			acts, wake = r.handleEvent(ev)
		case <-timer.C:
			acts, wake = r.tick()
		case <-ctx.Done():
			acts, wake = r.step(func(time.Time) []scatter.Action { return r.query.Abandon() })
		}
	}
}

// tick lets the query see that time has passed, unless there is news: a VM that was short of
// processor time must not take for silent who has answered meanwhile.
func (r *runner) tick() ([]scatter.Action, time.Time) {
	select {
	case ev := <-r.events:
		return r.handleEvent(ev)
	default:
		return r.step(func(now time.Time) []scatter.Action { return r.query.Tick(now) })
	}
}

// earlier returns the earlier of two times; b may be zero for never.
func earlier(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (r *runner) step(f func(now time.Time) []scatter.Action) ([]scatter.Action, time.Time) {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	now := time.Now()
	return f(now), r.query.Wake(now)
}

func (r *runner) handleEvent(ev event) ([]scatter.Action, time.Time) {
	return r.step(func(now time.Time) []scatter.Action {
		switch {
		case ev.sent:
			return r.query.CallSent(now, ev.call)
		case ev.call != 0 && ev.shards != nil:
			r.callAnswers = append(r.callAnswers, ev.shards)
			return r.query.CallReply(now, ev.call, scatter.CallAnswer{
				Included: ev.shards.Included,
				Declined: ev.shards.declined,
				Last:     ev.shards.last,

				Refused:    ev.shards.refused,
				RetryAfter: ev.shards.retryAfter,
			})
		case ev.call != 0:
			return r.query.CallFail(now, ev.call, ev.neverSent)
		case ev.reply != nil:
			r.answers[ev.attempt] = ev.reply
			return r.query.Reply(now, ev.attempt, r.answerFailed(ev.reply))
		default:
			return r.query.Fail(now, ev.attempt, ev.end)
		}
	})
}

// answerFailed reports whether an answer is of no use. A gathered request needs a part
// from each shard, so anything but a success is a failure.
func (r *runner) answerFailed(ans *reply) bool {
	if r.spec.Gathered {
		return ans.Status/100 != 2
	}
	return ans.failed()
}

func (r *runner) execute(acts []scatter.Action) (scatter.Outcome, bool) {
	for _, act := range acts {
		switch a := act.(type) {
		case scatter.Send:
			r.shards[a.Attempt] = a.Shard
			go r.send(a)
		case scatter.CallVM:
			go r.callPeer(a)
		case scatter.Finish:
			return a.Outcome, true
		}
	}
	return scatter.Outcome{}, false
}

func poolKey(id scatter.LeafID) string { return id.ID + "/" + strconv.FormatInt(id.Born, 10) }

// send makes one attempt. It ends by itself and tells the table, also when the query
// has long ended.
func (r *runner) send(s scatter.Send) {
	ctx, cancel := context.WithDeadline(r.attempts, s.Until.Add(r.linger()))
	defer cancel()
	peer := leafhttp.Endpoint{Key: poolKey(s.Leaf), Address: s.Address, Transient: !s.KeepConnection}
	var word LeafMetadata
	// A leaf may send the answer to an earlier request late, where the next is expected.
	own := func(ans *leafhttp.Answer) bool {
		word = r.e.exchange.FromLeaf(ans.Status, ans.Header)
		return word.RequestID == "" || word.RequestID == r.req.ID
	}
	ans, err := r.e.pool.Do(ctx, peer, r.req.HTTP, r.e.exchange.ToLeaf(s.Leaf, time.Until(s.Until)), own)
	ev := event{attempt: s.Attempt}
	if err == nil {
		ev.reply, ev.end = r.classifyAnswer(s, ans, word)
	} else {
		ev.end = endOfAttempt(ctx, err)
	}
	if ev.end == scatter.EndSilent {
		// Others to this leaf may be as silent.
		r.e.pool.CloseIdle(peer.Key)
	}
	r.e.mu.Lock()
	now := time.Now()
	if err == nil && word.HasLoad {
		r.e.table.RecordLoad(now, s.Leaf, word.Load)
	}
	r.e.table.AttemptEnded(now, s.Leaf, s.SentAt, ev.end)
	r.e.mu.Unlock()
	if ev.end == scatter.EndSilent || ev.end == scatter.EndUnreachable {
		r.e.suspectLeafs.notify()
	}
	r.e.stats.attempt(s.Reason, ev.end)
	r.logAttemptEnd(s, ev, err)
	r.post(ev)
}

// linger is how long an attempt goes on after the leaf should have stopped.
func (r *runner) linger() time.Duration {
	if r.spec.Gathered {
		return lingerAbandoned
	}
	return lingerLate
}

// expirySlack is how much before its time a leaf may stop, since it is told whole
// milliseconds.
const expirySlack = 2 * time.Millisecond

// classifyAnswer tells what a leaf's answer is worth. Without a receipt it proves nothing: a
// success is spoilt, and a failure may have come after the request ran.
func (r *runner) classifyAnswer(s scatter.Send, ans *leafhttp.Answer, word LeafMetadata) (*reply, scatter.End) {
	rep := &reply{Answer: ans, metadata: word}
	switch {
	case word.Moved:
		return nil, scatter.EndMoved
	case r.spec.Gathered && rep.failed() && time.Until(s.Until) < expirySlack:
		if word.NotRun {
			return nil, scatter.EndNotStarted
		}
		return nil, scatter.EndExpired
	case word.NotRun:
		return nil, scatter.EndRefused
	case word.Receipt == "":
		return nil, scatter.EndBroken
	case r.answerFailed(rep):
		return rep, scatter.EndFailed
	default:
		return rep, scatter.EndAnswered
	}
}

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

func (r *runner) post(ev event) {
	select {
	case r.events <- ev:
	case <-r.done:
	}
}
