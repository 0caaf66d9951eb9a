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

// ClearedKind is the platform's kind of the one object per deployment that
// says up to which time claims have been cleared.
const ClearedKind = "claims-cleared"

// clearedRecord is the value of that object. Keys made before the time may have been
// claimed and clearedRecord. It only rises.
type clearedRecord struct {
	Before int64 `json:"before"` // Unix seconds
}

func readClearedRecord(ctx context.Context, store objstore.Store, deployment string) (clearedRecord, uint64, error) {
	object, err := store.Get(ctx, ClearedKind, deployment)
	if errors.Is(err, objstore.ErrNotFound) {
		return clearedRecord{}, 0, nil
	}
	if err != nil {
		return clearedRecord{}, 0, errors.Trace(err)
	}
	var c clearedRecord
	// Read as "nothing was cleared", a record in another form would let cleared
	// keys run again.
	if findings := strictjson.Decode(object.Value, &c); len(findings) > 0 {
		return clearedRecord{}, 0, errors.Errorf("the record of cleared claims is not readable: %s", findings[0])
	}
	return c, object.Version, nil
}

// advanceClearedRecord makes the record say at least before and returns what it says.
// It must have succeeded before a claim older than that is removed.
func advanceClearedRecord(ctx context.Context, store objstore.Store, deployment string, before time.Time) (time.Time, error) {
	have, version, err := readClearedRecord(ctx, store, deployment)
	if err != nil {
		return time.Time{}, errors.Trace(err)
	}
	if have.Before >= before.Unix() {
		return time.Unix(have.Before, 0), nil
	}
	value, err := json.Marshal(clearedRecord{Before: before.Unix()})
	if err != nil {
		return time.Time{}, errors.Trace(err)
	}
	_, err = store.Put(ctx, ClearedKind, deployment, version, value)
	return before.Truncate(time.Second), errors.Trace(err)
}

// checkCleared refuses a key whose claim may have been cleared before it was
// claimed again. The failure is a second run of a key that is long done. It
// takes a VM that was paused between its check of the key's age and its claim,
// or whose clock is slow or Keep longer. The cleaner writes its record before it
// removes, and this read follows the claim: a claim made after the removal finds
// the record. One made before it was the only one, however late it is used.
//
// Keys younger than half of Keep are not looked up, which keeps the read off
// the usual path. So clocks may be wrong by as much as half of Keep.
func (r *Runner) checkCleared(ctx context.Context, req Request) (Outcome, bool) {
	if r.opts.Clock().Sub(req.Key.Created()) < r.opts.KeyTTL/2 {
		return Outcome{}, true
	}
	ctx, cancel := context.WithTimeout(ctx, r.opts.CallTimeout)
	defer cancel()
	have, _, err := readClearedRecord(ctx, r.opts.Store, req.Deployment)
	if err != nil {
		return claimFailed(err), false
	}
	if req.Key.Created().Unix() < have.Before {
		return Outcome{Code: result.KeyExpired, Detail: "claims of that time have been cleared"}, false
	}
	return Outcome{}, true
}
