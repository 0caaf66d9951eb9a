package rollout

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/internal/defaults"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// ClientOptions configures a Client. Zero values take the defaults.
type ClientOptions struct {
	Deployment string
	Keys       *bundle.Keyring
	Store      objstore.Store
	Key        *bundle.PrivateKey // the operator's private key; needed only for pushes, sign-offs and changes
	// Patience bounds the time of one operation of the Client, such as a rollout.
	// Until it has passed, failed calls to the platform are retried; default 30 s.
	Patience time.Duration
	// CallTimeout bounds one call to the platform; default 5 s.
	CallTimeout time.Duration
	// Backoff waits before a failed call to the platform is retried. try is the
	// number of the failed call, counted from 0. Backoff returns early when ctx
	// ends. The default sleeps with jitter. Tests replace it.
	Backoff func(ctx context.Context, try int)
	// Now is the operator's clock, default time.Now.
	Now func() time.Time
}

// The defaults of ClientOptions.
const (
	DefaultPatience    = 30 * time.Second // time limit of one operation of a Client, with all its calls to the platform
	DefaultCallTimeout = 5 * time.Second  // time limit of one call of a Client to the platform
)

// Bounds of the delay between two tries of a call to the platform, before jitter.
const (
	minRetryDelay = 20 * time.Millisecond // delay, before jitter, after the first failed try of a call; it doubles with each further one
	maxRetryDelay = time.Second           // longest delay, before jitter, after any failed try of a call
)

// Client is the operators' interface: it pushes and signs bundles, rolls them out,
// recalls them and reads the audit chain. It may be used concurrently. Its errors
// carry result codes.
type Client struct {
	opts ClientOptions
}

