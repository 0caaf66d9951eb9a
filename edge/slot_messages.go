package edge

import (
	"context"
	"encoding/json"
	"time"

	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/slotbook"
)

// slotCall are the parameters of methodReserveSlot.
type slotCall struct {
	Service   string  `json:"service"`
	Number    uint64  `json:"number"` // of the request at the VM that sends it
	Zone      string  `json:"zone"`
	WorkUS    int64   `json:"work_us"`
	MaxWaitUS int64   `json:"max_wait_us"`
	Ranked    bool    `json:"ranked,omitempty"`
	Rank      int     `json:"rank,omitempty"`
	Tenant    string  `json:"tenant,omitempty"`
	Draw      float64 `json:"draw,omitempty"`
}

// newSlotCall returns the message that states a request for a leaf of a service.
func newSlotCall(service string, req slotbook.Request) *slotCall {
	return &slotCall{
		Service: service, Number: req.ID.Number, Zone: req.Zone, WorkUS: req.Work.Microseconds(), MaxWaitUS: req.MaxWait.Microseconds(),
		Ranked: req.Ranked, Rank: req.Rank, Tenant: req.Tenant, Draw: req.Draw,
	}
}

// maxStatedUS bounds the times in a slotCall, in microseconds.
const maxStatedUS = int64(time.Minute / time.Microsecond)

// request returns the stated request of the named VM.
func (c *slotCall) request(vm string) slotbook.Request {
	stated := func(us int64) time.Duration { return time.Duration(min(max(us, 0), maxStatedUS)) * time.Microsecond }
	return slotbook.Request{
		ID: slotbook.ID{VM: vm, Number: c.Number}, Zone: c.Zone, Work: stated(c.WorkUS), MaxWait: stated(c.MaxWaitUS),
		Ranked: c.Ranked, Rank: c.Rank, Tenant: c.Tenant, Draw: c.Draw,
	}
}

// slotWait are the parameters of methodAwaitSlot.
type slotWait struct {
	Number uint64 `json:"number"`
}

// slotAnswer is the result of methodReserveSlot and methodAwaitSlot. If all of it is zero, the keeper
// has no advice.
type slotAnswer struct {
	Leaf         string `json:"leaf,omitempty"`
	Born         int64  `json:"born,omitempty"`
	Wait         bool   `json:"wait,omitempty"`           // the request waits for a slot
	RetryAfterUS int64  `json:"retry_after_us,omitempty"` // if there is no room: when there is, in microseconds
}

// slotEnd are the parameters of methodEndSlot.
type slotEnd struct {
	Service string `json:"service"`
	Number  uint64 `json:"number"`
	Unused  bool   `json:"unused,omitempty"` // it was not sent to the leaf
	Full    bool   `json:"full,omitempty"`   // the leaf refused it
	Stated  bool   `json:"stated,omitempty"` // Running and Waiting are set
	Running int    `json:"running,omitempty"`
	Waiting int    `json:"waiting,omitempty"`
}

// serve serves a message of the named VM to this one as a keeper of slots.
func (k *slotKeeping) serve(ctx context.Context, vm, method string, params []byte) (any, error) {
	if k == nil || k.e.leaving.Load() {
		return nil, result.Errorf(result.UnknownMethod, "%q: this VM keeps no account of slots", method)
	}
	var call slotCall
	var wait slotWait
	var end slotEnd
	into := map[string]any{methodReserveSlot: &call, methodAwaitSlot: &wait, methodEndSlot: &end}[method]
	if err := json.Unmarshal(params, into); err != nil {
		return nil, result.Wrap(result.BadMessage, err, method)
	}
	switch method {
	case methodReserveSlot:
		return k.name(time.Now(), call.Service, call.request(vm)), nil
	case methodAwaitSlot:
		return k.awaitGrant(ctx, slotbook.ID{VM: vm, Number: wait.Number})
	}
	k.recordEnd(time.Now(), vm, &end)
	return nil, nil
}

// reserveSlot implements peerClient. A connection on which the call was not answered stays open: other
// calls may be under way on it.
func (p *peerTransport) reserveSlot(ctx context.Context, vm scatter.VM, call *slotCall, into *slotAnswer) error {
	conn := p.link(vm).currentUnlessDialing()
	if conn == nil {
		return errNotConnected
	}
	return conn.Call(ctx, methodReserveSlot, call, into)
}

// awaitSlot implements peerClient.
func (p *peerTransport) awaitSlot(ctx context.Context, vm scatter.VM, wait *slotWait, into *slotAnswer) error {
	conn := p.link(vm).currentUnlessDialing()
	if conn == nil {
		return errNotConnected
	}
	return conn.Call(ctx, methodAwaitSlot, wait, into)
}

// endSlot implements peerClient.
func (p *peerTransport) endSlot(vm scatter.VM, end *slotEnd) {
	conn := p.link(vm).currentUnlessDialing()
	if conn == nil {
		return // the keeper forgets the request in time
	}
	if err := conn.Notify(methodEndSlot, end); err != nil {
		p.log.Debug("telling a keeper of slots that a request has ended failed", "vm", vm.Name, "error", err)
	}
}

// reserveSlot implements peerClient. It always fails: nothing is sent.
func (noPeerClient) reserveSlot(context.Context, scatter.VM, *slotCall, *slotAnswer) error {
	return errNotJoined
}

// awaitSlot implements peerClient. It always fails: nothing is sent.
func (noPeerClient) awaitSlot(context.Context, scatter.VM, *slotWait, *slotAnswer) error {
	return errNotJoined
}

// endSlot implements peerClient. It tells nobody.
func (noPeerClient) endSlot(scatter.VM, *slotEnd) {}
