package edge

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/routing"
	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/tenant"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// Hand-over of whole requests: a VM that is short of room offers a caller's request to another VM
// of its zone before it has sent anything to a leaf. If the offer is accepted, it sends the request,
// and passes the other VM's answer on to the caller. Once the request is sent, it never runs it
// itself, so that it runs at one VM. See docs/design/room.md.

// Methods by which a VM hands a request over. Calls are rare, so their parameters are JSON.
const (
	methodOfferRequest = "offer_request" // asks whether the called VM takes a request
	methodRunRequest   = "run_request"   // runs the request of an accepted offer, and returns its answer
	methodDropRequest  = "drop_request"  // a notification: the caller of the request has disconnected
)

// Parameters of hand-overs.
const (
	// offerTimeShare is the longest wait for the answer to an offer, as a share of the time until
	// the request's deadline. After it, the VM runs the request itself. A VM that is short of room
	// also reads the answer late.
	offerTimeShare = 0.15
	// returnTime is kept of a request's time for the way of its answer between the two VMs.
	returnTime = 4 * time.Millisecond
	// offerValidity is how long an accepted offer is valid. A VM that was frozen in between
	// doesn't run the request, whose caller has waited in vain.
	offerValidity = 500 * time.Millisecond
	// maxTakenRequests bounds the requests that one VM has accepted from others and not
	// finished.
	maxTakenRequests = 8
	// handedCopies is the memory for the message that hands a request over, as a multiple of its body: the
	// body in JSON, and the frame that holds it.
	handedCopies = 3
	// maxHandedBody is the longest body of a request that is handed over, in bytes. In JSON it
	// still fits a message between VMs.
	maxHandedBody = 1 << 20
)

// offerCall are the parameters of methodOfferRequest.
type offerCall struct {
	Manifest int64 `json:"manifest"` // version in force at the calling VM; an offer is refused if it differs
}

// offerAnswer is the result of methodOfferRequest.
type offerAnswer struct {
	Accepted bool   `json:"accepted"`
	Offer    uint64 `json:"offer"` // if accepted: number of the offer at the called VM
}

// runCall are the parameters of methodRunRequest. Fields that end in US are in microseconds from
// the sending of the call.
type runCall struct {
	held *heldBody // the message, at the called VM; retained by attempts

	Offer    uint64 `json:"offer"`
	Manifest int64  `json:"manifest"`
	ID       string `json:"id"`
	peerRequest
	AnswerByUS int64  `json:"answer_by_us"`
	DueUS      int64  `json:"due_us"`
	DeadlineUS int64  `json:"deadline_us"`
	Rank       int    `json:"rank,omitempty"`
	Tenant     string `json:"tenant,omitempty"`
}

// runAnswer is the result of methodRunRequest.
type runAnswer struct {
	Status       int         `json:"status"`
	Header       http.Header `json:"header"`
	Body         []byte      `json:"body,omitempty"`
	Verdict      int         `json:"verdict"` // a scatter.Verdict
	Missing      int         `json:"missing,omitempty"`
	RetryAfterUS int64       `json:"retry_after_us,omitempty"`

	onSent func() // nil, or called once the answer was sent
}

// Sent implements wire.SentResult.
func (a *runAnswer) Sent() {
	if a.onSent != nil {
		a.onSent()
	}
}

// check returns an error if the answer can't be passed on. A VM of a later release may send other
// values than this one knows.
func (a *runAnswer) check() error {
	if a.Status < http.StatusOK || a.Status > 999 || a.Verdict < 0 || a.Verdict > int(scatter.TooFewShards) {
		return result.Errorf(result.BadMessage, "answer with status %d and verdict %d", a.Status, a.Verdict)
	}
	return nil
}

// dropCall are the parameters of methodDropRequest.
type dropCall struct {
	Offer uint64 `json:"offer"`
}

// requestTaker is a peerClient that can hand requests over.
type requestTaker interface {
	peerClient
	// offerRequest asks a VM to which there is a connection whether it takes a request.
	offerRequest(ctx context.Context, vm scatter.VM, call *offerCall) (*offerAnswer, error)
	// runRequest lets a VM run the request of an accepted offer. An error with one of the codes
	// result.NotStarted and result.PeerBusy means that the VM has not run the request and never
	// will. After any other error it may run it.
	runRequest(ctx context.Context, vm scatter.VM, call *runCall) (*runAnswer, error)
}

