package edge

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bramleybarrow/bramleybarrow/leafhttp"
	"github.com/bramleybarrow/bramleybarrow/quarantine"
	"github.com/bramleybarrow/bramleybarrow/routing"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// answerMargin is the part of a caller's remaining time that is kept for sending the answer
// back.
const answerMargin = 6 * time.Millisecond

// retryAfterStart is the Retry-After time that callers get while no manifest or no leaf is known. A
// VM that has just started reads both within a few hundred milliseconds.
const retryAfterStart = 200 * time.Millisecond

// ServeHTTP implements http.Handler for callers. No router runs before it that would clean
// paths or send answers of its own, so only the manifest in force decides how a request is
// answered.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer e.answerPanic(w, r)
	arrived := time.Now()
	if id := e.headerCodec.RequestID(r.Header); !beginRequest(r.Context(), id, arrived, r.Body != http.NoBody) {
		e.stats.count(`bramley_edge_requests_crossed_close_total`)
		e.log.Info("request crossed the close of its connection", "request", id)
		panic(http.ErrAbortHandler)
	}
	if r.Body == http.NoBody {
		if _, err := callerConnOf(r.Context()).run(); err != nil {
			e.rejectBody(w, r, err, 0)
			return
		}
	}
	m := e.inForce.Get()
	if m == nil {
		e.replyUnavailable(w, r, "no_manifest", 0, retryAfterStart)
		return
	}
	e.serveBy(w, r, arrived, m)
}

// answerPanic recovers from a panic while a request was served. A leaf may have run it, so its outcome
// is unknown.
func (e *Engine) answerPanic(w http.ResponseWriter, r *http.Request) {
	p := recover()
	if p == nil {
		return
	}
	if p == http.ErrAbortHandler {
		panic(p)
	}
	e.logPanic("serving a request panicked", p, "path", r.URL.Path)
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusBadGateway)
}

// serveBy serves a caller's request by manifest m, which is in force.
func (e *Engine) serveBy(w http.ResponseWriter, r *http.Request, arrived time.Time, m *routing.Manifest) {
	if limit := m.Limits.HeaderBytes; limit > 0 && headerSize(r) > limit {
		e.rejectAndClose(w, r, http.StatusRequestHeaderFieldsTooLarge, "header", m.Version)
		return
	}
	target := requestTarget(r)
	path, _, _ := strings.Cut(target, "?")
	route := m.Match(r.Host, path)
	if route == nil {
		e.logRefusal(r, http.StatusNotFound, "no_route", m.Version)
		e.setClose(w, r)
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if e.Leafs() == 0 {
		e.replyUnavailable(w, r, "no_leafs", m.Version, retryAfterStart)
		return
	}
	enterStage(r.Context(), stageKey)
	who, rejected := e.authenticate(r, m, route)
	if newer := e.inForce.Get(); rejected != nil && newer.Version > m.Version {
		e.serveBy(w, r, arrived, newer)
		return
	}
	var caller callerTime
	if rejected == nil {
		caller = e.callerTimeOf(r, arrived, route)
		enterStage(r.Context(), stageToken)
		rejected = e.takeToken(r.Context(), arrived, who, route, caller.freshFor(route.Aim))
	}
	if rejected != nil {
		e.stats.tenants.count(time.Now(), who, endOfRejection(rejected))
		e.reject(w, r, rejected, m.Version)
		return
	}
	body, held, err := e.readBody(w, r, m, caller.bodyBy(arrived))
	if err != nil {
		e.returnToken(time.Now(), who)
		e.stats.tenants.count(time.Now(), who, endOfBody(err))
		e.rejectBody(w, r, err, m.Version)
		return
	}
	defer held.release()
	req := e.newRequest(r, target, body, arrived, caller, route, e.withheldHeaders(m))
	req.held = held
	res := e.serveOrHandOver(r, req, route, who, m.Version)
	if res.Outcome.Verdict == scatter.NotRun {
		e.returnToken(time.Now(), who)
	}
	enterStage(r.Context(), stageAnswer)
	e.stats.tenants.count(time.Now(), who, endOfOutcome(res.Outcome.Verdict))
	e.logRequest(req, route, m.Version, who, res, connEndOfRequest(r.Context()), time.Since(arrived))
	if res.Outcome.Verdict == scatter.Abandoned {
		// The caller has closed its sending side, and may still read. net/http would answer an
		// empty 200 for a handler that returns.
		panic(http.ErrAbortHandler)
	}
	if e.leaving.Load() { // since the request arrived
		w.Header().Set("Connection", "close")
	}
	callerConnOf(r.Context()).answer(len(res.Body))
	writeResult(w, res)
	e.lateAnswers.add(time.Now(), res.dueAt)
}

// setClose closes the connection after a refusal if this VM was told to stop, maybe while the request waited.
func (e *Engine) setClose(w http.ResponseWriter, r *http.Request) {
	enterStage(r.Context(), stageAnswer)
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
}

// rejection is the answer to a request that is not run: its key is not valid, or its tenant has used
// up its limit.
type rejection struct {
	status     int
	why        string        // reason for the log and the metrics
	retryAfter time.Duration // when the caller should come back; 0 if it should not
	header     http.Header   // further headers, may be nil
	fields     []any         // further fields of the log line, in pairs; may be nil
}

// reject sends a rejection. version is that of the manifest in force.
func (e *Engine) reject(w http.ResponseWriter, r *http.Request, rejected *rejection, version int64) {
	e.logRefusal(r, rejected.status, rejected.why, version, rejected.fields...)
	for name, values := range rejected.header {
		w.Header()[name] = values
	}
	e.setClose(w, r)
	if rejected.retryAfter > 0 {
		w.Header().Set("Retry-After", formatSeconds(rejected.retryAfter))
	}
	w.WriteHeader(rejected.status)
}

// defaultBodyLimit bounds the size of a request body if the manifest states no limit, in
// bytes.
const defaultBodyLimit = 1 << 20

// bodyLimit returns the upper bound of the size of a request body, in bytes.
func bodyLimit(m *routing.Manifest) int64 {
	if m.Limits.BodyBytes > 0 {
		return m.Limits.BodyBytes
	}
	return defaultBodyLimit
}

// rejectBody answers a request whose body was not read because of err. version is that of the manifest in force.
func (e *Engine) rejectBody(w http.ResponseWriter, r *http.Request, err error, version int64) {
	switch {
	case errors.Is(err, errStopping):
		w.Header().Set("Connection", "close")
		e.replyUnavailable(w, r, "stopping", version, retryAfterStopping)
		return
	case errors.Is(err, errNoMemory):
		w.Header().Set("Connection", "close")
		e.replyUnavailable(w, r, "memory", version, retryAfterMemory)
		return
	case errors.Is(err, errBodyLate):
		e.rejectAndClose(w, r, http.StatusRequestTimeout, "body_late", version)
		return
	}
	status := http.StatusBadRequest
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		status = http.StatusRequestEntityTooLarge
	}
	e.rejectAndClose(w, r, status, "body", version)
}

