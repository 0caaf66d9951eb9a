package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// Refusal records a change that was refused. Refusals are not part of the audit
// chain; they are stored beside it on a best-effort basis.
type Refusal struct {
	Deployment string      `json:"deployment"`
	Op         OpID        `json:"op,omitempty"` // empty if the change was refused before it had an operation id
	Action     Action      `json:"action"`       // that the operator wanted: rollout or recall
	Digest     string      `json:"digest"`       // of the bundle to roll out or recall
	Reason     string      `json:"reason"`       // why the operator wanted the change
	Person     string      `json:"person"`       // operator who requested the change
	At         time.Time   `json:"at"`           // when the refusal was recorded, by the operator's clock
	Code       result.Code `json:"code"`         // why the change was refused
	Detail     string      `json:"detail"`       // text of the error
}

// refusalTimeout bounds how long an operator waits until the refusal of a change is
// recorded.
const refusalTimeout = 2 * time.Second

// recordIfRefused records the change req if it was refused with err, and returns its
// arguments e and err. Of the change's entry e it uses only Op; r holds the action and
// the digest. Nothing is recorded if the outcome is unknown, after a dry run, without
// a key to sign the record, or if the platform is down, since the record can't be
// written either.
func (c *Client) recordIfRefused(ctx context.Context, e Entry, err error, r Refusal, req Request) (Entry, error) {
	if err == nil {
		return e, nil
	}
	code := result.CodeOf(err)
	if req.DryRun || c.opts.Key == nil || code == result.WriteUnknown || code == result.PlatformDown {
		return e, err
	}
	r.Deployment, r.Person, r.Reason = c.opts.Deployment, c.opts.Key.Person, req.Reason
	r.Op, r.At = e.Op, c.opts.Now().UTC()
	r.Code, r.Detail = code, err.Error()
	payload, encodeErr := json.Marshal(r)
	if encodeErr != nil {
		return e, err
	}
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	signed := bundle.Sign(bundle.PurposeRefusal, payload, c.opts.Key)
	name := fmt.Sprintf("%s.%020d.%s", r.Deployment, r.At.UnixNano(), signed.Hash()[:16])
	// The operator gets err whether or not the record is written.
	_ = c.createOnce(ctx, KindRefusal, name, signed.Bytes(), func([]byte) bool { return true })
	return e, err
}

// Refusals returns the recorded refusals of the deployment, oldest first. It leaves
// out records without a valid signature by a known key.
func (c *Client) Refusals(ctx context.Context) ([]Refusal, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Patience)
	defer cancel()
	objects, err := c.list(ctx, KindRefusal, c.opts.Deployment+".")
	if err != nil {
		return nil, err
	}
	list := make([]Refusal, 0, len(objects))
	for _, obj := range objects {
		signed, err := bundle.ParseSigned(obj.Value)
		if err != nil {
			continue
		}
		if _, err := c.opts.Keys.VerifyWithRetired(signed, bundle.PurposeRefusal); err != nil {
			continue // not signed by a known key
		}
		var r Refusal
		if json.Unmarshal(signed.Payload, &r) == nil {
			list = append(list, r)
		}
	}
	return list, nil
}