// offerRequest implements requestTaker. It opens no connection.
func (p *peerTransport) offerRequest(ctx context.Context, vm scatter.VM, call *offerCall) (*offerAnswer, error) {
	conn := p.link(vm).currentUnlessDialing()
	if conn == nil {
		return nil, errNotConnected
	}
	ans := new(offerAnswer)
	return ans, conn.Call(ctx, methodOfferRequest, call, ans)
}

// runRequest implements requestTaker. If ctx is canceled, the VM is told to drop the request.
func (p *peerTransport) runRequest(ctx context.Context, vm scatter.VM, call *runCall) (*runAnswer, error) {
	conn := p.link(vm).currentUnlessDialing()
	if conn == nil {
		return nil, result.Errorf(result.NotStarted, "no connection to %s", vm.Name)
	}
	ans := new(runAnswer)
	err := conn.Call(ctx, methodRunRequest, call, ans)
	if errors.Is(ctx.Err(), context.Canceled) {
		if err := conn.Notify(methodDropRequest, dropCall{Offer: call.Offer}); err != nil {
			p.log.Debug("telling a VM to drop a request failed", "vm", vm.Name, "error", err)
		}
	}
	return ans, err
}

// serveOrHandOver serves a caller's request on a route of the manifest with the given version. If
// this VM is short of room, another one may serve it.
func (e *Engine) serveOrHandOver(r *http.Request, req *Request, route *routing.Route, who origin, version int64) *Result {
	if res := e.handOver(r.Context(), req, who, version); res != nil {
		return res
	}
	return e.serve(r, req, route, who)
}

// handOver lets another VM serve a request, and returns its result. It returns nil if this VM has to
// serve the request itself. ctx ends when the caller disconnects.
func (e *Engine) handOver(ctx context.Context, req *Request, who origin, version int64) *Result {
	factor, short := e.room.Load().shortage(time.Now())
	if !short || len(req.HTTP.Body) > maxHandedBody || e.mayOutlast(req) {
		return nil
	}
	vm, client, ok := e.pickTaker(factor)
	if !ok {
		return nil
	}
	enterStage(ctx, stageOffer)
	sentAt := time.Now()
	offerCtx, cancel := e.stopping.bound(ctx, sentAt.Add(time.Duration(offerTimeShare*float64(time.Until(req.Deadline)))))
	offer, err := client.offerRequest(offerCtx, vm, &offerCall{Manifest: version})
	cancel()
	e.mu.Lock()
	e.table.CallAcknowledged(time.Now(), vm.Name, time.Since(sentAt))
	e.mu.Unlock()
	if ctx.Err() != nil {
		return e.handOverAbandoned()
	}
	if err != nil || !offer.Accepted || e.mayOutlast(req) { // this VM may have been told to stop meanwhile
		e.countHandOver("not_accepted")
		return nil
	}
	free, ok := e.intake.reserve(demandCopy, handedCopies*int64(len(req.HTTP.Body)))
	if !ok {
		e.countHandOver("no_memory")
		return nil
	}
	defer free()
	runCtx, cancel := e.stopping.bound(ctx, req.Deadline)
	defer cancel()
	handedAt := time.Now()
	ans, err := client.runRequest(runCtx, vm, newRunCall(req, who, version, offer.Offer))
	res := e.handedOver(ctx, req, vm, ans, err)
	if res != nil && err != nil && res.Outcome.Verdict == scatter.Unknown && e.stopping.over.Err() != nil {
		res.Status = http.StatusGatewayTimeout
		res.Outcome = scatter.Outcome{Verdict: scatter.TimedOut, Stopped: true, AtWork: time.Since(handedAt)}
	}
	return res
}

// mayOutlast reports whether a request may still run when this VM ends. Another VM would not know by
// when its answer is needed.
func (e *Engine) mayOutlast(req *Request) bool {
	stop := e.stopping.time()
	return !stop.IsZero() && req.Deadline.After(stop)
}