// rejectAndClose answers a request that exceeds the manifest's limits or can't be read, and
// closes its connection. why and version, that of the manifest, are for the log.
func (e *Engine) rejectAndClose(w http.ResponseWriter, r *http.Request, status int, why string, version int64) {
	e.logRefusal(r, status, why, version)
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
}

// headerSize returns the size of a request line and its headers in bytes.
func headerSize(r *http.Request) int {
	const (
		lineOverhead   = len("  HTTP/1.1\r\n")
		headerOverhead = len(": \r\n")
	)
	size := len(r.Method) + len(r.RequestURI) + lineOverhead
	size += len("Host") + len(r.Host) + headerOverhead // net/http keeps it apart from the other headers
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerOverhead
		}
	}
	return size
}

// requestTarget returns path and query as the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// callerTime is what is known about the time that a caller has spent and has left.
type callerTime struct {
	path      callerPath
	timeout   time.Duration // remaining time, at most the route's timeout
	shortfall time.Duration // how much less remaining time the caller states than others of the route
}

// callerTimeOf returns the caller's time for a request on a route. It is called once for each request.
func (e *Engine) callerTimeOf(r *http.Request, arrived time.Time, route *routing.Route) callerTime {
	c := callerTime{path: callerPathOf(r.Context(), arrived), timeout: route.Timeout}
	if stated, ok := e.headerCodec.CallerTimeout(r.Header); ok {
		c.shortfall = e.elapsedTimes.observe(arrived, route.Name, stated)
		if stated < c.timeout || c.timeout == 0 {
			c.timeout = stated
		}
	}
	return c
}

// bodyBy returns the time by which the body of a request that arrived at arrived can still be served, zero if the
// caller's time is not known.
func (c *callerTime) bodyBy(arrived time.Time) time.Time {
	if c.timeout <= 0 {
		return time.Time{}
	}
	return arrived.Add(c.timeout - answerMargin)
}

// freshFor is callerPath.freshFor for the caller's shortfall.
func (c *callerTime) freshFor(objective time.Duration) time.Duration {
	return c.path.freshFor(c.shortfall, objective)
}

// newRequest returns the request to send to leafs for a caller's request that arrived at
// arrived. target is its path and query, and withheld names the headers that are not forwarded.
func (e *Engine) newRequest(r *http.Request, target string, body []byte, arrived time.Time, caller callerTime, route *routing.Route, withheld []string) *Request {
	start := arrived.Add(-caller.path.elapsed(caller.shortfall, route.Aim))
	return &Request{
		ID:       e.headerCodec.RequestID(r.Header),
		AnswerBy: caller.path.answerBy(start, route.Aim, e.lateAnswers.margin(arrived, e.answerWriteTime, route.Aim)),
		DueAt:    start.Add(route.Aim - caller.path.oneWay),
		Deadline: arrived.Add(caller.timeout - answerMargin),
		Top:      route.Top,
		HTTP: &leafhttp.Request{
			Method:  r.Method,
			Target:  target,
			Host:    r.Host,
			Header:  forwardedHeaders(r.Header, withheld),
			Body:    body,
			HasBody: len(body) > 0 || r.ContentLength != 0 || r.Header.Get("Content-Length") != "",
		},
	}
}

