package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"time"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/once"
	"github.com/bramleybarrow/bramleybarrow/query"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// submit serves a non-idempotent request: it checks the request, waits until it is
// admitted, and runs it at most once.
func (g *Gateway) submit(req *request) *Answer {
	s, key, limit, err := req.parseSubmit()
	if err != nil {
		return errorAnswer(err)
	}
	deadline := req.arrived.Add(limit)
	done, refused := g.opts.Engine.Admit(req.http.Context(), s.Service, deadline)
	if refused != nil {
		a := newAnswer(refused.Code)
		a.RetryAfterMS = ceilMillis(refused.RetryAfter)
		return a
	}
	defer done()
	return g.runOnce(req, s, key, deadline)
}

// runOnce claims the idempotency key and runs the request, unless the key was claimed
// before. The request is not cancelled if the caller disconnects: this VM waits for its
// outcome, up to the deadline.
func (g *Gateway) runOnce(req *request, s *bundle.Search, key once.Key, deadline time.Time) *Answer {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(req.http.Context()), deadline)
	defer cancel()
	sum := sha256.Sum256(req.body)
	claim := once.Request{
		Deployment: g.opts.Deployment,
		Search:     s.Name,
		Key:        key,
		Digest:     hex.EncodeToString(sum[:]),
	}
	out := g.opts.Claims.Run(ctx, claim, func(ctx context.Context) once.Outcome {
		got := g.opts.Engine.Submit(ctx, &query.Submission{
			ID:       req.id,
			Search:   s,
			Key:      key.String(),
			Payload:  req.body,
			Deadline: deadline,
		})
		return once.Outcome{Code: got.Code, Result: got.Result, Detail: got.Detail, RetryAfter: got.RetryAfter}
	})
	a := newAnswer(out.Code)
	a.Detail = out.Detail
	a.Result = out.Result
	a.RetryAfterMS = ceilMillis(out.RetryAfter)
	return a
}

// parseSubmit returns the request's search, idempotency key and time limit, and checks that
// the body is valid JSON.
func (req *request) parseSubmit() (*bundle.Search, once.Key, time.Duration, error) {
	s, err := req.findSearch()
	if err != nil {
		return nil, once.Key{}, 0, err
	}
	key, err := once.ParseKey(req.http.Header.Get(HeaderKey))
	if err != nil {
		return nil, once.Key{}, 0, err
	}
	ms := 0
	if h := req.http.Header.Get(HeaderTimeLimit); h != "" {
		if ms, err = strconv.Atoi(h); err != nil {
			return nil, once.Key{}, 0, result.Errorf(result.BadRequest, "%s: found %.40q, allowed is a whole number", HeaderTimeLimit, h)
		}
	}
	limit, err := timeLimit(s, ms)
	if err != nil {
		return nil, once.Key{}, 0, err
	}
	if !json.Valid(req.body) {
		return nil, once.Key{}, 0, result.Errorf(result.BadRequest, "body: not valid JSON; send one JSON document")
	}
	return s, key, limit, nil
}
