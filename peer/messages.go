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

// The methods of the exchange between VMs.
const (
	methodTell    = "exchange.tell"    // notification: a tellMessage with new facts
	methodSync    = "exchange.sync"    // call: compares digests of two tables of facts; syncRequest -> syncAnswer
	methodDiff    = "exchange.diff"    // call: exchanges the facts that differ in some buckets; diffRequest -> diffAnswer
	methodHead    = "exchange.head"    // call: gets the signed head in force; no parameters -> headAnswer
	methodBundle  = "exchange.bundle"  // call: gets a bundle by its digest; bundleRequest -> bundleAnswer
	methodGoodbye = "exchange.goodbye" // notification without parameters: the sender closes this connection on purpose
)

// tellMessage carries new facts to a peer, and the sender's revision if that is to be
// announced.
type tellMessage struct {
	Revision    uint64 `json:"r,omitempty"` // of the sender's bundle in force; 0 if it isn't announced
	factPayload        // at most maxFactsPerMessage facts
}

// syncRequest starts a comparison of two tables of facts. A root is one digest over all
// facts of a section of the table.
type syncRequest struct {
	Revision uint64 `json:"r"` // of the sender's bundle in force
	Root     uint64 `json:"d"` // the root of all facts except the health of targets
	Targets  uint64 `json:"t"` // the root of the health of targets
}

// syncAnswer answers a syncRequest. Facts are divided into buckets by a hash of their
// keys, and the answer has the digest of each bucket, eight bytes each. Digest is set
// only if the roots differ. Targets is set only if the roots of the health of targets
// differ and both VMs have the same revision: only the health of targets of the bundle
// in force is kept, so it can't be compared across revisions.
type syncAnswer struct {
	Revision uint64 `json:"r"`           // of the answering VM's bundle in force
	Digest   []byte `json:"b,omitempty"` // the buckets of all facts except the health of targets
	Targets  []byte `json:"t,omitempty"` // the buckets of the health of targets
}

// diffRequest asks for the facts that differ in some buckets of the tables of facts. A
// hash of a fact's key selects the fact's bucket.
type diffRequest struct {
	Buckets []int         `json:"b"` // indexes of the buckets whose digests differ
	Entries []facts.Entry `json:"e"` // keys and hashes of all facts that the sender has in them
}

// diffAnswer carries the facts that the requesting VM lacks or has in another version.
type diffAnswer struct {
	factPayload             // at most maxDiffFacts facts
	Want        []facts.Key `json:"w,omitempty"` // keys of the facts that the answering VM wants from the requesting one
	More        bool        `json:"m,omitempty"` // the answering VM has more facts than fit
}

// headAnswer carries the signed head in force of the answering VM.
type headAnswer struct {
	Head []byte `json:"h"` // empty if the VM has no head
}

// bundleRequest requests the bundle with a digest.
type bundleRequest struct {
	Digest string `json:"d"` // of the bundle's bytes
}

// bundleAnswer carries a bundle with its sign-offs.
type bundleAnswer struct {
	Gzip []byte `json:"z"` // compressed with gzip
}

// syncTimeout bounds one comparison of facts with a peer, with all its calls. The
// transfer of a bundle is bounded by pullTimeout instead.
const syncTimeout = 2 * time.Second

// handle serves requests and notifications from peers. Connections for another use than
// the exchange go to Options.CallHandler, if there is one.
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

// serve decodes the JSON parameters of a request as an M and returns the result of f for
// them. It returns result.BadMessage if they can't be decoded.
func serve[M any](params json.RawMessage, f func(*M) (any, error)) (any, error) {
	var m M
	if err := decode(params, &m); err != nil {
		return nil, result.Wrap(result.BadMessage, err, "")
	}
	return f(&m)
}

// handleTell merges and forwards the facts that a peer sent, and records the revision that
// the peer announced.
func (x *Exchange) handleTell(conn *wire.Conn, m *tellMessage) error {
	list, err := m.decode(maxFactsPerMessage)
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

// recordPeerRevision records the revision that a peer announced, and wakes pullHeads, if
// it is higher than the last one of that peer. l is nil if the connection isn't a
// registered link; then nothing is recorded. The caller must hold mu.
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

// handleGoodbye closes a connection that the peer ends on purpose, without suspecting the
// peer.
func (x *Exchange) handleGoodbye(conn *wire.Conn) {
	x.mu.Lock()
	if l := x.linkOf(conn); l != nil {
		l.goodbye = true
		delete(x.links, l)
	}
	x.mu.Unlock()
	conn.Close()
}

// handleSync answers a peer's syncRequest with the digests of the sections of facts that
// differ, and records the peer's revision.
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

// handleDiff answers a peer's diffRequest with at most maxDiffFacts facts that the peer
// lacks or has in another version, and with the keys of the facts that this VM lacks or
// has in another version.
func (x *Exchange) handleDiff(conn *wire.Conn, m *diffRequest) diffAnswer {
	x.mu.Lock()
	give, want := x.table.Compare(m.Buckets, m.Entries)
	x.mu.Unlock()
	more := len(give) > maxDiffFacts
	payload := encodeFacts(conn, give[:min(len(give), maxDiffFacts)])
	return diffAnswer{factPayload: payload, Want: want, More: more}
}

// sync compares digests with a peer and exchanges the facts that differ. If that fails,
// sync closes the connection, which may no longer carry any data. It keeps the connection
// if the peer answered that it is busy.
func (x *Exchange) sync(l *link) {
	if err := x.trySync(l); err != nil {
		x.opts.Log.Debug("comparison of facts with a peer failed", "peer", l.name, "error", err)
		if result.CodeOf(err) != result.PeerBusy {
			l.conn.Close()
		}
	}
}

// trySync compares digests with a peer and exchanges the facts that differ, in at most
// maxDiffRounds calls of diff.
func (x *Exchange) trySync(l *link) error {
	ctx, cancel := context.WithTimeout(x.tomb.Context(context.Background()), syncTimeout)
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
	// maxDiffFacts bounds the facts in one diffAnswer, which must fit in a message
	// even if all of them are as large as facts.MaxHealthBytes.
	maxDiffFacts = 400
	// maxDiffRounds bounds the diff calls of one comparison of facts with a peer. The
	// next comparison transfers what is left.
	maxDiffRounds = 24
)

// diff exchanges the facts in the buckets whose digests in the peer's answer differ from
// this VM's. It reports whether the peer has more facts than it sent.
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

// mergeDiff merges the facts of a diffAnswer, and queues the facts that the peer wants.
func (x *Exchange) mergeDiff(l *link, differing *diffAnswer) error {
	received, err := differing.decode(maxDiffFacts)
	if err != nil {
		return err
	}
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	starting := now.Sub(x.startTime) < startupPeriod
	for _, f := range received {
		if f.Health != nil && starting {
			// A VM that starts receives thousands of facts that the others
			// already know. Forwarding would send all of them over each of
			// its other connections.
			x.merge(f, l, now)
			continue
		}
		x.mergeAndForward(f, l, now)
	}
	if !differing.More { // otherwise Want may list facts that the peer sends in its next answer
		for _, key := range differing.Want {
			l.pending[key] = struct{}{}
		}
	}
	l.signal()
	return nil
}

// handleBundle returns the bundle with the requested digest and its sign-offs,
// compressed.
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

// maxBundleBytes bounds the size in bytes of a bundle with its sign-offs after
// decompression.
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