// handedOver returns the result of a request that was sent to a VM, from that VM's answer or the
// error of the call. It returns nil if that VM has certainly not run the request, so that this VM
// may. Otherwise it never does, also if the request is idempotent: the other VM may have sent it to
// as many leafs as are allowed.
func (e *Engine) handedOver(ctx context.Context, req *Request, vm scatter.VM, ans *runAnswer, err error) *Result {
	if err == nil {
		err = ans.check()
	}
	switch {
	case err == nil:
		e.countHandOver("answered")
		e.log.Info("request handed over", "request", req.ID, "vm", vm.Name)
		return &Result{Status: ans.Status, Header: ans.Header, Body: ans.Body, Outcome: scatter.Outcome{
			Verdict: scatter.Verdict(ans.Verdict), Missing: ans.Missing, RetryAfter: time.Duration(ans.RetryAfterUS) * time.Microsecond,
		}}
	case result.CodeOf(err) == result.NotStarted, result.CodeOf(err) == result.PeerBusy:
		e.countHandOver("not_started")
		return nil
	case ctx.Err() != nil:
		return e.handOverAbandoned()
	}
	e.countHandOver("lost")
	e.log.Warn("handing a request over failed", "request", req.ID, "vm", vm.Name, "error", err)
	res := &Result{Status: http.StatusBadGateway, Header: http.Header{}, Outcome: scatter.Outcome{Verdict: scatter.Unknown}}
	if !time.Now().Before(req.Deadline) {
		res.Status, res.Outcome.Verdict = http.StatusGatewayTimeout, scatter.TimedOut
	}
	return res
}

// handOverAbandoned returns the result of a request whose caller has disconnected.
func (e *Engine) handOverAbandoned() *Result {
	e.countHandOver("abandoned")
	return &Result{Outcome: scatter.Outcome{Verdict: scatter.Abandoned}}
}

// countHandOver counts a request that was offered to another VM. end says what became of it.
func (e *Engine) countHandOver(end string) {
	e.stats.count(`bramley_edge_request_handovers_total{end=%q}`, end)
}

// pickTaker returns the VM to offer a request to, and the client to call it. factor is the share of
// its nominal power that this VM can give to more work.
func (e *Engine) pickTaker(factor float64) (vm scatter.VM, client requestTaker, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	client, ok = e.peerClient.(requestTaker)
	if !ok {
		return scatter.VM{}, nil, false
	}
	vm, ok = e.table.PickTaker(time.Now(), factor, client.connected)
	return vm, client, ok
}

// newRunCall returns the message that hands a request over. Its times count from now.
func newRunCall(req *Request, who origin, version int64, offer uint64) *runCall {
	return &runCall{
		Offer: offer, Manifest: version, ID: req.ID, peerRequest: newPeerRequest(req.HTTP),
		AnswerByUS: (time.Until(req.AnswerBy) - returnTime).Microseconds(),
		DueUS:      (time.Until(req.DueAt) - returnTime).Microseconds(),
		DeadlineUS: (time.Until(req.Deadline) - returnTime).Microseconds(),
		Rank:       who.rank, Tenant: who.name(),
	}
}

// takenRequests are the requests that this VM has accepted from others and not finished. It is safe
// for concurrent use. The zero value is empty.
type takenRequests struct {
	mu     sync.Mutex
	offers map[uint64]*acceptedOffer // by number
	last   uint64                    // number of the latest offer
}

// acceptedOffer is a request that this VM has accepted.
type acceptedOffer struct {
	vm     string             // name of the VM that made the offer
	at     time.Time          // when it was accepted
	cancel context.CancelFunc // ends the request; nil before it runs
}

// accept accepts an offer of the named VM if there are not too many, and returns its number.
func (t *takenRequests) accept(now time.Time, vm string) (offer uint64, accepted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, o := range t.offers {
		if o.cancel == nil && now.Sub(o.at) > offerValidity {
			delete(t.offers, n)
		}
	}
	if len(t.offers) >= maxTakenRequests {
		return 0, false
	}
	if t.offers == nil {
		t.offers = make(map[uint64]*acceptedOffer)
	}
	t.last++
	t.offers[t.last] = &acceptedOffer{vm: vm, at: now}
	return t.last, true
}

// begin records that the request of an offer runs now, and reports whether it may: the named VM made
// the offer, which is still valid and whose request has not run. cancel ends the request.
func (t *takenRequests) begin(now time.Time, vm string, offer uint64, cancel context.CancelFunc) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.offers[offer]
	if o == nil || o.vm != vm || o.cancel != nil || now.Sub(o.at) > offerValidity {
		return false
	}
	o.cancel = cancel
	return true
}

