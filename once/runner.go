package once

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/juju/errors"
)

const (
	retryAfterInProgress = 200 * time.Millisecond // Outcome.RetryAfter while the first request with the key runs, or if claiming the key took too long
	retryAfterDown       = time.Second            // Outcome.RetryAfter if the platform is down or too many claims wait
	opIDBytes            = 8                      // random bytes in an operation id

	// detailNotStored is the detail of a stored outcome without its result.
	detailNotStored = "the result was too large to be kept; the request was run once"
)

// Runner runs non-idempotent requests at most once. It claims the key of each
// request on the platform and runs the request only if it won the claim. It is safe
// for concurrent use.
type Runner struct {
	opts       Options
	holder     string      // VM and incarnation (start of this process), stored as entry.Holder
	committer  *committer  // applies operations to segments by this VM's own updates
	dispatcher *dispatcher // relays operations to other VMs or passes them to committer
	cleaner    *cleaner    // removes expired claims
}

// NewRunner starts a Runner. Call Close to stop it.
func NewRunner(opts Options) *Runner {
	opts = opts.withDefaults()
	r := &Runner{
		opts:      opts,
		holder:    opts.VM + "/" + opts.Incarnation,
		committer: newCommitter(opts),
	}
	r.dispatcher = newDispatcher(opts, r.committer)
	r.cleaner = startCleaner(opts)
	return r
}

// SetFleetSize sets how many VMs, including this one, share the writes per second
// that the fleet may send to the platform.
func (r *Runner) SetFleetSize(vms int) {
	r.committer.credit.setRate(r.opts.FleetWriteRate/float64(max(vms, 1)), time.Now())
}

// Close waits until the outcomes of all requests are stored or ctx ends, and stops
// the background work. Call it after the last Run has returned. It returns an error
// if outcomes could not be stored; later requests with the same keys get the answer
// "unknown".
func (r *Runner) Close(ctx context.Context) error {
	r.cleaner.stop()
	return errors.Trace(r.committer.close(ctx))
}

// Run claims the request's key and, if this call won the claim, calls run once. run
// may hand the request to one target. If the code of run's outcome means "not run",
// the key is released. Otherwise later requests with the same key never call run.
// They get the stored outcome or, until it is stored, "in progress" or "unknown".
func (r *Runner) Run(ctx context.Context, req Request, run func(ctx context.Context) Outcome) Outcome {
	if out, ok := r.checkAge(req.Key); !ok {
		return out
	}
	claim := r.newClaim(ctx, req)
	name := segmentName(req.Deployment, req.Key.Created())
	name, rep, err := r.claim(ctx, name, &claim)
	if err != nil {
		return claimFailed(err)
	}
	switch rep.verdict {
	case verdictHeld:
		return r.answerHeld(req, rep.held)
	case verdictFull:
		return Outcome{Code: result.Overloaded, Detail: "no more keys of that second can be claimed; make a new key", RetryAfter: segmentWindow}
	}
	if out, ok := r.checkCleared(ctx, req); !ok {
		r.finish(name, claim, opRelease, nil)
		return out
	}
	if ctx.Err() != nil {
		r.finish(name, claim, opRelease, nil)
		return Outcome{Code: result.CannotMeetLimit, Detail: "the time limit passed while the key was claimed", RetryAfter: retryAfterInProgress}
	}
	out := run(ctx)
	r.storeOutcome(ctx, name, claim, out)
	return out
}

// newClaim returns the operation that claims the request's key. The claim contains
// the time by which the request should be done: the deadline of ctx or, if there is
// none, RunTimeout from now.
func (r *Runner) newClaim(ctx context.Context, req Request) op {
	until := r.opts.Clock().Add(r.opts.RunTimeout)
	if deadline, ok := ctx.Deadline(); ok {
		until = r.opts.Clock().Add(time.Until(deadline))
	}
	return op{
		kind: opClaim,
		id:   claimID(req.Search, req.Key),
		entry: entry{
			Digest:  req.Digest,
			Op:      newOpID(),
			Holder:  r.holder,
			UntilMS: until.UnixMilli(),
		},
	}
}

