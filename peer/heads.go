package peer

import (
	"context"
	"time"
)

const (
	// pullTimeout bounds getting one head with its bundle from one peer.
	pullTimeout    = 5 * time.Second
	pullRetryDelay = 100 * time.Millisecond
)

// announceRevisions tells the peers when this VM's own revision has risen, by whatever
// way it learned of it.
func (x *Exchange) announceRevisions() error {
	for {
		changed := x.opts.Heads.Changed()
		x.announceRevision()
		select {
		case <-x.tomb.Dying():
			return nil
		case <-changed:
		}
	}
}

func (x *Exchange) announceRevision() {
	revision := x.opts.Heads.Revision()
	x.mu.Lock()
	defer x.mu.Unlock()
	if revision <= x.announcedRevision {
		return
	}
	x.announcedRevision = revision
	for l := range x.links {
		l.sendRevision = true
		l.signal()
	}
}

// pullHeads gets newer heads from peers, one at a time.
func (x *Exchange) pullHeads() error {
	for {
		select {
		case <-x.tomb.Dying():
			return nil
		case <-x.pullWake:
		}
		for l := x.newestLink(); l != nil && x.tomb.Alive(); l = x.newestLink() {
			x.pullFrom(l)
		}
	}
}

// newestLink returns the link with the highest revision above the own, or nil.
func (x *Exchange) newestLink() *link {
	own := x.opts.Heads.Revision()
	x.mu.Lock()
	defer x.mu.Unlock()
	var best *link
	for l := range x.links {
		if l.peerRevision > own && (best == nil || l.peerRevision > best.peerRevision) {
			best = l
		}
	}
	return best
}

func (x *Exchange) pullFrom(l *link) {
	ctx, cancel := context.WithTimeout(x.tomb.Context(context.Background()), pullTimeout)
	defer cancel()
	before := x.opts.Heads.Revision()
	err := x.offerHeadOf(ctx, l)
	if err == nil && x.opts.Heads.Revision() > before {
		x.announceRevision()
		return
	}
	x.opts.Log.Warn("head of a peer not taken", "peer", l.name, "error", err)
	// Its next message may name that revision again; until then others are asked.
	x.mu.Lock()
	l.peerRevision = 0
	x.mu.Unlock()
	select {
	case <-x.tomb.Dying():
	case <-time.After(pullRetryDelay):
	}
}

func (x *Exchange) offerHeadOf(ctx context.Context, l *link) error {
	var answer headAnswer
	if err := l.conn.Call(ctx, methodHead, nil, &answer); err != nil {
		return err
	}
	fetch := func(ctx context.Context, digest string) ([]byte, error) {
		return x.fetchBundle(ctx, l, digest)
	}
	return x.opts.Heads.OfferHead(ctx, answer.Head, fetch)
}