// hopByHopHeaders are headers that apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// forwardedHeaders returns the headers to forward, in either direction: h without hop-by-hop
// headers and without those in withheld, also if they are spelled with underscores, which some
// servers take for hyphens.
func forwardedHeaders(h http.Header, withheld []string) http.Header {
	out := h.Clone()
	for _, field := range h.Values("Connection") {
		for _, name := range strings.Split(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range slices.Concat(hopByHopHeaders, withheld) {
		out.Del(name)
	}
	for name := range out {
		if spelled := strings.ReplaceAll(name, "_", "-"); spelled != name && slices.ContainsFunc(withheld, func(w string) bool { return strings.EqualFold(w, spelled) }) {
			delete(out, name)
		}
	}
	return out
}

// serve runs a caller's request on a leaf of one service, or of each service of a gathered
// route, and returns its result.
func (e *Engine) serve(r *http.Request, req *Request, route *routing.Route, who origin) *Result {
	spec := scatter.Spec{
		Services:         route.Gather,
		Gathered:         route.Gathered(),
		Idempotent:       route.Kind == routing.Idempotent,
		MaxAttempts:      route.MaxAttempts,
		MinShare:         route.MinShare,
		LatencyObjective: route.Aim,
		AnswerBy:         req.AnswerBy,
		Deadline:         req.Deadline,
		MayDelegate:      route.Gathered() && len(req.HTTP.Body) <= maxDelegatedBody,
		RequestID:        req.ID,
		BudgetWeight:     1,
		Rank:             who.rank,
		Tenant:           who.name(),
		Content:          quarantine.FingerprintOf(who.name(), req.HTTP.Method, req.HTTP.Host, req.HTTP.Target, req.HTTP.Body),
	}
	if !spec.Gathered {
		spec.Services = []string{e.splitter.Next(route)}
	}
	enterStage(r.Context(), stageSlot)
	slot := e.slots.Load().reserve(r.Context(), time.Now(), spec)
	if res := slot.refusal(spec); res != nil {
		return res
	}
	spec.Advised, spec.StopAt = slot.advised(), e.stopping.time()
	enterStage(r.Context(), stageLeaf)
	run := e.newRunner(req, spec)
	run.slot = slot
	out := run.run(r.Context())
	slot.queryEnded(run.query)
	var res *Result
	if spec.Gathered && out.Verdict == scatter.Answered {
		res = run.mergedResult(out)
	} else {
		res = run.singleResult(out)
	}
	res.Services, res.Content = spec.Services, spec.Content
	return res
}

// singleResult returns the result of a request that was answered by one leaf, or by none.
func (r *runner) singleResult(out scatter.Outcome) *Result {
	res := &Result{Outcome: out, Header: http.Header{}}
	switch out.Verdict {
	case scatter.Answered, scatter.LeafFailed:
		ans := r.replies[out.Attempt]
		res.Status, res.Body = ans.Status, ans.Body
		res.Header = forwardedHeaders(ans.Header, nil)
	case scatter.NotRun:
		res.Status = http.StatusServiceUnavailable
		res.Header.Set("Retry-After", formatSeconds(out.RetryAfter))
	case scatter.TimedOut:
		res.Status = http.StatusGatewayTimeout
	default:
		res.Status = http.StatusBadGateway
	}
	return res
}

// formatSeconds formats a delay for the Retry-After header, in seconds with three decimals. It
// is not rounded to whole seconds, because most delays are shorter than one second. The users'
// platform allows fractions in this header.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// replyUnavailable answers 503 with Retry-After to a request that was sent to no leaf, because this
// VM knows no manifest or no leaf yet. why is the reason for the log and the metrics, and version is
// that of the manifest in force, 0 if there is none.
func (e *Engine) replyUnavailable(w http.ResponseWriter, r *http.Request, why string, version int64, retryAfter time.Duration) {
	e.logRefusal(r, http.StatusServiceUnavailable, why, version)
	e.setClose(w, r)
	w.Header().Set("Retry-After", formatSeconds(retryAfter))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// writeResult sends a result to the caller.
func writeResult(w http.ResponseWriter, res *Result) {
	header := w.Header()
	for name, values := range res.Header {
		header[name] = values
	}
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil // prevents net/http from guessing one
	}
	header.Set("Content-Length", strconv.Itoa(len(res.Body)))
	w.WriteHeader(res.Status)
	// An error means that the caller has disconnected, so there is no one to report it to.
	_, _ = w.Write(res.Body)
}
