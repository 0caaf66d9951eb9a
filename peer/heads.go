package peer

import (
	"context"
	"time"
)

const (
	// pullTimeout bounds getting one head with its bundle from one peer.
	pullTimeout = 5 * time.Second
	pullPause   = 100 * time.Millisecond
)

// noticeHead tells the peers when this VM's own revision has risen, by whatever
// way it learned of it.
func (x *Exchange) noticeHead() error {
	for {
		changed := x.opts.Heads.Changed()
		x.tellRevision()
		select {
		case <-x.tomb.Dying():
			return nil
		case <-changed:
		}
	}
}

func (x *Exchange) tellRevision() {
	revision := x.opts.Heads.Revision()
	x.mu.Lock()
	defer x.mu.Unlock()
	if revision <= x.told {
		return
	}
	x.told = revision
	for l := range x.links {
		l.revision = true
		l.signal()
	}
}

// pullHeads gets newer heads from peers, one at a time.
func (x *Exchange) pullHeads() error {
	for {
		select {
		case <-x.tomb.Dying():
			return nil
		case <-x.pull:
		}
		for l := x.newerLink(); l != nil && x.tomb.Alive(); l = x.newerLink() {
			x.pullFrom(l)
		}
	}
}

// newerLink returns the link with the highest revision above the own, or nil.
func (x *Exchange) newerLink() *link {
	own := x.opts.Heads.Revision()
	x.mu.Lock()
	defer x.mu.Unlock()
	var best *link
	for l := range x.links {
		if l.theirs > own && (best == nil || l.theirs > best.theirs) {
			best = l
		}
	}
	return best
}

func (x *Exchange) pullFrom(l *link) {
	ctx, cancel := context.WithTimeout(x.tomb.Context(context.Background()), pullTimeout)
	defer cancel()
	before := x.opts.Heads.Revision()
	err := x.offer(ctx, l)
	if err == nil && x.opts.Heads.Revision() > before {
		x.tellRevision()
		return
	}
	x.opts.Log.Warn("head of a peer not taken", "peer", l.name, "error", err)
	// Its next message may name that revision again; until then others are asked.
	x.mu.Lock()
	l.theirs = 0
	x.mu.Unlock()
	select {
	case <-x.tomb.Dying():
	case <-time.After(pullPause):
	}
}

func (x *Exchange) offer(ctx context.Context, l *link) error {
	var answer headAnswer
	if err := l.conn.Call(ctx, methodHead, nil, &answer); err != nil {
		return err
	}
	fetch := func(ctx context.Context, digest string) ([]byte, error) {
		return x.fetchBundle(ctx, l, digest)
	}
	return x.opts.Heads.OfferHead(ctx, answer.Head, fetch)
}
