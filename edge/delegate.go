package edge

import (
	"context"
	"errors"
	"time"

	"github.com/bramleybarrow/bramleybarrow/allotment"
	"github.com/bramleybarrow/bramleybarrow/quarantine"
	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/topk"
)

// peerClient calls other VMs. Implementations are safe for concurrent use.
type peerClient interface {
	// gather sends a call, runs onSent once the call was written, and passes each answer to
	// onAnswer. It returns after the last answer, or when ctx ends. A neverSentError means
	// that the VM did not receive the call.
	gather(ctx context.Context, vm scatter.VM, call *gatherCall, onSent func(), onAnswer func(*gatherAnswer)) error
	// connect opens a connection if there is none, and reports whether it did. A new
	// connection proves that the VM is alive.
	connect(ctx context.Context, vm scatter.VM) (opened bool, err error)
	// connected reports whether there is an open connection to a VM. It doesn't block, and may
	// be called with Engine.mu held.
	connected(vm scatter.VM) bool
	// ping checks that a VM is alive, on the connection to it. If the check fails, the
	// connection is closed. Without a connection, ping returns errNotConnected.
	ping(ctx context.Context, vm scatter.VM) error
	// reportLoss tells all VMs to which this one has a connection that VMs were lost.
	reportLoss()
	// follow sends a call to a VM that reads the store for others, and stores the decoded answer
	// in into. method is one of those by which a VM follows another one.
	follow(ctx context.Context, vm scatter.VM, method string, call *followCall, into any) error
	// handOver hands partitions over to a VM, which answers within limit if it serves them.
	handOver(ctx context.Context, vm scatter.VM, handover scatter.Handover, limit time.Duration) error
	// allot sends a call to the accountant of a group of tenants, and stores the answer in into.
	allot(ctx context.Context, vm scatter.VM, call *allotment.Call, into *allotment.Answer) error
	// tellQuarantine tells other VMs of contents that end leafs. all are the other VMs; if they are few,
	// connections are opened to those that have none.
	tellQuarantine(ctx context.Context, all []scatter.VM, notices []quarantineNotice)
	// connectedVMs returns the names of the VMs that have opened connections to this one.
	connectedVMs() []string
	// notifyNear tells the VMs that follow this one as accountant which tenants are near their limit.
	notifyNear(notice *allotmentNotice)
	// reserveSlot asks a VM to which there is a connection, and which keeps account of slots, for a
	// leaf, and stores the answer in into.
	reserveSlot(ctx context.Context, vm scatter.VM, call *slotCall, into *slotAnswer) error
	// awaitSlot waits for the leaf of a request that such a VM lets wait, and stores the answer in
	// into.
	awaitSlot(ctx context.Context, vm scatter.VM, wait *slotWait, into *slotAnswer) error
	// endSlot tells a VM that a request for which it has named a leaf has ended. It doesn't wait for
	// an answer.
	endSlot(vm scatter.VM, end *slotEnd)
}

// neverSentError reports that no part of a call to another VM was sent.
type neverSentError struct{ err error }

// Error implements error.
func (e *neverSentError) Error() string { return "edge: call not sent: " + e.err.Error() }

// Unwrap returns the underlying error.
func (e *neverSentError) Unwrap() error { return e.err }

// noPeerClient is the peerClient of a VM that has not joined the other VMs. All calls fail
// with errNotJoined.
type noPeerClient struct{}

// errNotJoined means that this VM does not accept calls of other VMs yet, and cannot call them.
var errNotJoined = errors.New("edge: this VM has not joined the other VMs")

// errEarlierRelease means that a VM would query leafs without the body of the caller's request.
var errEarlierRelease = errors.New("edge: the VM does not take the bodies of requests")

// errNotConnected means that there is no connection to a VM.
var errNotConnected = errors.New("edge: no connection to the VM")

// gather implements peerClient. It always fails: nothing is sent.
func (noPeerClient) gather(context.Context, scatter.VM, *gatherCall, func(), func(*gatherAnswer)) error {
	return &neverSentError{err: errNotJoined}
}

