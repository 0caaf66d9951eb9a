package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"
)

// call is one request to a target, with the destination of its answer.
type call struct {
	target     string // name of the target
	method     string
	path       string
	request    any          // nil if the call has no body
	echo       Echo         // Echo of request; the zero value if request has none
	answer     any          // pointer that the answer is decoded into
	probe      bool         // use the connection that has received nothing for longest; the call tests whether this connection is silent
	deadlineMS *int64       // field of request that is set to the time left, in ms; nil if request is nil
	validate   func() error // checks the decoded answer against the request
}

// statusCall returns the call that reads a target's status into status.
func statusCall(target string, status *Status) *call {
	return &call{
		target:   target,
		method:   http.MethodGet,
		path:     PathStatus,
		answer:   status,
		probe:    true,
		validate: func() error { return checkStatus(target, status) },
	}
}

// do sends a call on a connection from the target's pool, waits for the answer and decodes
// it. It counts failed calls in the metrics. Any error is a *CallError.
func (c *Client) do(ctx context.Context, k *call) error {
	err := c.tryConnections(ctx, k)
	if err == nil {
		return nil
	}
	err.Target = k.target
	c.metrics.callFailed(err.Kind)
	return err
}

// tryConnections tries a call on up to maxSendTries connections, one after another. It goes
// on to the next one only if a connection broke before the target could start the call.
func (c *Client) tryConnections(ctx context.Context, k *call) *CallError {
	p := c.pool(k.target)
	if p == nil {
		return c.noPoolError(k.target)
	}
	for range maxSendTries - 1 {
		err := c.tryOnce(ctx, p, k)
		if err == nil || err.Kind != ErrorBroken || !err.NotStarted {
			return err
		}
	}
	return c.tryOnce(ctx, p, k)
}

// maxSendTries bounds the number of connections that a call is tried on. A
// connection can break after it was picked and before the request is written to it.
// As long as the transport has read nothing of the body, any request, also a
// non-idempotent one, may be sent on another connection.
const maxSendTries = 3

// tryOnce sends a call on one connection of the pool. If the answer belongs to another
// request, it retires the connection. If a probe times out, it checks whether the connection
// is silent.
func (c *Client) tryOnce(ctx context.Context, p *pool, k *call) *CallError {
	cn, err := p.acquire(ctx, k.probe)
	if err != nil {
		return err
	}
	defer p.release(cn)
	start := time.Now()
	err = c.roundTrip(ctx, cn, k)
	switch {
	case err == nil:
	case err.Kind == ErrorMismatched:
		p.retireMismatched(cn, err)
	case err.Kind == ErrorDeadline && k.probe:
		p.probeTimedOut(cn, start)
	}
	return err
}

// roundTrip sends a call on a connection that the caller has acquired, and
// decodes the answer.
func (c *Client) roundTrip(ctx context.Context, cn *conn, k *call) *CallError {
	body, err := k.encode(ctx)
	if err != nil {
		return err
	}
	c.metrics.calls.Inc()
	resp, rtErr := cn.http.RoundTrip(k.httpRequest(ctx, body))
	if rtErr != nil {
		return transportError(ctx, rtErr, body.seal())
	}
	defer resp.Body.Close()
	data, readErr := io.ReadAll(io.LimitReader(resp.Body, c.opts.MaxAnswerBytes+1))
	if readErr != nil {
		return transportError(ctx, readErr, false)
	}
	incarnation := c.reportState(k.target, resp.Header)
	err = c.decodeResponse(k, resp.StatusCode, data)
	if err != nil {
		err.Incarnation = incarnation
	}
	return err
}

