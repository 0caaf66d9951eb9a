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

// readBody reads the request's body into req.body. A body of more than MaxBodyBytes is an
// error.
func (req *request) readBody(w http.ResponseWriter) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.http.Body, MaxBodyBytes))
	var tooBig *http.MaxBytesError
	if errors.As(err, &tooBig) {
		return result.Errorf(result.TooLarge, "body: larger than the allowed %d bytes", MaxBodyBytes)
	}
	if err != nil {
		return result.Errorf(result.BadRequest, "body: could not be read completely")
	}
	req.body = body
	return nil
}

// newAnswer returns an answer with the given code and the code's name and text. Its Ran
// states whether a target ran the request, as far as the code shows it.
func newAnswer(code result.Code) *Answer {
	info := code.Info()
	return &Answer{
		Code: int(code),
		Name: info.Name,
		Text: info.Text,
		Ran:  info.Ran.String(),
	}
}

// errorAnswer returns the answer for a request that failed with err.
func errorAnswer(err error) *Answer {
	a := newAnswer(result.CodeOf(err))
	var e *result.Error
	if errors.As(err, &e) {
		a.Detail = e.Detail
		a.RetryAfterMS = ceilMillis(e.RetryAfter)
	}
	return a
}

// ceilMillis returns d in milliseconds, rounded up, so that a caller does not retry too
// early.
func ceilMillis(d time.Duration) int64 {
	return int64(math.Ceil(float64(d) / float64(time.Millisecond)))
}

// newCoverage converts a query's coverage to its JSON form. If explain is true, the form lists
// the gaps: the shards with missing records.
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

// writeAnswer sets the answer's request id, revision and duration, counts the answer in the
// metrics and sends it.
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
		// Only malformed raw JSON from a target can cause this. target.Client
		// checks such JSON, so this is a bug in this program.
		g.opts.Log.Error("encoding an answer failed", "request", req.id, "error", err)
		http.Error(w, "internal fault", http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderRequest, req.id)
	if a.RetryAfterMS > 0 {
		// Rounded up to whole seconds, so that a caller does not retry too early.
		h.Set(HeaderRetryAfter, strconv.FormatInt((a.RetryAfterMS+msPerSecond-1)/msPerSecond, 10))
	}
	if g.leaving.Load() {
		h.Set("Connection", "close")
	}
	w.WriteHeader(result.Code(a.Code).Info().HTTP)
	if _, err := w.Write(body); err != nil {
		g.opts.Log.Debug("sending an answer failed", "request", req.id, "error", err)
	}
}

// updateMetrics counts an answer by the name of its code. It also records the time that the
// answer took and the number of calls to leaves that were made for it.
func (g *Gateway) updateMetrics(a *Answer, took time.Duration) {
	g.opts.Metrics.GetOrCreateCounter(fmt.Sprintf(`bramley_requests_total{code="%s"}`, a.Name)).Inc()
	g.opts.Metrics.GetOrCreateHistogram("bramley_request_seconds").Update(took.Seconds())
	g.opts.Metrics.GetOrCreateCounter("bramley_leaf_calls_total").Add(a.Attempts)
}