// connect implements peerClient. It always fails: no connection is opened.
func (noPeerClient) connect(context.Context, scatter.VM) (bool, error) { return false, errNotJoined }

// connected implements peerClient. There are no connections.
func (noPeerClient) connected(scatter.VM) bool { return false }

// ping implements peerClient. It always fails.
func (noPeerClient) ping(context.Context, scatter.VM) error { return errNotJoined }

// reportLoss implements peerClient. It tells nobody.
func (noPeerClient) reportLoss() {}

// follow implements peerClient. It always fails: nothing is sent.
func (noPeerClient) follow(context.Context, scatter.VM, string, *followCall, any) error {
	return errNotJoined
}

// handOver implements peerClient. It always fails: nothing is sent.
func (noPeerClient) handOver(context.Context, scatter.VM, scatter.Handover, time.Duration) error {
	return errNotJoined
}

// peerCallLinger is how long a call to another VM stays open after its answer was due. A late
// answer still shows that the VM is alive.
const peerCallLinger = 100 * time.Millisecond

// callPeer sends one call to another VM. It posts an event when the call was sent, for each
// answer, and if the call fails.
func (r *runner) callPeer(call scatter.CallVM) {
	defer r.req.held.release()
	ctx, cancel := context.WithDeadline(r.attemptCtx, call.AnswerBy.Add(peerCallLinger))
	defer cancel()
	free, ok := r.e.intake.reserve(demandCopy, int64(len(r.req.HTTP.Body)))
	if !ok {
		r.notCalled(call, "memory")
		return
	}
	defer free()
	onSent := func() {
		free() // the message was written
		r.post(event{call: call.Call, sent: true})
	}
	err := r.e.currentPeerClient().gather(ctx, call.VM, r.newGatherCall(call), onSent, func(ans *gatherAnswer) {
		r.e.hearVersion(call.VM.Name, ans.ManifestVersion)
		r.e.hearQuarantine(call.VM.Name, ans.Quarantine)
		callAnswer, err := toShardsAnswer(call, ans)
		if err != nil {
			r.e.log.Error("invalid answer of a VM dropped", "request", r.req.ID, "vm", call.VM.Name, "error", err)
			return
		}
		r.post(event{call: call.Call, callAnswer: callAnswer})
	})
	end := scatter.EndAnswered
	if errors.Is(err, errEarlierRelease) {
		r.notCalled(call, "release")
	} else if err != nil {
		end = endOfCall(ctx)
		r.e.log.Warn("call to a VM failed", "request", r.req.ID, "vm", call.VM.Name, "zone", call.VM.Zone, "shards", len(call.Shards), "error", err)
		var neverSent *neverSentError
		r.post(event{call: call.Call, end: end, neverSent: errors.As(err, &neverSent)})
	}
	r.e.mu.Lock()
	r.e.table.CallEnded(time.Now(), call.VM.Name, end)
	r.e.mu.Unlock()
	if end != scatter.EndAnswered {
		r.e.livenessCheckDue.notify()
		r.e.suspectVMs.notify()
	}
	r.e.stats.call(end)
}

// notCalled reports that a VM is not called for a request with a body, and counts and logs why: it has an earlier
// release, or this VM has no memory for the copy.
func (r *runner) notCalled(call scatter.CallVM, why string) {
	r.e.stats.count(`bramley_edge_calls_not_made_total{why=%q}`, why)
	r.e.log.Info("VM is not called for a request with a body", "request", r.req.ID, "vm", call.VM.Name, "why", why)
	r.post(event{call: call.Call, end: scatter.EndAnswered, neverSent: true})
}

