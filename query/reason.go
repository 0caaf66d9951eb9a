package query

import (
	"github.com/bramleybarrow/bramleybarrow/policy"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// missingReason returns the reason for which a shard has no answer if the call to its leaf
// failed with e. The coverage in the caller's answer states this reason.
func missingReason(e *target.CallError) policy.Reason {
	switch e.Kind {
	case target.ErrorUnknownTarget:
		return policy.ReasonNoReplica
	case target.ErrorUnreachable:
		return policy.ReasonUnreachable
	case target.ErrorBusy:
		return policy.ReasonBusy
	case target.ErrorRefused:
		return refusalReason(e.Reason)
	case target.ErrorDeadline, target.ErrorCancelled:
		return policy.ReasonTimeout
	case target.ErrorMismatched:
		return policy.ReasonMismatch
	default:
		return policy.ReasonBroken
	}
}

// refusalReason returns the reason for which a shard has no answer if the target refused
// the call with reason r.
func refusalReason(r target.Reason) policy.Reason {
	switch r {
	case target.ReasonNoSnapshot:
		return policy.ReasonSnapshotGone
	case target.ReasonDeadline:
		return policy.ReasonTimeout
	default:
		return policy.ReasonShed
	}
}
