package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/bramleybarrow/bramleybarrow/intake"
	"github.com/bramleybarrow/bramleybarrow/routing"
)

// Times for the body of a caller's request.
const (
	// maxBodyTime bounds the time for reading a body. The time that its caller has left does so before, if it is
	// known.
	maxBodyTime = time.Minute
	// refusedBodyTime is how long the rest of the body of a refused request is waited for, so that its caller can
	// use the connection again.
	refusedBodyTime = 10 * time.Millisecond
)

// retryAfterMemory is the Retry-After time of a request for which there is no memory.
const retryAfterMemory = 100 * time.Millisecond

var (
	errBodyLate = errors.New("edge: the body did not arrive within the caller's time")
	errNoMemory = errors.New("edge: callers hold too much memory")
)

// interruption says why this VM has ended the reading of a body.
type interruption int

// The reasons, and none.
const (
	notInterrupted interruption = iota
	interruptedByStop
	interruptedLate
	interruptedForMemory
	interruptedAsRefused // the request was refused before
)

// interruptionErrors are the errors of bodies that were not read whole.
var interruptionErrors = map[interruption]error{
	interruptedByStop:    errStopping,
	interruptedLate:      errBodyLate,
	interruptedForMemory: errNoMemory,
	interruptedAsRefused: errBodyLate,
}

// arrivingBody holds the part of a body that was read. It is safe for concurrent use by the reader and drop.
type arrivingBody struct {
	mu      sync.Mutex // guards the fields below
	data    []byte
	dropped bool
}

// drop frees the memory at once, although the reader may wait for more bytes.
func (b *arrivingBody) drop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data, b.dropped = nil, true
}

// add appends a chunk, for which hold has made room, and reports whether the body was not dropped. size is the
// capacity to have at least.
func (b *arrivingBody) add(chunk []byte, size int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dropped {
		return false
	}
	if size > cap(b.data) {
		b.data = append(make([]byte, 0, size), b.data...)
	}
	b.data = append(b.data, chunk...)
	return true
}

// take returns the bytes.
func (b *arrivingBody) take() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data
}

// readInto reads a body until its end. stated is its length, negative if that is not known. Before it uses more
// memory it calls hold with the size in all, and ends with errNoMemory if that returns false.
func (b *arrivingBody) readInto(r io.Reader, stated int64, hold func(size int) bool) error {
	chunk := make([]byte, bodyChunk)
	length, size := 0, 0
	for {
		n, err := r.Read(chunk)
		if length += n; length > size {
			if size = grownSize(size, length, stated); !hold(size) {
				return errNoMemory
			}
		}
		if n > 0 && !b.add(chunk[:n], size) {
			return errNoMemory
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grownSize returns the capacity for a body of which length bytes were read, and whose capacity was size. stated
// is its length, negative if that is not known.
func grownSize(size, length int, stated int64) int {
	grown := max(2*size, length, firstBodySize)
	if stated >= int64(length) {
		grown = int(min(int64(grown), stated))
	}
	return grown
}

// readBody returns the body of a caller's request. It must arrive before the time by, if that is not zero. Once it
// was read, the request does not give way to others. The error is errStopping if the caller has not sent
// all of it when this VM ends what it serves, errBodyLate, or errNoMemory. Without an error, release has to be
// called on the body that is held.
func (e *Engine) readBody(w http.ResponseWriter, r *http.Request, m *routing.Manifest, by time.Time) ([]byte, *heldBody, error) {
	if r.Body == http.NoBody {
		return nil, nil, nil
	}
	c := callerConnOf(r.Context())
	enterStage(r.Context(), stageBody)
	if e.stopping.over.Err() != nil {
		return nil, nil, errStopping // interruptBodies has run
	}
	body := new(arrivingBody)
	stop := c.beginBody(body, by)
	err := body.readInto(http.MaxBytesReader(w, r.Body, bodyLimit(m)), r.ContentLength, c.holdBody)
	stop()
	interrupted := c.endBody(err == nil)
	enterStage(r.Context(), stageOffer)
	switch {
	case e.stopping.over.Err() != nil && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)):
		return nil, nil, errStopping
	case interrupted != notInterrupted:
		return nil, nil, interruptionErrors[interrupted]
	case err != nil:
		return nil, nil, err
	}
	held, err := c.run()
	return body.take(), held, err
}

// callerConnOf returns the connection of the request with ctx, nil if another VM has handed it over.
func callerConnOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return c
}

