package health

import (
	"context"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// Leaves sends searches and non-idempotent requests to the leaves of targets.
// route.Router implements it.
type Leaves interface {
	Search(ctx context.Context, target string, leaf int, req target.LeafRequest) (target.LeafAnswer, error)
	Submit(ctx context.Context, target string, leaf int, req target.SubmitRequest) (target.SubmitAnswer, error)
}

// CheckCalls returns a Leaves that makes the calls through leaves. A failed call that
// contradicts the known health of its target makes the Monitor read the target soon. A VM
// that has the health of a target from others could otherwise continue to send calls to
// it by an outdated statement until its next read.
func (r *Relay) CheckCalls(leaves Leaves) Leaves { return checkedLeaves{leaves, r} }

// checkedLeaves is the result of Relay.CheckCalls: it makes calls through Leaves and passes
// their errors to Relay.checkCall.
type checkedLeaves struct {
	Leaves
	relay *Relay
}

// Search searches a leaf and checks the error of the call against the known health of the
// target.
func (c checkedLeaves) Search(ctx context.Context, name string, leaf int, req target.LeafRequest) (target.LeafAnswer, error) {
	answer, err := c.Leaves.Search(ctx, name, leaf, req)
	c.relay.checkCall(name, err)
	return answer, err
}

// Submit sends a non-idempotent request to a leaf and checks the error of the call against
// the known health of the target.
func (c checkedLeaves) Submit(ctx context.Context, name string, leaf int, req target.SubmitRequest) (target.SubmitAnswer, error) {
	answer, err := c.Leaves.Submit(ctx, name, leaf, req)
	c.relay.checkCall(name, err)
	return answer, err
}

// checkCall has the named target read soon if the error of a call to it contradicts its
// known health and this VM doesn't read it over its own connections. err is nil if the
// call succeeded.
func (r *Relay) checkCall(name string, err error) {
	var failure *target.CallError
	if err == nil || !errors.As(err, &failure) || !contradicts(failure) || r.readsDirectly(name) {
		return
	}
	r.contradictions.Inc()
	r.monitor.ReadSoon(name)
}

// contradicts reports whether the failure of a call shows that the known health of the
// target is wrong. Shedding (a refusal because of load) and expired deadlines don't: they
// also happen on a healthy target.
func contradicts(e *target.CallError) bool {
	switch e.Kind {
	case target.ErrorUnreachable, target.ErrorUnknownTarget, target.ErrorMismatched:
		return true
	case target.ErrorRefused:
		return e.Reason == target.ReasonNoSnapshot || e.Reason == target.ReasonDraining || e.Reason == target.ReasonCold
	default:
		return false
	}
}
