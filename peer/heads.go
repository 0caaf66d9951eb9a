package peer

import (
	"context"
	"time"
)

const (
	// pullTimeout bounds the transfer of one head, the signed record of a revision, and
	// of its bundle from one peer.
	pullTimeout = 5 * time.Second
	// pullRetryDelay is the pause after a failed transfer of a head and its bundle.
	pullRetryDelay = 100 * time.Millisecond
)

// announceRevisions announces each new revision of this VM to its peers, whether it came
// from a peer or from elsewhere, until the exchange stops.
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

// announceRevision marks this VM's revision to be sent over all links if it is above the
// last one that was announced.
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

// pullHeads fetches newer heads from peers until the exchange stops. It fetches from
// one peer at a time, the one with the highest revision first.
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

// newestLink returns the link whose peer has the highest revision, or nil if no
// peer's revision is above this VM's own.
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

// pullFrom fetches the head of a peer, and the head's bundle if this VM doesn't have it.
// If this VM's revision is no higher afterwards, pullFrom disregards the revision that
// the peer announced and waits pullRetryDelay.
func (x *Exchange) pullFrom(l *link) {
	ctx, cancel := context.WithTimeout(x.tomb.Context(context.Background()), pullTimeout)
	defer cancel()
	before := x.opts.Heads.Revision()
	err := x.offerHeadOf(ctx, l)
	if err == nil && x.opts.Heads.Revision() > before {
		x.announceRevision()
		return
	}
	x.opts.Log.Warn("could not get the head of a peer", "peer", l.name, "error", err)
	// Try other peers until this one announces its revision again.
	x.mu.Lock()
	l.peerRevision = 0
	x.mu.Unlock()
	select {
	case <-x.tomb.Dying():
	case <-time.After(pullRetryDelay):
	}
}

// offerHeadOf fetches the head of a peer and passes it to Heads.OfferHead, which fetches
// the bundle from the same peer if this VM doesn't have it.
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
