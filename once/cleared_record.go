package once

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/internal/strictjson"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// ClearedKind is the kind of the platform's objects that record up to which time
// claims have been removed. There is one object per deployment.
const ClearedKind = "claims-cleared"

// clearedRecord is the value of a deployment's object of kind ClearedKind. Claims
// of keys created before the recorded time may have been removed. The recorded time
// never decreases.
type clearedRecord struct {
	Before int64 `json:"before"` // Unix seconds
}

// readClearedRecord returns the deployment's record and the version of its object.
// Both are zero if there is no record: no claims have been removed yet.
func readClearedRecord(ctx context.Context, store objstore.Store, deployment string) (clearedRecord, uint64, error) {
	object, err := store.Get(ctx, ClearedKind, deployment)
	if errors.Is(err, objstore.ErrNotFound) {
		return clearedRecord{}, 0, nil
	}
	if err != nil {
		return clearedRecord{}, 0, errors.Trace(err)
	}
	var c clearedRecord
	// If a record in another form were read as "nothing was removed", requests whose
	// claims were removed could run again.
	if findings := strictjson.Decode(object.Value, &c); len(findings) > 0 {
		return clearedRecord{}, 0, errors.Errorf("cannot decode the record of cleared claims: %s", findings[0])
	}
	return c, object.Version, nil
}

// advanceClearedRecord raises the time in the deployment's record to at least
// before, and returns the recorded time. It must succeed before claims of keys
// older than that time are removed.
func advanceClearedRecord(ctx context.Context, store objstore.Store, deployment string, before time.Time) (time.Time, error) {
	record, version, err := readClearedRecord(ctx, store, deployment)
	if err != nil {
		return time.Time{}, errors.Trace(err)
	}
	if record.Before >= before.Unix() {
		return time.Unix(record.Before, 0), nil
	}
	value, err := json.Marshal(clearedRecord{Before: before.Unix()})
	if err != nil {
		return time.Time{}, errors.Trace(err)
	}
	_, err = store.Put(ctx, ClearedKind, deployment, version, value)
	return before.Truncate(time.Second), errors.Trace(err)
}

// checkCleared is called after the request's key was claimed. It rejects the key if
// an earlier claim of the key may have been removed. Without this check, a request
// that was completed long ago could run a second time: if this VM was paused between
// the check of the key's age and the claim, if this VM's clock is slow, or if this
// VM's KeyTTL is longer than that of other VMs.
//
// The cleaner writes the record before it removes claims, and checkCleared reads the
// record after the claim was made. So if the claim was made after a removal, the
// record shows the removal. If the claim was made before the removal, it was the
// key's only claim, and the request may run at any later time.
//
// checkCleared returns true if the request may run. Otherwise the Outcome is the
// answer to the caller.
//
// Keys younger than half of KeyTTL are not checked, which avoids the read in most
// requests. This is safe as long as clocks are wrong by less than half of KeyTTL.
func (r *Runner) checkCleared(ctx context.Context, req Request) (Outcome, bool) {
	if r.opts.Clock().Sub(req.Key.Created()) < r.opts.KeyTTL/2 {
		return Outcome{}, true
	}
	ctx, cancel := context.WithTimeout(ctx, r.opts.CallTimeout)
	defer cancel()
	record, _, err := readClearedRecord(ctx, r.opts.Store, req.Deployment)
	if err != nil {
		return claimFailed(err), false
	}
	if req.Key.Created().Unix() < record.Before {
		return Outcome{Code: result.KeyExpired, Detail: "the claims of that time have been removed"}, false
	}
	return Outcome{}, true
}
