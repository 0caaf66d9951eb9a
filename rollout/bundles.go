package rollout

import (
	"context"
	"errors"
	"fmt"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// Push signs the bundle with the given bytes, writes it to the platform and returns
// its digest. Pushing the same bytes again has no effect.
func (c *Client) Push(ctx context.Context, data []byte) (string, error) {
	if c.opts.Key == nil {
		return "", result.Errorf(result.BadSettings, "a push needs the author's private key; pass --key or make one with keygen")
	}
	signed, err := bundle.Package(data, c.opts.Key)
	if err != nil {
		return "", err
	}
	b, _ := bundle.Parse(data) // Package found no fault
	if b.Deployment != c.opts.Deployment {
		return "", result.Errorf(result.BadBundle, "$.deployment: found %q, allowed is %q", b.Deployment, c.opts.Deployment)
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.Patience)
	defer cancel()
	digest := bundle.Digest(data)
	err = c.createOnce(ctx, KindBundle, digest, signed.Bytes(), func(existing []byte) bool {
		_, err := c.opts.Keys.OpenBundle(existing, digest)
		return err == nil
	})
	return digest, err
}

// LoadBundle reads a bundle from the platform and verifies it.
func (c *Client) LoadBundle(ctx context.Context, digest string) (*bundle.Bundle, error) {
	raw, err := c.readBundle(ctx, digest)
	if err != nil {
		return nil, err
	}
	return c.opts.Keys.OpenBundle(raw, digest)
}

// LoadBundleBytes reads a bundle from the platform, verifies it and returns its
// bytes as the author wrote them.
func (c *Client) LoadBundleBytes(ctx context.Context, digest string) ([]byte, error) {
	raw, err := c.readBundle(ctx, digest)
	if err != nil {
		return nil, err
	}
	if _, err := c.opts.Keys.OpenBundle(raw, digest); err != nil {
		return nil, err
	}
	signed, err := bundle.ParseSigned(raw)
	return signed.Payload, err
}

// readBundle reads the signed bundle from the platform without verifying it. If it
// does not exist, the error has code NotFound.
func (c *Client) readBundle(ctx context.Context, digest string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Patience)
	defer cancel()
	obj, err := c.get(ctx, KindBundle, digest)
	if errors.Is(err, objstore.ErrNotFound) {
		return nil, result.Errorf(result.NotFound, "no bundle %s; list them with bundle list, or push it", digest)
	}
	return obj.Value, err
}

// BundleInfo describes one bundle on the platform. Deployment, Name and Author are
// taken from the bundle's content, and are empty if the bundle has a fault.
type BundleInfo struct {
	Digest     string `json:"digest"` // identifies the bundle
	Deployment string `json:"deployment"`
	Name       string `json:"name"`
	Author     string `json:"author"`
	Bytes      int    `json:"bytes"`           // size of the stored object, signature included
	Fault      string `json:"fault,omitempty"` // why it can't come into force; empty if it is valid
}

// ListBundles returns the bundles on the platform.
func (c *Client) ListBundles(ctx context.Context) ([]BundleInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Patience)
	defer cancel()
	objects, err := c.list(ctx, KindBundle, "")
	if err != nil {
		return nil, err
	}
	list := make([]BundleInfo, 0, len(objects))
	for _, obj := range objects {
		info := BundleInfo{Digest: obj.Name, Bytes: len(obj.Value)}
		b, err := c.opts.Keys.OpenBundle(obj.Value, obj.Name)
		if err != nil {
			info.Fault = err.Error()
		} else {
			info.Deployment, info.Name, info.Author = b.Deployment, b.Name, b.Author
		}
		list = append(list, info)
	}
	return list, nil
}

