package edge

import (
	"context"
	"encoding/json"

	"github.com/bramleybarrow/bramleybarrow/allotment"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// Methods between VMs about the limits of tenants.
const (
	methodAllot     = "allot"      // tells an accountant of requests, or asks for a token; from allotment.Call to allotment.Answer
	methodAllotNear = "allot_near" // notifies followers of an accountant that tenants have come near their limit; an allotmentNotice
)

// allotmentNotice is what an accountant tells all its followers.
type allotmentNotice struct {
	Group  int              `json:"group"`
	Answer allotment.Answer `json:"answer"`
}

// serveAllotment serves a message of the VM from about the limits of tenants.
func (e *Engine) serveAllotment(from, method string, params []byte) (any, error) {
	a := e.allotments.Load()
	if a == nil {
		return nil, result.Errorf(result.UnknownMethod, "%q: tenants are not limited at this VM", method)
	}
	if method == methodAllotNear {
		var notice allotmentNotice
		if err := json.Unmarshal(params, &notice); err != nil {
			return nil, result.Wrap(result.BadMessage, err, method)
		}
		a.hear(from, &notice)
		return nil, nil
	}
	var call allotment.Call
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, result.Wrap(result.BadMessage, err, method)
	}
	if call.Group < 0 || call.Group >= allotment.Groups || call.From != from {
		return nil, result.Errorf(result.BadMessage, "call of VM %q for group %d from VM %q", call.From, call.Group, from)
	}
	return a.serve(&call)
}

// allot implements peerClient. It sends a call to an accountant, and stores the answer in into. A
// connection on which the call was not answered stays open: other calls may be under way on it.
func (p *peerTransport) allot(ctx context.Context, vm scatter.VM, call *allotment.Call, into *allotment.Answer) error {
	conn, err := p.link(vm).ensureConn(ctx, vm, p)
	if err != nil {
		return err
	}
	return conn.Call(ctx, methodAllot, call, into)
}

// notifyNear implements peerClient. Followers have opened connections to this VM, so the notice goes out
// on those.
func (p *peerTransport) notifyNear(notice *allotmentNotice) {
	for _, conn := range p.server.Conns() {
		if err := conn.Notify(methodAllotNear, notice); err != nil {
			p.log.Debug("telling a VM of tenants near their limit failed", "vm", conn.Peer().VM, "error", err)
		}
	}
}

// allot implements peerClient. It always fails: nothing is sent.
func (noPeerClient) allot(context.Context, scatter.VM, *allotment.Call, *allotment.Answer) error {
	return errNotJoined
}

// notifyNear implements peerClient. It tells nobody.
func (noPeerClient) notifyNear(*allotmentNotice) {}
