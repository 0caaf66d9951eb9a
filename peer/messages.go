package peer

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/peer/facts"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// The methods of the exchange. All except tell and goodbye have an answer.
const (
	methodTell    = "exchange.tell"    // tellMessage: new facts
	methodSync    = "exchange.sync"    // syncRequest -> syncAnswer: compares digests
	methodDiff    = "exchange.diff"    // diffRequest -> diffAnswer: facts of the differing buckets
	methodHead    = "exchange.head"    // -> headAnswer
	methodBundle  = "exchange.bundle"  // bundleRequest -> bundleAnswer
	methodGoodbye = "exchange.goodbye" // this connection is closed on purpose
)

type tellMessage struct {
	Revision uint64 `json:"r,omitempty"`
	factPayload
}

type syncRequest struct {
	Revision uint64 `json:"r"`
	Root     uint64 `json:"d"`
	Targets  uint64 `json:"t"` // the root of the health of targets
}

// syncAnswer has the digests of the buckets only if the roots differ, and those
// of targets only if both VMs have the same revision: only the health of targets
// of the bundle in force is kept, so it can't be compared across revisions.
type syncAnswer struct {
	Revision uint64 `json:"r"`
	Digest   []byte `json:"b,omitempty"`
	Targets  []byte `json:"t,omitempty"`
}

type diffRequest struct {
	Buckets []int         `json:"b"`
	Entries []facts.Entry `json:"e"`
}

type diffAnswer struct {
	factPayload
	Want []facts.Key `json:"w,omitempty"`
	More bool        `json:"m,omitempty"` // the sender has more facts than fit
}

type headAnswer struct {
	Head []byte `json:"h"`
}

type bundleRequest struct {
	Digest string `json:"d"`
}

type bundleAnswer struct {
	Gzip []byte `json:"z"`
}

// callTimeout bounds one comparison with a peer, with all its calls. The transfer of
// a bundle is bounded by pullTimeout instead.
const callTimeout = 2 * time.Second

// handle serves requests and notifications from peers.
func (x *Exchange) handle(ctx context.Context, conn *wire.Conn, method string, params json.RawMessage) (any, error) {
	if conn.Use() != "" && x.opts.CallHandler != nil {
		return x.opts.CallHandler(ctx, conn, method, params)
	}
	switch method {
	case methodTell:
		return serve(params, func(m *tellMessage) (any, error) { return nil, x.handleTell(conn, m) })
	case methodSync:
		return serve(params, func(m *syncRequest) (any, error) { return x.handleSync(conn, m), nil })
	case methodDiff:
		return serve(params, func(m *diffRequest) (any, error) { return x.handleDiff(conn, m), nil })
	case methodHead:
		return headAnswer{Head: x.opts.Heads.Head()}, nil
	case methodBundle:
		return serve(params, func(m *bundleRequest) (any, error) { return x.handleBundle(m) })
	case methodGoodbye:
		x.handleGoodbye(conn)
		return nil, nil
	default:
		return nil, result.Errorf(result.UnknownMethod, "%q", method)
	}
}

// serve decodes the parameters and passes them to f.
func serve[M any](params json.RawMessage, f func(*M) (any, error)) (any, error) {
	var m M
	if err := decode(params, &m); err != nil {
		return nil, result.Wrap(result.BadMessage, err, "")
	}
	return f(&m)
}

func (x *Exchange) handleTell(conn *wire.Conn, m *tellMessage) error {
	list, err := m.decode(maxFacts)
	if err != nil {
		return err
	}
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	l := x.linkOf(conn)
	for _, f := range list {
		x.mergeAndForward(f, l, now)
	}
	x.recordPeerRevision(l, m.Revision)
	return nil
}

// recordPeerRevision records a peer's revision if it is higher than the last, and
// wakes pullHeads. The caller must hold mu.
func (x *Exchange) recordPeerRevision(l *link, revision uint64) {
	if l == nil || revision <= l.peerRevision {
		return
	}
	l.peerRevision = revision
	select {
	case x.pullWake <- struct{}{}:
	default:
	}
}

func (x *Exchange) handleGoodbye(conn *wire.Conn) {
	x.mu.Lock()
	if l := x.linkOf(conn); l != nil {
		l.goodbye = true
		delete(x.links, l)
	}
	x.mu.Unlock()
	conn.Close()
}

func (x *Exchange) handleSync(conn *wire.Conn, m *syncRequest) syncAnswer {
	answer := syncAnswer{Revision: x.opts.Heads.Revision()}
	x.mu.Lock()
	defer x.mu.Unlock()
	if m.Root != x.table.Root(facts.General) {
		answer.Digest = x.table.Digest(facts.General)
	}
	if m.Revision == answer.Revision && m.Targets != x.table.Root(facts.Targets) {
		answer.Targets = x.table.Digest(facts.Targets)
	}
	x.recordPeerRevision(x.linkOf(conn), m.Revision)
	return answer
}