// NewClient returns a Client with defaults for the options that are not set.
func NewClient(opts ClientOptions) *Client {
	defaults.SetIfNotPositive(&opts.Patience, DefaultPatience)
	defaults.SetIfNotPositive(&opts.CallTimeout, DefaultCallTimeout)
	if opts.Backoff == nil {
		opts.Backoff = backoffWithJitter
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Client{opts: opts}
}

// backoffWithJitter is the default of ClientOptions.Backoff. It sleeps after the
// failed try with the given number, counted from 0, or until ctx ends. The delay
// doubles with each try from minRetryDelay to maxRetryDelay.
func backoffWithJitter(ctx context.Context, try int) {
	delay := min(minRetryDelay<<min(try, 10), maxRetryDelay)
	// The jitter is up to half of the delay in both directions.
	timer := time.NewTimer(time.Duration(float64(delay) * (0.5 + rand.Float64())))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// get reads one object. It retries failed calls until ctx ends. If the object does
// not exist, it returns objstore.ErrNotFound without retry.
func (c *Client) get(ctx context.Context, kind, name string) (objstore.Object, error) {
	for try := 0; ; try++ {
		callCtx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
		obj, err := c.opts.Store.Get(callCtx, kind, name)
		cancel()
		if err == nil || errors.Is(err, objstore.ErrNotFound) {
			return obj, err
		}
		if ctx.Err() != nil {
			return obj, result.Wrap(result.PlatformDown, err, "reading "+kind+"/"+name)
		}
		c.opts.Backoff(ctx, try)
	}
}

// list reads the objects of a kind whose names start with prefix, in order of
// their names.
func (c *Client) list(ctx context.Context, kind, prefix string) ([]objstore.Object, error) {
	return c.listFrom(ctx, kind, prefix, prefix)
}

// listFrom reads the objects of a kind whose names start with prefix and are greater
// than after, in order of their names.
func (c *Client) listFrom(ctx context.Context, kind, prefix, after string) ([]objstore.Object, error) {
	const pageSize = 100
	var all []objstore.Object
	for {
		page, err := c.listPage(ctx, kind, after, pageSize)
		if err != nil {
			return nil, err
		}
		for _, obj := range page.Objects {
			if !hasPrefix(obj.Name, prefix) {
				return all, nil
			}
			all = append(all, obj)
			after = obj.Name
		}
		if !page.More || len(page.Objects) == 0 {
			return all, nil
		}
	}
}

// hasPrefix reports whether s starts with prefix.
func hasPrefix(s, prefix string) bool {
	return len(s) >= len(prefix) && s[:len(prefix)] == prefix
}

// listPage reads, in order of their names, at most limit objects of a kind whose names
// are greater than after. It retries failed calls until ctx ends.
func (c *Client) listPage(ctx context.Context, kind, after string, limit int) (objstore.Page, error) {
	for try := 0; ; try++ {
		callCtx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
		page, err := c.opts.Store.List(callCtx, kind, after, limit)
		cancel()
		if err == nil {
			return page, nil
		}
		if ctx.Err() != nil {
			return page, result.Wrap(result.PlatformDown, err, "listing "+kind)
		}
		c.opts.Backoff(ctx, try)
	}
}

// createOnce creates an object that is never overwritten. If the object exists
// already, it calls same, which reports whether the existing content is equivalent
// to value. If the content is not equivalent, the error has code BrokenAudit. A
// repeated write has no effect, so createOnce handles a lost response by a retry. It
// retries until ctx ends.
func (c *Client) createOnce(ctx context.Context, kind, name string, value []byte, same func(existing []byte) bool) error {
	if len(value) > objstore.MaxValue {
		return result.Errorf(result.BundleTooLarge, "%s/%s has %d bytes, allowed are %d; nothing was written", kind, name, len(value), objstore.MaxValue)
	}
	for try := 0; ; try++ {
		err := c.put(ctx, kind, name, 0, value)
		if err == nil {
			return nil
		}
		if errors.Is(err, objstore.ErrTooLarge) {
			return result.Wrap(result.BundleTooLarge, err, "nothing was written")
		}
		if errors.Is(err, objstore.ErrConflict) {
			obj, err := c.get(ctx, kind, name)
			if err == nil && same(obj.Value) {
				return nil
			}
			if err == nil {
				return result.Errorf(result.BrokenAudit, "%s/%s exists with different content", kind, name)
			}
			if !errors.Is(err, objstore.ErrNotFound) {
				return err
			}
		}
		if ctx.Err() != nil {
			return result.Wrap(result.PlatformDown, err, "creating "+kind+"/"+name)
		}
		c.opts.Backoff(ctx, try)
	}
}

// put writes one object, in one call without retry, on condition that the object
// has the expected version; 0 means that it must not exist.
func (c *Client) put(ctx context.Context, kind, name string, expectedVersion uint64, value []byte) error {
	callCtx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	_, err := c.opts.Store.Put(callCtx, kind, name, expectedVersion, value)
	return err
}

// headState is the head of the deployment (its latest accepted change) as read from
// the platform.
type headState struct {
	head    *Head  // nil before the first rollout
	version uint64 // version of the head object in the store; 0 if there is none
}

// revision returns the revision of the head, or 0 before the first rollout.
func (s headState) revision() uint64 {
	if s.head == nil {
		return 0
	}
	return s.head.Entry.Revision
}

// readState reads the head. If there is none, it returns the zero headState. It
// accepts a signature by a retired key, so that operators can replace a head whose
// key was retired after the change.
func (c *Client) readState(ctx context.Context) (headState, error) {
	obj, err := c.get(ctx, KindHead, c.opts.Deployment)
	if errors.Is(err, objstore.ErrNotFound) {
		return headState{}, nil
	}
	if err != nil {
		return headState{}, err
	}
	head, err := openHead(obj.Value, c.opts.Deployment, c.opts.Keys, true)
	if err != nil {
		return headState{}, err
	}
	return headState{head: head, version: obj.Version}, nil
}

// readArchived reads the archived entry of a revision. It returns nil if there is
// none. Like readState, it accepts a signature by a retired key.
func (c *Client) readArchived(ctx context.Context, revision uint64) (*Head, error) {
	obj, err := c.get(ctx, KindAudit, AuditName(c.opts.Deployment, revision))
	if errors.Is(err, objstore.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return openHead(obj.Value, c.opts.Deployment, c.opts.Keys, true)
}

// Head returns the entry of the head, the latest accepted change, as read from the
// platform. It returns nil before the first rollout.
func (c *Client) Head(ctx context.Context) (*Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Patience)
	defer cancel()
	s, err := c.readState(ctx)
	if err != nil || s.head == nil {
		return nil, err
	}
	return &s.head.Entry, nil
}