// drop ends the request of an offer that the named VM made, if it runs.
func (t *takenRequests) drop(vm string, offer uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.offers[offer]; o != nil && o.vm == vm && o.cancel != nil {
		o.cancel()
	}
}

// end removes an offer whose request has ended.
func (t *takenRequests) end(offer uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.offers, offer)
}

// serveRun serves the message by which another VM hands a request over after an offer. held is the message.
func (e *Engine) serveRun(ctx context.Context, conn *wire.Conn, params []byte, held *heldBody) (any, error) {
	call := runCall{held: held}
	if err := decodeParams(params, &call); err != nil {
		return nil, err
	}
	return e.runTaken(ctx, conn.Peer().VM, &call)
}

// serveRequestOffer serves the messages before and after the one by which another VM hands a request over.
func (e *Engine) serveRequestOffer(ctx context.Context, conn *wire.Conn, method string, params []byte) (any, error) {
	vm := conn.Peer().VM
	switch method {
	case methodOfferRequest:
		var call offerCall
		if err := decodeParams(params, &call); err != nil {
			return nil, err
		}
		return e.considerOffer(time.Now(), vm, &call), nil
	default:
		var call dropCall
		if err := decodeParams(params, &call); err != nil {
			return nil, err
		}
		e.taken.drop(vm, call.Offer)
		return nil, nil
	}
}

// decodeParams decodes the parameters of a message by which a request is handed over.
func decodeParams(params []byte, into any) error {
	if err := json.Unmarshal(params, into); err != nil {
		return result.Wrap(result.BadMessage, err, "hand-over")
	}
	return nil
}

// considerOffer accepts or refuses an offer of the named VM. It is refused unless this VM has room
// and takes callers, and has the same manifest in force.
func (e *Engine) considerOffer(now time.Time, vm string, call *offerCall) *offerAnswer {
	m := e.inForce.Get()
	if m == nil || m.Version != call.Manifest || !e.room.Load().mayTake(now) {
		return &offerAnswer{}
	}
	offer, accepted := e.taken.accept(now, vm)
	return &offerAnswer{Accepted: accepted, Offer: offer}
}

// runTaken runs the request of an accepted offer of the named VM, and returns its answer. It never
// hands the request over again. It counts as work for that VM until the answer was sent.
func (e *Engine) runTaken(ctx context.Context, vm string, call *runCall) (ans *runAnswer, err error) {
	m := e.inForce.Get()
	path, _, _ := strings.Cut(call.Target, "?")
	var route *routing.Route
	if m != nil && m.Version == call.Manifest {
		route = m.Match(call.Host, path)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := e.peerWork.begin(len(call.Body)); err != nil {
		return nil, result.Wrap(result.NotStarted, err, "request of another VM")
	}
	end := func() { e.peerWork.end(len(call.Body)) }
	defer func() {
		if ans == nil {
			end()
		}
	}()
	now := time.Now()
	if route == nil || !e.taken.begin(now, vm, call.Offer, cancel) {
		return nil, result.Errorf(result.NotStarted, "offer %d is not valid any more", call.Offer)
	}
	defer e.taken.end(call.Offer)
	fromNow := func(us int64) time.Time { return now.Add(time.Duration(us) * time.Microsecond) }
	req := &Request{
		ID: call.ID, AnswerBy: fromNow(call.AnswerByUS), DueAt: fromNow(call.DueUS), Deadline: fromNow(call.DeadlineUS), Top: route.Top,
		HTTP: call.leafRequest(), held: call.held,
	}
	who := origin{rank: call.Rank}
	if call.Tenant != "" {
		who.tenant = &tenant.Tenant{Name: call.Tenant}
	}
	res := e.serve(new(http.Request).WithContext(ctx), req, route, who)
	e.stats.count(`bramley_edge_requests_taken_over_total{verdict=%q}`, res.Outcome.Verdict)
	if res.Outcome.Verdict == scatter.NotRun && !e.stopping.time().IsZero() {
		// This VM may have refused it for its own stop, so the other one decides by itself.
		return nil, result.Wrap(result.NotStarted, errStopping, "request of another VM")
	}
	return &runAnswer{
		Status: res.Status, Header: res.Header, Body: res.Body,
		Verdict: int(res.Outcome.Verdict), Missing: res.Outcome.Missing, RetryAfterUS: res.Outcome.RetryAfter.Microseconds(),
		onSent: end,
	}, nil
}