// SignOff approves a bundle: it writes a signed sign-off to the platform. The
// signer has to be another person than the bundle's author. The sign-off is valid
// until the bundle is recalled.
func (c *Client) SignOff(ctx context.Context, digest, reason string) (bundle.SignOff, error) {
	if c.opts.Key == nil {
		return bundle.SignOff{}, result.Errorf(result.BadSettings, "a sign-off needs your private key; pass --key or make one with keygen")
	}
	b, err := c.LoadBundle(ctx, digest)
	if err != nil {
		return bundle.SignOff{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.Patience)
	defer cancel()
	s, err := c.readState(ctx)
	if err != nil {
		return bundle.SignOff{}, err
	}
	signOff := bundle.SignOff{
		Deployment: c.opts.Deployment, Digest: digest, Person: c.opts.Key.Person,
		After: s.revision(), At: c.opts.Now().UTC(), Reason: reason,
	}
	if err := b.CheckSignOff(signOff, digest); err != nil {
		return signOff, err
	}
	signed := signOff.Sign(c.opts.Key)
	if _, err := c.opts.Keys.OpenSignOff(signed); err != nil {
		return signOff, err
	}
	name := fmt.Sprintf("%s.%s.%020d", digest, c.opts.Key.ID, signOff.After)
	err = c.createOnce(ctx, KindSignOff, name, signed.Bytes(), func(existing []byte) bool {
		old, err := bundle.ParseSigned(existing)
		if err != nil {
			return false
		}
		_, err = c.opts.Keys.OpenSignOff(old)
		return err == nil
	})
	return signOff, err
}

// loadApproved reads the bundle and its newest valid sign-off. If no sign-off is
// valid, the error says that the bundle has none at all, or why the last one that was
// read is invalid.
func (c *Client) loadApproved(ctx context.Context, digest string) (Approved, error) {
	b, err := c.LoadBundle(ctx, digest)
	if err != nil {
		return Approved{}, err
	}
	if b.Deployment != c.opts.Deployment {
		return Approved{}, result.Errorf(result.BadBundle, "$.deployment: found %q, allowed is %q", b.Deployment, c.opts.Deployment)
	}
	objects, err := c.list(ctx, KindSignOff, digest+".")
	if err != nil {
		return Approved{}, err
	}
	best := Approved{Digest: digest, Name: b.Name}
	found := false
	lastErr := error(result.Errorf(result.NotSigned, "bundle %s has no sign-off; another person than %s has to sign it with sign", digest, b.Author))
	for _, obj := range objects {
		signed, err := bundle.ParseSigned(obj.Value)
		if err != nil {
			lastErr = err
			continue
		}
		signOff, err := c.opts.Keys.OpenSignOff(signed)
		if err == nil {
			err = b.CheckSignOff(signOff, digest)
		}
		if err != nil {
			lastErr = err
			continue
		}
		if !found || signOff.After >= best.After {
			best.SignOff, best.After, found = signed, signOff.After, true
		}
	}
	if !found {
		return best, lastErr
	}
	return best, nil
}

// Rollout puts the bundle with the given digest into force. The bundle needs a valid
// sign-off. Rollout returns the entry of the change. After an error, the entry may
// have no field set but Op.
func (c *Client) Rollout(ctx context.Context, digest string, req Request) (Entry, error) {
	entry, err := c.makeChange(ctx, req, intent{ActionRollout, digest}, func(ctx context.Context, head *Head, change Change) (Entry, error) {
		approved, err := c.loadApproved(ctx, digest)
		if err != nil {
			return Entry{}, err
		}
		return NextRollout(c.opts.Deployment, head, change, approved)
	})
	return c.recordIfRefused(ctx, entry, err, Refusal{Action: ActionRollout, Digest: digest}, req)
}

// Recall recalls the bundle with the given digest: its sign-offs become invalid. If
// the bundle is in force, it is replaced by the latest bundle that was in force before,
// was not recalled and would be accepted by VMs. Recall returns the entry of the
// change. After an error, the entry may have no field set but Op.
func (c *Client) Recall(ctx context.Context, digest string, req Request) (Entry, error) {
	entry, err := c.makeChange(ctx, req, intent{ActionRecall, digest}, func(ctx context.Context, head *Head, change Change) (Entry, error) {
		if head == nil || digest != head.Entry.Digest {
			if _, err := c.readBundle(ctx, digest); err != nil {
				return Entry{}, err
			}
			return NextRecall(head, change, digest, nil)
		}
		fallback, err := c.findFallback(ctx, head, digest)
		if err != nil {
			return Entry{}, err
		}
		return NextRecall(head, change, digest, fallback)
	})
	return c.recordIfRefused(ctx, entry, err, Refusal{Action: ActionRecall, Digest: digest}, req)
}

// findFallback returns the bundle that replaces the recalled bundle with the given
// digest: the latest earlier one that was not recalled and that VMs would accept, or
// nil if there is none. It skips bundles whose sign-off is by a key that was retired
// since, and bundles that can't be loaded for another reason than an outage of the
// platform.
func (c *Client) findFallback(ctx context.Context, head *Head, digest string) (*Approved, error) {
	for _, past := range Fallbacks(head, digest) {
		archived, err := c.readArchived(ctx, past.Revision)
		if err != nil {
			return nil, err
		}
		if archived == nil {
			return nil, result.Errorf(result.BrokenAudit, "revision %d is not archived", past.Revision)
		}
		signOff, err := c.opts.Keys.OpenSignOff(archived.Entry.SignOff)
		if err != nil {
			continue
		}
		if _, err := c.LoadBundle(ctx, past.Digest); err != nil {
			if result.CodeOf(err) == result.PlatformDown {
				return nil, err
			}
			continue
		}
		return &Approved{Digest: past.Digest, Name: archived.Entry.Name, SignOff: archived.Entry.SignOff, After: signOff.After}, nil
	}
	return nil, nil
}
