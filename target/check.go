package target

import (
	"fmt"
	"strconv"

	"github.com/juju/errors"
)

// leafPath returns the URL path of an operation ("search" or "submit") of a leaf.
func leafPath(leaf int, operation string) string {
	return "/leaves/" + strconv.Itoa(leaf) + "/" + operation
}

// errMismatched marks an answer that belongs to another request.
var errMismatched = errors.New("the answer belongs to another request")

// checkEcho rejects answers that were swapped with another request's, or that
// arrive late or twice. Such an answer is well formed and would otherwise be
// merged into another caller's result. Request, attempt, shard and snapshot
// together identify one call, so an answer with the same four values belongs to
// that call.
func checkEcho(want, got Echo) error {
	if want == got {
		return nil
	}
	return fmt.Errorf("%w: sent %+v, got %+v", errMismatched, want, got)
}

// checkAnswer checks that an answer belongs to req, has no more items than req allows, and
// states possible record counts.
func checkAnswer(req *LeafRequest, answer *LeafAnswer) error {
	if err := checkEcho(req.Echo, answer.Echo); err != nil {
		return err
	}
	if req.Limit > 0 && len(answer.Items) > req.Limit {
		return errors.Errorf("%d items exceed the limit of %d", len(answer.Items), req.Limit)
	}
	if answer.Records < 0 || answer.Missing < 0 || answer.Missing > answer.Records {
		return errors.Errorf("invalid record counts: %d of %d records missing", answer.Missing, answer.Records)
	}
	return nil
}

// checkSubmitAnswer checks that an answer belongs to req and repeats its idempotency key.
func checkSubmitAnswer(req *SubmitRequest, answer *SubmitAnswer) error {
	if err := checkEcho(req.Echo, answer.Echo); err != nil {
		return err
	}
	if req.Key != answer.Key {
		return fmt.Errorf("%w: sent key %q, got %q", errMismatched, req.Key, answer.Key)
	}
	return nil
}

// checkStatus checks that a status describes target, from which it was requested.
func checkStatus(target string, status *Status) error {
	if status.Target != target {
		return fmt.Errorf("%w: sent to %q, got the status of %q", errMismatched, target, status.Target)
	}
	return nil
}