func (x *Exchange) handleDiff(conn *wire.Conn, m *diffRequest) diffAnswer {
	x.mu.Lock()
	give, want := x.table.Compare(m.Buckets, m.Entries)
	x.mu.Unlock()
	more := len(give) > maxDiffFacts
	given := encodeFacts(conn, give[:min(len(give), maxDiffFacts)])
	return diffAnswer{factPayload: given, Want: want, More: more}
}

// sync compares digests with a peer and exchanges the facts that differ. If the
// peer doesn't answer in time, the connection is closed, since it may no longer
// carry any data.
func (x *Exchange) sync(l *link) {
	if err := x.trySync(l); err != nil {
		x.opts.Log.Debug("comparison with a peer failed", "peer", l.name, "error", err)
		if result.CodeOf(err) != result.PeerBusy {
			l.conn.Close()
		}
	}
}

func (x *Exchange) trySync(l *link) error {
	ctx, cancel := context.WithTimeout(x.tomb.Context(context.Background()), callTimeout)
	defer cancel()
	request := syncRequest{Revision: x.opts.Heads.Revision()}
	x.mu.Lock()
	request.Root = x.table.Root(facts.General)
	request.Targets = x.table.Root(facts.Targets)
	x.mu.Unlock()
	var answer syncAnswer
	if err := l.conn.Call(ctx, methodSync, request, &answer); err != nil {
		return err
	}
	x.mu.Lock()
	x.recordPeerRevision(l, answer.Revision)
	x.mu.Unlock()
	for range maxDiffRounds {
		more, err := x.diff(ctx, l, &answer)
		if err != nil || !more {
			return err
		}
	}
	return nil
}

const (
	// maxDiffFacts bounds the facts in one answer, which must fit in a message
	// even if all of them are as large as facts.MaxHealthBytes.
	maxDiffFacts = 400
	// maxDiffRounds bounds the diff calls of one comparison. The next comparison
	// transfers what is left.
	maxDiffRounds = 24
)

// diff exchanges the facts that differ in the buckets of an answer, and reports
// whether the peer has more facts than it sent.
func (x *Exchange) diff(ctx context.Context, l *link, answer *syncAnswer) (more bool, err error) {
	x.mu.Lock()
	buckets := x.table.Differing(facts.General, answer.Digest)
	buckets = append(buckets, x.table.Differing(facts.Targets, answer.Targets)...)
	request := diffRequest{Buckets: buckets, Entries: x.table.Entries(buckets)}
	x.mu.Unlock()
	if len(buckets) == 0 {
		return false, nil
	}
	var differing diffAnswer
	if err := l.conn.Call(ctx, methodDiff, request, &differing); err != nil {
		return false, err
	}
	return differing.More, x.mergeDiff(l, &differing)
}

func (x *Exchange) mergeDiff(l *link, differing *diffAnswer) error {
	given, err := differing.decode(maxDiffFacts)
	if err != nil {
		return err
	}
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	starting := now.Sub(x.startTime) < startupPeriod
	for _, f := range given {
		if f.Health != nil && starting {
			// A VM that starts receives thousands of facts that the others
			// already know. Forwarding would send them over each of its
			// connections.
			x.merge(f, l, now)
			continue
		}
		x.mergeAndForward(f, l, now)
	}
	if !differing.More { // otherwise the peer may list facts in Want that it is about to send
		for _, key := range differing.Want {
			l.pending[key] = struct{}{}
		}
	}
	l.signal()
	return nil
}

func (x *Exchange) handleBundle(m *bundleRequest) (any, error) {
	raw, ok := x.opts.Heads.RawBundle(m.Digest)
	if !ok {
		return nil, result.Errorf(result.BundleNotHeld, "%s", m.Digest)
	}
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return bundleAnswer{Gzip: buf.Bytes()}, nil
}

// maxBundleBytes bounds a bundle with its sign-offs after decompression.
const maxBundleBytes = 2 * objstore.MaxValue

// fetchBundle gets a bundle with its sign-offs from a peer.
func (x *Exchange) fetchBundle(ctx context.Context, l *link, digest string) ([]byte, error) {
	var answer bundleAnswer
	if err := l.conn.Call(ctx, methodBundle, bundleRequest{Digest: digest}, &answer); err != nil {
		return nil, err
	}
	r, err := gzip.NewReader(bytes.NewReader(answer.Gzip))
	if err != nil {
		return nil, result.Wrap(result.BadMessage, err, "bundle")
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxBundleBytes+1))
	if err != nil {
		return nil, result.Wrap(result.BadMessage, err, "bundle")
	}
	if len(raw) > maxBundleBytes {
		return nil, result.Errorf(result.MessageTooBig, "bundle of more than %d bytes", maxBundleBytes)
	}
	return raw, nil
}
