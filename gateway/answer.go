package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/bramleybarrow/bramleybarrow/policy"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// readBody takes the body, up to MaxBody.
func (req *request) readBody(w http.ResponseWriter) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.http.Body, MaxBodyBytes))
	var tooBig *http.MaxBytesError
	if errors.As(err, &tooBig) {
		return result.Errorf(result.TooLarge, "body: allowed are %d bytes", MaxBodyBytes)
	}
	if err != nil {
		return result.Errorf(result.BadRequest, "body: could not be read; send it whole")
	}
	req.body = body
	return nil
}

// newAnswer returns the general part of an answer of the given code.
func newAnswer(code result.Code) *Answer {
	info := code.Info()
	return &Answer{
		Code: int(code),
		Name: info.Name,
		Text: info.Text,
		Ran:  info.Ran.String(),
	}
}

// errorAnswer turns an error into an answer.
func errorAnswer(err error) *Answer {
	a := newAnswer(result.CodeOf(err))
	var e *result.Error
	if errors.As(err, &e) {
		a.Detail = e.Detail
		a.RetryAfterMS = ceilMillis(e.RetryAfter)
	}
	return a
}

// ceilMillis rounds up, so that a caller never comes back too early.
func ceilMillis(d time.Duration) int64 {
	return int64(math.Ceil(float64(d) / float64(time.Millisecond)))
}

func newCoverage(c *policy.Coverage, explain bool) *Coverage {
	out := &Coverage{
		Ratio:          c.Ratio(),
		Shards:         c.Shards,
		ShardsAnswered: c.Answered,
		Records:        c.Records,
		Missing:        c.Missing,
		UnknownShards:  c.UnknownShards,
	}
	if explain {
		out.Gaps = c.Gaps
	}
	return out
}

const msPerSecond = int64(time.Second / time.Millisecond)

func (g *Gateway) writeAnswer(w http.ResponseWriter, req *request, a *Answer) {
	a.Request = req.id
	if req.inForce != nil {
		a.Revision = req.inForce.Revision
	}
	took := time.Since(req.arrived)
	a.TookMS = float64(took.Microseconds()) / 1000
	g.updateMetrics(a, took)
	body, err := json.Marshal(a)
	if err != nil {
		// Only a target's malformed raw JSON can cause this; its client has
		// checked that, so it is a fault of this program.
		g.opt.Log.Error("an answer could not be encoded", "request", req.id, "error", err)
		http.Error(w, "internal fault", http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderRequest, req.id)
	if a.RetryAfterMS > 0 {
		h.Set(HeaderRetryAfter, strconv.FormatInt((a.RetryAfterMS+msPerSecond-1)/msPerSecond, 10))
	}
	if g.leaving.Load() {
		h.Set("Connection", "close")
	}
	w.WriteHeader(result.Code(a.Code).Info().HTTP)
	if _, err := w.Write(body); err != nil {
		g.opt.Log.Debug("a caller went away before its answer", "request", req.id, "error", err)
	}
}

func (g *Gateway) updateMetrics(a *Answer, took time.Duration) {
	g.opt.Metrics.GetOrCreateCounter(fmt.Sprintf(`bramley_requests_total{code="%s"}`, a.Name)).Inc()
	g.opt.Metrics.GetOrCreateHistogram("bramley_request_seconds").Update(took.Seconds())
	g.opt.Metrics.GetOrCreateCounter("bramley_leaf_calls_total").Add(a.Attempts)
}
