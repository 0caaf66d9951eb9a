package query

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/policy"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// maxLoggedAttempts bounds the failed attempts that the log line of one query lists.
const maxLoggedAttempts = 24

// Errors of attempts in the log.
var (
	errNoWorker  = errors.New("no worker is free") // not sent: the queue of the workers was full
	errCancelled = errors.New("cancelled")         // the query ended, or another attempt was answered
)

// failedAttempt is an attempt that ended without an answer.
type failedAttempt struct {
	send policy.Send
	took time.Duration // from the start of the call to its end
	err  error
}

// String describes the attempt in one line, for the log.
func (f failedAttempt) String() string {
	kind := ""
	if f.send.Hedge {
		kind = " hedge"
	}
	return fmt.Sprintf("shard %d target %s leaf %d%s after %d ms: %v",
		f.send.Shard, f.send.Replica.Target, f.send.Replica.Leaf, kind, f.took.Milliseconds(), f.err)
}

// describeTrail lists the VMs through which the attempts on a shard were made, for the log. It
// returns "" if the targets were called directly.
func (r *runner) describeTrail(shard int) string {
	if vms := r.trails[shard].String(); vms != "" {
		return " via " + vms
	}
	return ""
}

// logFailure logs a query that sent attempts and ended with neither a complete nor a
// sufficient answer: the shards without an answer, the VMs through which their attempts
// were made, and the failed ones of these attempts in the order in which they ended.
func (r *runner) logFailure(code result.Code, out *policy.Outcome) {
	if out.Sent == 0 || code == result.Complete || code == result.Partial {
		return
	}
	var missing []string
	unanswered := map[int]bool{}
	for _, gap := range out.Coverage.Gaps {
		unanswered[gap.Shard] = true
		missing = append(missing, fmt.Sprintf("%d %s%s", gap.Shard, gap.Reason, r.describeTrail(gap.Shard)))
	}
	failed := slices.DeleteFunc(r.failed, func(f failedAttempt) bool { return !unanswered[f.send.Shard] })
	var attempts []string
	for _, f := range failed[:min(len(failed), maxLoggedAttempts)] {
		attempts = append(attempts, f.String())
	}
	r.engine.opts.Log.Info("search failed", "request", r.req.ID, "service", r.svc.name, "code", int(code),
		"took", time.Since(r.req.Arrived).Round(time.Millisecond), "limit", r.req.TimeLimit,
		"sent", out.Sent, "refused", out.Refused, "retries", out.Retries, "hedges", out.Hedges,
		"missing", strings.Join(missing, ", "), "failed", len(failed), "attempts", strings.Join(attempts, "; "))
}