// storeOutcome stores the outcome, so that later requests with the same key get the
// same answer. If the request was not run, it releases the claim instead. It waits
// until this is done, at most OutcomeWait or until ctx ends. The caller may be
// answered before the outcome is stored: until then, a later request with the same
// key gets the answer "in progress" or "unknown" and never runs.
func (r *Runner) storeOutcome(ctx context.Context, name string, claim op, out Outcome) {
	var done <-chan reply
	if out.Code.Info().Ran == result.RanNo {
		done = r.finish(name, claim, opRelease, nil)
	} else {
		done = r.finish(name, claim, opComplete, r.storedOutcomeOf(out))
	}
	timer := time.NewTimer(r.opts.OutcomeWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// claim applies the claim to the segment with the given name or, if that segment is
// sealed (was full once), to the key's overflow segment. It returns the name of the
// segment that was used and the reply. It sets claim.barOnRelease if another VM may
// still add the claim to that segment.
func (r *Runner) claim(ctx context.Context, name string, claim *op) (string, reply, error) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.ClaimWait)
	defer cancel()
	rep, err := r.dispatcher.claim(ctx, name, claim)
	if err == nil && rep.verdict == verdictMoved {
		name = overflowName(name, claim.id)
		rep, err = r.dispatcher.claim(ctx, name, claim)
	}
	return name, rep, err
}

// storedOutcomeOf returns the outcome as it is stored. A detail longer than
// maxDetailBytes is cut, and a result larger than MaxResultBytes is left out.
func (r *Runner) storedOutcomeOf(out Outcome) *storedOutcome {
	stored := &storedOutcome{Code: out.Code, Result: out.Result, Detail: out.Detail}
	if len(stored.Detail) > maxDetailBytes {
		stored.Detail = stored.Detail[:maxDetailBytes]
	}
	if len(stored.Result) > r.opts.MaxResultBytes {
		stored.Result = nil
		stored.Detail = detailNotStored
	}
	return stored
}

// finish ends a claim in the background: it stores the outcome (kind opComplete), or
// removes the claim (kind opRelease; outcome is nil). The channel gets the reply, or
// nothing if the Runner is closed first.
func (r *Runner) finish(name string, claim op, kind opKind, outcome *storedOutcome) <-chan reply {
	claim.kind = kind
	claim.entry.Outcome = outcome
	return r.dispatcher.finish(name, claim)
}

// checkAge rejects a key that is older than KeyTTL, or whose time is further in the
// future than MaxClockSkew. It returns true if the key may be used. Otherwise the
// Outcome is the answer to the caller.
func (r *Runner) checkAge(key Key) (Outcome, bool) {
	age := r.opts.Clock().Sub(key.Created())
	if age > r.opts.KeyTTL {
		return Outcome{Code: result.KeyExpired, Detail: fmt.Sprintf("the key is %v old, allowed are %v", age.Round(time.Second), r.opts.KeyTTL)}, false
	}
	if age < -r.opts.MaxClockSkew {
		return Outcome{Code: result.BadRequest, Detail: fmt.Sprintf("the key's time is %v in the future, allowed are %v", (-age).Round(time.Second), r.opts.MaxClockSkew)}, false
	}
	return Outcome{}, true
}

// answerHeld returns the answer to a request whose key was claimed by an earlier
// request: the stored outcome, or that the earlier request is in progress or its
// outcome is unknown. held is the entry of the earlier request.
func (r *Runner) answerHeld(req Request, held entry) Outcome {
	if held.Digest != req.Digest {
		return Outcome{Code: result.KeyReused}
	}
	if held.Outcome != nil {
		return Outcome{Code: held.Outcome.Code, Result: held.Outcome.Result, Detail: held.Outcome.Detail, Replayed: true}
	}
	if r.opts.Clock().UnixMilli() <= held.UntilMS {
		return Outcome{Code: result.InProgress, RetryAfter: retryAfterInProgress}
	}
	return Outcome{Code: result.OutcomeUnknown, Detail: "the VM that claimed the key has not reported an outcome"}
}

// claimFailed returns the answer to a caller whose claim failed with err. The answer
// means "not run", which is true even if the claim was stored: only the call of Run
// that made the claim hands the request to a target, and that call ends here.
func claimFailed(err error) Outcome {
	if errors.Is(err, errBusy) {
		return Outcome{Code: result.Overloaded, Detail: "too many requests are waiting for their claim", RetryAfter: retryAfterDown}
	}
	return Outcome{Code: result.ClaimsDown, Detail: err.Error(), RetryAfter: retryAfterDown}
}

// newOpID returns a random operation id in hex. The same id in a stored entry shows
// that the operation's own claim was stored.
func newOpID() string {
	var b [opIDBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}