// newGatherCall returns the message for a call that delegates some shards to another VM. Its
// times, except for the latency objective, count from now.
func (r *runner) newGatherCall(call scatter.CallVM) *gatherCall {
	services := make([]string, len(call.Shards))
	for i, shard := range call.Shards {
		services[i] = r.spec.Services[shard]
	}
	return &gatherCall{
		ID:                 r.req.ID,
		peerRequest:        newPeerRequest(r.req.HTTP),
		Services:           services,
		Views:              call.Views,
		Required:           call.Required,
		Redelegated:        call.Redelegated,
		Final:              call.Final,
		Scarce:             call.Scarce,
		Rank:               r.spec.Rank,
		Tenant:             r.spec.Tenant,
		ManifestVersion:    r.e.toldVersion(),
		Content:            r.spec.Content[:],
		Quarantine:         r.e.quarantineNoticesOf(r.spec.Content),
		Proven:             true, // other VMs are called only then
		Top:                r.req.Top,
		MaxAttempts:        r.spec.MaxAttempts,
		LatencyObjectiveUS: r.spec.LatencyObjective.Microseconds(),
		InterimUS:          time.Until(call.InterimBy).Microseconds(),
		AnswerUS:           time.Until(call.AnswerBy).Microseconds(),
		DeadlineUS:         time.Until(r.req.Deadline).Microseconds(),
	}
}

// endOfCall classifies a call that failed. ctx is the context of the call. The result is
// EndSilent if ctx has ended, so that the VM did not answer in time, and EndUnreachable if the
// connection could not be opened or broke.
func endOfCall(ctx context.Context) scatter.End {
	if ctx.Err() != nil {
		return scatter.EndSilent
	}
	return scatter.EndUnreachable
}

// errInvalidAnswer means that an answer names shards that were not in the call, or that its
// number of receipts differs from its number of included shards.
var errInvalidAnswer = errors.New("edge: answer does not match the shards of the call")

// toShardsAnswer converts an answer, which holds indexes into the call's shards, to the shard
// numbers of the query.
func toShardsAnswer(call scatter.CallVM, ans *gatherAnswer) (*ShardsAnswer, error) {
	if len(ans.Included) != len(ans.Receipts) {
		return nil, errInvalidAnswer
	}
	included, err := mapShards(call, ans.Included)
	if err != nil {
		return nil, err
	}
	declined, err := mapShards(call, ans.Declined)
	if err != nil {
		return nil, err
	}
	leftOut, err := mapShards(call, ans.LeftOut)
	if err != nil {
		return nil, err
	}
	return &ShardsAnswer{
		Included:   included,
		Receipts:   ans.Receipts,
		Records:    ans.Records,
		declined:   declined,
		last:       ans.Last,
		refused:    ans.Refused,
		retryAfter: time.Duration(ans.RetryAfterUS) * time.Microsecond,
		cause:      ans.Cause,
		leftOut:    leftOut,
		leafTime:   time.Duration(ans.LeafTimeUS) * time.Microsecond,
	}, nil
}

// mapShards returns, for each index into call.Shards, the shard's number in the query. It returns
// errInvalidAnswer for an index that is out of range.
func mapShards(call scatter.CallVM, indexes []int) ([]int, error) {
	var shards []int
	for _, i := range indexes {
		if i < 0 || i >= len(call.Shards) {
			return nil, errInvalidAnswer
		}
		shards = append(shards, call.Shards[i])
	}
	return shards, nil
}

