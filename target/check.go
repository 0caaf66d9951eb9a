package target

import (
	"fmt"
	"strconv"

	"github.com/juju/errors"
)

func leafPath(leaf int, verb string) string {
	return "/leaves/" + strconv.Itoa(leaf) + "/" + verb
}

// errMismatched marks an answer that belongs to another request.
var errMismatched = errors.New("the answer belongs to another request")

// checkEcho guards against answers that arrive crossed, late or twice: such an
// answer is well formed and would be merged into another caller's result.
// Request, attempt, shard and snapshot together name one call, so that an
// answer with the same four was made for that call.
func checkEcho(want, got Echo) error {
	if want == got {
		return nil
	}
	return fmt.Errorf("%w: sent %+v, got %+v", errMismatched, want, got)
}

func checkAnswer(req *LeafRequest, answer *LeafAnswer) error {
	if err := checkEcho(req.Echo, answer.Echo); err != nil {
		return err
	}
	if req.Limit > 0 && len(answer.Items) > req.Limit {
		return errors.Errorf("%d items, but %d were asked for", len(answer.Items), req.Limit)
	}
	if answer.Records < 0 || answer.Missing < 0 || answer.Missing > answer.Records {
		return errors.Errorf("%d of %d records missing", answer.Missing, answer.Records)
	}
	return nil
}

func checkSubmitAnswer(req *SubmitRequest, answer *SubmitAnswer) error {
	if err := checkEcho(req.Echo, answer.Echo); err != nil {
		return err
	}
	if req.Key != answer.Key {
		return fmt.Errorf("%w: sent key %q, got %q", errMismatched, req.Key, answer.Key)
	}
	return nil
}

func checkStatus(target string, status *Status) error {
	if status.Target != target {
		return fmt.Errorf("%w: asked %q, got the status of %q", errMismatched, target, status.Target)
	}
	return nil
}
