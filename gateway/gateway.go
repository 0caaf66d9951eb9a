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
	MaxBodyBytes   = 64 << 10 // bytes
	MaxHeaderBytes = 16 << 10 // bytes
	readTimeout    = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	writeMargin    = 10 * time.Second // for writing the answer, beyond the longest time limit of a request
	maxTimeLimit   = time.Minute
)

// Config returns the bundle in force, or nil before there is one. rollout.Follower
// implements it.
type Config interface {
	Current() *rollout.InForce
}

// Engine runs requests on targets. query.Engine implements it.
type Engine interface {
	Search(ctx context.Context, req *query.Request) *query.Answer
	Admit(ctx context.Context, service string, deadline time.Time) (done func(), refused *query.Answer)
	Submit(ctx context.Context, req *query.Submission) query.SubmitResult
}

// Claims runs a non-idempotent request at most once. once.Runner implements it.
type Claims interface {
	Run(ctx context.Context, req once.Request, run func(ctx context.Context) once.Outcome) once.Outcome
}

// Options configure a Gateway. Config, Engine and Claims are required.
type Options struct {
	Config     Config
	Engine     Engine
	Claims     Claims
	Deployment string
	Log        *slog.Logger // discards all if nil
	Metrics    *metrics.Set // a new set if nil
}

// Gateway serves callers' requests over HTTP. It is safe for concurrent use.
type Gateway struct {
	opt     Options
	leaving atomic.Bool
}

// New returns a gateway. It serves requests through Handler or Server.
func New(opt Options) *Gateway {
	if opt.Log == nil {
		opt.Log = logging.Discard()
	}
	if opt.Metrics == nil {
		opt.Metrics = metrics.NewSet()
	}
	return &Gateway{opt: opt}
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
		ErrorLog:          logging.StdLogger(g.opt.Log),
	}
}

// Handler returns the gateway's routes.
func (g *Gateway) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post("/v1/search/:search"), g.serve(g.search))
	mux.HandleFunc(pat.Post("/v1/browse/:search"), g.serve(g.search))
	mux.HandleFunc(pat.Post("/v1/submit/:search"), g.serve(g.submit))
	mux.HandleFunc(pat.New("/*"), g.serve(unknownPath))
	return mux
}

// request is one caller's request while the gateway handles it.
type request struct {
	id      string
	arrived time.Time
	inForce *rollout.InForce // when the request arrived; used until its end
	http    *http.Request
	body    []byte
}

type handler func(req *request) *Answer

// serve returns an HTTP handler that does what all requests have in common: it assigns
// an id and the revision in force to the request, reads its body and writes the answer.
func (g *Gateway) serve(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req := &request{
			id:      uuid.NewString(),
			arrived: time.Now(),
			inForce: g.opt.Config.Current(),
			http:    r,
		}
		answer := g.handle(w, req, h)
		g.writeAnswer(w, req, answer)
	}
}

func (g *Gateway) handle(w http.ResponseWriter, req *request, h handler) *Answer {
	if req.inForce == nil {
		return errorAnswer(result.Errorf(result.NoBundle, "").WithRetryAfter(noBundleRetryAfter))
	}
	if err := req.readBody(w); err != nil {
		return errorAnswer(err)
	}
	return h(req)
}

// noBundleRetryAfter is the retry time that a VM states while it has no bundle in force.
const noBundleRetryAfter = time.Second

func unknownPath(*request) *Answer {
	return errorAnswer(result.Errorf(result.UnknownSearch,
		"allowed are POST /v1/search/NAME, POST /v1/browse/NAME and POST /v1/submit/NAME"))
}