// serveGather serves another VM's call, and sends each answer to that VM by calling answer. It
// acknowledges the call at once, and never calls a third VM, so that no two VMs wait for each
// other. Shards for which this VM and the calling VM know different leafs are declined at once, and
// those that are forecast to be late are reported at once.
//
// At the interim time, which the call states, serveGather sends the results of the shards that
// have answered so far. The calling VM then knows that this one is alive, and has the results
// of most shards even if this VM fails later.
func (e *Engine) serveGather(ctx context.Context, call *gatherCall, answer func(*gatherAnswer)) {
	answer(&gatherAnswer{Key: call.Key, ManifestVersion: e.toldVersion()}) // acknowledges the call
	content, err := e.beginGather(call)
	if err != nil {
		answer(&gatherAnswer{Key: call.Key, Last: true, Refused: true, Cause: scatter.RefusedForSelf})
		return
	}
	defer e.peerWork.end(len(call.Body))
	if e.toldVersion() > 0 {
		call.Header.Del(headerAuthorization) // a VM with an older manifest may pass it on
	}
	e.hearQuarantine("", call.Quarantine)
	now := time.Now()
	fromNow := func(us int64) time.Time { return now.Add(time.Duration(us) * time.Microsecond) }
	req := &Request{
		ID:       call.ID,
		Deadline: fromNow(call.DeadlineUS),
		Top:      call.Top,
		HTTP:     call.leafRequest(),
		held:     call.held,
	}
	spec := scatter.Spec{
		Services:         call.Services,
		Gathered:         true,
		Idempotent:       true,
		MaxAttempts:      call.MaxAttempts,
		LatencyObjective: time.Duration(call.LatencyObjectiveUS) * time.Microsecond,
		AnswerBy:         fromNow(call.AnswerUS),
		Deadline:         req.Deadline,
		StopAt:           e.stopping.time(),
		RequestID:        call.ID,
		Delegated:        true,
		Views:            call.Views,
		Required:         call.Required,
		Redelegated:      call.Redelegated,
		Final:            call.Final,
		Scarce:           call.Scarce,
		BudgetWeight:     scatter.DelegateWeight,
		Rank:             call.Rank,
		Tenant:           call.Tenant,
		Content:          content,
		Proven:           call.Proven,
	}
	if call.Redelegated {
		spec.BudgetWeight = 0 // the VM that was called first has counted the request in its budget
	}
	r := e.newRunner(req, spec)
	reported := make(map[scatter.AttemptID]bool) // attempts whose results were sent
	r.interimAt = fromNow(call.InterimUS)
	r.onInterim = func(ids []scatter.AttemptID) {
		if ans := r.partialAnswer(ids, reported); len(ans.Included) > 0 {
			ans.Key = call.Key
			answer(ans)
		}
	}
	r.onStarted = func(declined, leftOut []int) {
		answer(&gatherAnswer{Key: call.Key, Declined: declined, LeftOut: leftOut})
	}
	outcome := r.run(ctx)
	final := r.partialAnswer(outcome.Parts, reported)
	final.Key, final.Last = call.Key, true
	if outcome.Verdict == scatter.NotRun {
		final.Refused, final.RetryAfterUS = true, outcome.RetryAfter.Microseconds()
		final.Cause = outcome.RefusalCause()
	}
	final.LeafTimeUS = r.leafTime().Microseconds()
	final.Quarantine = e.quarantineNoticesOf(spec.Content)
	answer(final)
	e.logGather(req, spec, outcome, time.Since(now))
}

// errIncompleteCall means that a call does not hold the whole request of the caller.
var errIncompleteCall = errors.New("edge: the call lacks a part of the caller's request")

// beginGather reports whether another VM's call is served, and returns the content of its request: it
// holds the whole request, and this VM has time and memory for it. After a nil error, peerWork.end has
// to be called. Another error is counted and logged.
func (e *Engine) beginGather(call *gatherCall) (quarantine.Fingerprint, error) {
	content, whole := call.content()
	err := errIncompleteCall
	if whole {
		err = e.peerWork.begin(len(call.Body))
	}
	if err != nil {
		e.stats.count(`bramley_edge_refusals_total{why=%q}`, callRefusalNames[err])
		e.log.Info("call of a VM refused", "request", call.ID, "why", callRefusalNames[err], "shards", len(call.Services), "body", len(call.Body))
	}
	return content, err
}

// callRefusalNames are the values of the label and key why for calls that are not served.
var callRefusalNames = map[error]string{
	errIncompleteCall: "incomplete",
	errStopping:       "stopping",
	errBodiesFull:     "bodies",
}

// partialAnswer returns an answer with the results of the given attempts, merged into one list
// of records. reported holds the attempts whose results were sent before: partialAnswer leaves
// these out, and adds the others to reported.
func (r *runner) partialAnswer(ids []scatter.AttemptID, reported map[scatter.AttemptID]bool) *gatherAnswer {
	ans := &gatherAnswer{}
	var bodies [][]byte
	for _, id := range ids {
		if reported[id] {
			continue
		}
		reported[id] = true
		reply := r.replies[id]
		ans.Included = append(ans.Included, r.shards[id])
		ans.Receipts = append(ans.Receipts, reply.metadata.Receipt)
		bodies = append(bodies, reply.Body)
	}
	ans.Records = topk.Merge(r.req.Top, bodies)
	return ans
}
