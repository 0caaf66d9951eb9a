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
	Key        *bundle.PrivateKey // needed for changes only
	// Patience bounds how long one operation retries calls to the platform;
	// default 30 s.
	Patience    time.Duration
	CallTimeout time.Duration // of one call to the platform, default 5 s
	// Backoff waits between two tries, which are counted from 0; the default
	// sleeps with jitter. Tests replace it.
	Backoff func(ctx context.Context, try int)
	// Now is the operator's clock, default time.Now.
	Now func() time.Time
}

// The defaults of ClientOptions.
const (
	DefaultPatience    = 30 * time.Second
	DefaultCallTimeout = 5 * time.Second
)

// Bounds of the delay between two tries, before jitter.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
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

func backoffWithJitter(ctx context.Context, try int) {
	delay := min(minRetryDelay<<min(try, 10), maxRetryDelay)
	timer := time.NewTimer(time.Duration(float64(delay) * (0.5 + rand.Float64())))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// get reads one object and retries until ctx ends. If the object is missing, it
// returns objstore.ErrNotFound without retry.
func (c *Client) get(ctx context.Context, kind, name string) (objstore.Object, error) {
	for try := 0; ; try++ {
		call, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
		obj, err := c.opts.Store.Get(call, kind, name)
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

// listFrom reads the objects whose names come after the given one and start with
// prefix.
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

func hasPrefix(s, prefix string) bool {
	return len(s) >= len(prefix) && s[:len(prefix)] == prefix
}

func (c *Client) listPage(ctx context.Context, kind, after string, limit int) (objstore.Page, error) {
	for try := 0; ; try++ {
		call, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
		page, err := c.opts.Store.List(call, kind, after, limit)
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
// already, same reports whether its content is equivalent; if it is not, the error
// is BrokenAudit. Repeating the write has no effect, so a lost response is handled
// by a retry.
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

func (c *Client) put(ctx context.Context, kind, name string, expect uint64, value []byte) error {
	call, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	_, err := c.opts.Store.Put(call, kind, name, expect, value)
	return err
}

// headState is the head as read, with its object version in the store.
type headState struct {
	head    *Head  // nil before the first rollout
	version uint64 // object version in the store; 0 if there is no head object
}

func (s headState) revision() uint64 {
	if s.head == nil {
		return 0
	}
	return s.head.Entry.Revision
}

// readState reads the head. It accepts a signature by a retired key, since the
// operator is about to replace the head.
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

// readArchived reads the archived entry of a revision, or nil if there is none.
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

// Head returns the entry in force, or nil before the first rollout.
func (c *Client) Head(ctx context.Context) (*Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Patience)
	defer cancel()
	s, err := c.readState(ctx)
	if err != nil || s.head == nil {
		return nil, err
	}
	return &s.head.Entry, nil
}