// beginBody records that the body of the request on the connection is read, and interrupts that at the time by,
// or after maxBodyTime, until the function that it returns is called.
func (c *callerConn) beginBody(body *arrivingBody, by time.Time) (stop func()) {
	if c == nil {
		return func() {}
	}
	c.body.Store(body)
	req := c.request.Load()
	wait := maxBodyTime
	if !by.IsZero() {
		wait = min(wait, max(time.Until(by), refusedBodyTime))
	}
	timer := time.AfterFunc(wait, func() { c.interruptBody(req, interruptedLate) })
	return func() { timer.Stop() }
}

// endBody records that the reading of the body has ended, and whether it was read whole. It returns why this VM has
// interrupted it, if it has.
func (c *callerConn) endBody(whole bool) interruption {
	if c == nil {
		return notInterrupted
	}
	c.body.Store(nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.request.Load()
	if req == nil {
		return notInterrupted
	}
	if whole {
		req.bodyDue.Store(false)
	}
	return req.interrupted
}

// interruptBody ends the reading of the body of a request, which may have ended.
func (c *callerConn) interruptBody(req *openRequest, why interruption) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if req == nil || c.request.Load() != req || !req.bodyDue.Load() {
		return
	}
	if req.interrupted == notInterrupted {
		req.interrupted = why
	}
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0)) // an error means that the caller has disconnected
}

// holdBody counts the body of the request that arrives as one of this size, and reports whether there is room.
func (c *callerConn) holdBody(size int) bool {
	if c == nil || c.held == nil {
		return true
	}
	return c.intake.decide(demandBody, func(now time.Time, a *intake.Account) (bool, []intake.Eviction) {
		return a.Body(now, c.held, int64(size))
	})
}

// holdHeader counts bytes of the header of a request, and reports whether there is room.
func (c *callerConn) holdHeader(read int) bool {
	if c.held == nil {
		return true
	}
	return c.intake.decide(demandHeader, func(now time.Time, a *intake.Account) (bool, []intake.Eviction) {
		return a.Header(now, c.held, read)
	})
}

// run records that the request on the connection was received whole. It returns its body as held, or errNoMemory
// if the connection has given way.
func (c *callerConn) run() (*heldBody, error) {
	if c == nil || c.held == nil {
		return nil, nil
	}
	var size int64
	var ok bool
	c.intake.update(func(now time.Time, a *intake.Account) { size, ok = a.Run(now, c.held) })
	if !ok {
		return nil, errNoMemory
	}
	if size == 0 {
		return nil, nil
	}
	return newHeldBody(func() { c.intake.update(func(_ time.Time, a *intake.Account) { a.Free(size) }) }), nil
}

// refuse records that the request on the connection is refused. Of its body it waits only for what arrives within
// refusedBodyTime.
func (c *callerConn) refuse() {
	if c == nil {
		return
	}
	if c.held != nil {
		c.intake.update(func(now time.Time, a *intake.Account) { a.Refuse(now, c.held) })
	}
	if req := c.request.Load(); req != nil && req.bodyDue.Load() {
		time.AfterFunc(refusedBodyTime, func() { c.interruptBody(req, interruptedAsRefused) })
	}
}

// answer records that an answer of this size is sent on the connection.
func (c *callerConn) answer(size int) {
	if c == nil || c.held == nil {
		return
	}
	c.intake.decide(demandAnswer, func(now time.Time, a *intake.Account) (bool, []intake.Eviction) {
		return true, a.Answer(now, c.held, int64(size))
	})
}

// giveWay carries out an eviction of the connection: it is closed at once, or its request is refused.
func (c *callerConn) giveWay(closeIt bool) {
	if body := c.body.Load(); body != nil {
		body.drop()
	}
	if closeIt {
		c.abrupt.Store(true)
	}
	req := c.request.Load()
	if req != nil && req.bodyDue.Load() {
		c.interruptBody(req, interruptedForMemory)
		return
	}
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.TCPConn.Close() // it is not used any more
}
