package health

import (
	"context"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// Leaves reaches the leaves of targets. route.Router implements it.
type Leaves interface {
	Search(ctx context.Context, target string, leaf int, req target.LeafRequest) (target.LeafAnswer, error)
	Submit(ctx context.Context, target string, leaf int, req target.SubmitRequest) (target.SubmitAnswer, error)
}

// CheckCalls returns leaves whose failures are held against what is known of their
// targets. A VM that is told of a target could otherwise go on sending calls to
// it, on the word of a fact that is no longer true, until it is read again.
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

func (r *Relay) checkCall(name string, err error) {
	var failure *target.CallError
	if err == nil || !errors.As(err, &failure) || !contradicts(failure) || r.readsDirectly(name) {
		return
	}
	r.contradictions.Inc()
	r.monitor.Hurry(name)
}

// contradicts tells whether a failure can't be if what is known of the target is
// true. Shedding and deadlines can.
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
