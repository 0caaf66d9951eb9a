package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"goji.io"
	"goji.io/pat"

	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/once"
	"github.com/bramleybarrow/bramleybarrow/query"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/rollout"
)

// Bounds on requests and connections of callers.
const (
	MaxBodyBytes   = 64 << 10         // largest size of a request's body, in bytes
	MaxHeaderBytes = 16 << 10         // largest size of a request's header, in bytes
	readTimeout    = 10 * time.Second // longest time for reading a request, and for reading its header
	idleTimeout    = 2 * time.Minute  // time after which an unused connection of a caller is closed
	writeMargin    = 10 * time.Second // time for writing an answer; the server's WriteTimeout is maxTimeLimit plus this
	maxTimeLimit   = time.Minute      // longest time limit of a request for which the server's WriteTimeout is long enough; package bundle accepts longer ones
)

// Config gives access to the bundle in force: the configuration that this VM uses now.
// rollout.Follower implements it.
type Config interface {
	// Current returns the bundle in force, or nil before there is one.
	Current() *rollout.InForce
}

// Engine runs requests on targets. query.Engine implements it.
type Engine interface {
	// Search runs a search or a browse page to its end.
	Search(ctx context.Context, req *query.Request) *query.Answer
	// Admit admits or refuses a non-idempotent request; refused is nil if it is admitted.
	// done must be called when an admitted request ends.
	Admit(ctx context.Context, service string, deadline time.Time) (done func(), refused *query.Answer)
	// Submit runs an admitted non-idempotent request whose key was claimed.
	Submit(ctx context.Context, req *query.Submission) query.SubmitResult
}

// Claims runs a non-idempotent request at most once for each idempotency key, on whichever
// VM it arrives. once.Runner implements it.
type Claims interface {
	// Run claims the key of req and calls run, unless the key was claimed before. It
	// returns the outcome for the caller.
	Run(ctx context.Context, req once.Request, run func(ctx context.Context) once.Outcome) once.Outcome
}

// Options configure a Gateway. Config, Engine and Claims are required.
type Options struct {
	Config     Config
	Engine     Engine
	Claims     Claims
	Deployment string       // name of the deployment that this VM belongs to
	Log        *slog.Logger // discards all if nil
	Metrics    *metrics.Set // a new set if nil
}

// Gateway serves callers' requests over HTTP. It is safe for concurrent use.
type Gateway struct {
	opts    Options
	leaving atomic.Bool // Leave was called
}

// New returns a gateway. It serves requests through Handler or Server.
func New(opts Options) *Gateway {
	if opts.Log == nil {
		opts.Log = logging.Discard()
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewSet()
	}
	return &Gateway{opts: opts}
}

// Leave makes the gateway send "Connection: close" with each answer, so that callers
// do not use the connection again. Requests are still served.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// Server returns an HTTP server for the gateway with its timeouts and size limits set.
func (g *Gateway) Server() *http.Server {
	return &http.Server{
		Handler:           g.Handler(),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      maxTimeLimit + writeMargin,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
		ErrorLog:          logging.StdLogger(g.opts.Log),
	}
}

// Handler returns the HTTP handler of all paths that callers use.
func (g *Gateway) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post("/v1/search/:search"), g.serve(g.search))
	mux.HandleFunc(pat.Post("/v1/browse/:search"), g.serve(g.search))
	mux.HandleFunc(pat.Post("/v1/submit/:search"), g.serve(g.submit))
	mux.HandleFunc(pat.New("/*"), g.serve(unknownPath))
	return mux
}

// request is a caller's request that the gateway is handling.
type request struct {
	id      string // assigned by this VM; the answer repeats it
	arrived time.Time
	inForce *rollout.InForce // bundle in force when the request arrived; nil if there was none
	http    *http.Request
	body    []byte // set by readBody
}

// handler serves one kind of request and returns the answer to it.
type handler func(req *request) *Answer

// serve returns an HTTP handler that does what all requests have in common: it assigns
// an id and the bundle in force to the request, reads its body and writes the answer.
func (g *Gateway) serve(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req := &request{
			id:      uuid.NewString(),
			arrived: time.Now(),
			inForce: g.opts.Config.Current(),
			http:    r,
		}
		answer := g.handle(w, req, h)
		g.writeAnswer(w, req, answer)
	}
}

// handle reads the request's body, passes the request to h and returns the answer. While this
// VM has no bundle in force, it refuses the request.
func (g *Gateway) handle(w http.ResponseWriter, req *request, h handler) *Answer {
	if req.inForce == nil {
		return errorAnswer(result.Errorf(result.NoBundle, "").WithRetryAfter(noBundleRetryAfter))
	}
	if err := req.readBody(w); err != nil {
		return errorAnswer(err)
	}
	return h(req)
}

// noBundleRetryAfter is the wait before a retry that a VM states while it has no bundle in
// force.
const noBundleRetryAfter = time.Second

// unknownPath answers a request whose path or method the gateway does not serve.
func unknownPath(*request) *Answer {
	return errorAnswer(result.Errorf(result.UnknownSearch,
		"allowed are POST /v1/search/NAME, POST /v1/browse/NAME and POST /v1/submit/NAME"))
}
