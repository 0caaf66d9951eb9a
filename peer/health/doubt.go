package health

import (
	"context"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// Leaves sends calls to the leaves of targets. route.Router implements it.
type Leaves interface {
	Search(ctx context.Context, target string, leaf int, req target.LeafRequest) (target.LeafAnswer, error)
	Submit(ctx context.Context, target string, leaf int, req target.SubmitRequest) (target.SubmitAnswer, error)
}

// CheckCalls wraps leaves: a failed call that contradicts the known health of its
// target makes the Monitor read the target soon. A VM that has the health of a target
// from others could otherwise continue to send calls to it by an outdated statement
// until its next read.
func (r *Relay) CheckCalls(leaves Leaves) Leaves { return checkedLeaves{leaves, r} }

type checkedLeaves struct {
	Leaves
	relay *Relay
}

func (d checkedLeaves) Search(ctx context.Context, name string, leaf int, req target.LeafRequest) (target.LeafAnswer, error) {
	answer, err := d.Leaves.Search(ctx, name, leaf, req)
	d.relay.checkCall(name, err)
	return answer, err
}

func (d checkedLeaves) Submit(ctx context.Context, name string, leaf int, req target.SubmitRequest) (target.SubmitAnswer, error) {
	answer, err := d.Leaves.Submit(ctx, name, leaf, req)
	d.relay.checkCall(name, err)
	return answer, err
}

// checkCall has the target read soon if the error of a call contradicts the target's
// known health and this VM doesn't read the target over its own connections.
func (r *Relay) checkCall(name string, err error) {
	var failure *target.CallError
	if err == nil || !errors.As(err, &failure) || !contradicts(failure) || r.readsDirectly(name) {
		return
	}
	r.contradictions.Inc()
	r.monitor.ReadSoon(name)
}

// contradicts reports whether a failure can't happen if the known health of the
// target is correct. Shedding and expired deadlines can happen.
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