// encode sets the request's deadline to the time left until ctx ends and returns
// the encoded body.
func (k *call) encode(ctx context.Context) (*requestBody, *CallError) {
	if err := ctx.Err(); err != nil {
		return nil, transportError(ctx, err, true)
	}
	if k.request == nil {
		return newRequestBody(nil), nil
	}
	if deadline, ok := ctx.Deadline(); ok {
		*k.deadlineMS = time.Until(deadline).Milliseconds()
		if *k.deadlineMS <= 0 {
			return nil, &CallError{Kind: ErrorDeadline, NotStarted: true, cause: context.DeadlineExceeded}
		}
	}
	data, err := json.Marshal(k.request)
	if err != nil {
		return nil, &CallError{Kind: ErrorMalformed, NotStarted: true, cause: errors.Annotate(err, "encoding the request")}
	}
	return newRequestBody(data), nil
}

// httpRequest returns a request that net/http can't resend by itself: it has no
// GetBody and no idempotency header.
func (k *call) httpRequest(ctx context.Context, body *requestBody) *http.Request {
	req := &http.Request{
		Method:     k.method,
		URL:        &url.URL{Scheme: "http", Host: k.target, Path: k.path},
		Host:       k.target,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     make(http.Header),
		Body:       http.NoBody,
	}
	if size := body.data.Len(); size > 0 {
		req.Body = body
		req.ContentLength = int64(size)
	}
	return req.WithContext(ctx)
}

// transportError returns the error of a call that ended without an answer. Its kind states
// whether the call was cancelled, reached its deadline, or broke for another cause.
// notStarted says that the target certainly did not start the call.
func transportError(ctx context.Context, cause error, notStarted bool) *CallError {
	kind := ErrorBroken
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		kind = ErrorCancelled
	case ctx.Err() != nil:
		kind = ErrorDeadline
	}
	return &CallError{Kind: kind, NotStarted: notStarted, cause: errors.Trace(cause)}
}

// reportState passes the state in the headers of an answer to the Sink, and
// returns the target's incarnation, or "" if the answer has none.
func (c *Client) reportState(target string, header http.Header) string {
	incarnation := header.Get(HeaderIncarnation)
	state := header.Get(HeaderState)
	if c.opts.Sink != nil && incarnation != "" && state != "" {
		c.opts.Sink.TargetState(target, incarnation, State(state), time.Now())
	}
	return incarnation
}

// decodeResponse decodes an answer. It returns an error if the answer is a
// refusal or can't be used.
func (c *Client) decodeResponse(k *call, status int, data []byte) *CallError {
	if int64(len(data)) > c.opts.MaxAnswerBytes {
		return &CallError{Kind: ErrorMalformed, cause: errors.Errorf("answer exceeds %d bytes", c.opts.MaxAnswerBytes)}
	}
	switch status {
	case http.StatusOK:
		return decodeAnswer(k, data)
	case http.StatusServiceUnavailable:
		return decodeRefusal(k, data)
	default:
		return &CallError{Kind: ErrorStatus, cause: errors.Errorf("HTTP status %d", status)}
	}
}

// decodeAnswer decodes the body of a successful response into k.answer and checks it against
// the request.
func decodeAnswer(k *call, data []byte) *CallError {
	if err := json.Unmarshal(data, k.answer); err != nil {
		return &CallError{Kind: ErrorMalformed, cause: errors.Trace(err)}
	}
	err := k.validate()
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errMismatched):
		return &CallError{Kind: ErrorMismatched, cause: err}
	default:
		return &CallError{Kind: ErrorMalformed, cause: err}
	}
}

// decodeRefusal returns the error that the body of a refusal states. It never returns nil.
func decodeRefusal(k *call, data []byte) *CallError {
	var refusal Refusal
	if err := json.Unmarshal(data, &refusal); err != nil {
		return &CallError{Kind: ErrorMalformed, cause: errors.Annotate(err, "decoding the refusal")}
	}
	if refusal.Echo != nil {
		if err := checkEcho(k.echo, *refusal.Echo); err != nil {
			return &CallError{Kind: ErrorMismatched, cause: err}
		}
	}
	return &CallError{
		Kind:       ErrorRefused,
		Reason:     refusal.Reason,
		NotStarted: refusal.NotStarted,
		RetryAfter: time.Duration(refusal.RetryAfterMS) * time.Millisecond,
	}
}
