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

// Bounds of what a caller may send.
const (
	MaxBodyBytes   = 64 << 10 // bytes
	MaxHeaderBytes = 16 << 10 // bytes
	readTimeout    = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	writeMargin    = 10 * time.Second // beyond the longest time limit of a request
	maxTimeLimit   = time.Minute
)

// Config tells the bundle in force. rollout.Keeper implements it.
type Config interface {
	Current() *rollout.InForce
}

// Engine runs requests. query.Engine implements it.
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
	Log        *slog.Logger
	Metrics    *metrics.Set
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	opt     Options
	leaving atomic.Bool
}

// New returns a gateway.
func New(opt Options) *Gateway {
	if opt.Log == nil {
		opt.Log = logging.Discard()
	}
	if opt.Metrics == nil {
		opt.Metrics = metrics.NewSet()
	}
	return &Gateway{opt: opt}
}

// Leave makes the gateway ask callers, with each answer, not to use the
// connection again. Requests are still served.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// Server returns an HTTP server for the gateway with its bounds set.
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

// request is one caller's request on its way through the gateway.
type request struct {
	id      string
	arrived time.Time
	inForce *rollout.InForce // for the request's whole life
	http    *http.Request
	body    []byte
}

type handler func(req *request) *Answer

// serve wraps what all requests share: the revision that the request lives
// under, its id, the bounds and the form of the answer.
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

// noBundleRetryAfter is stated by a VM that has no bundle in force yet.
const noBundleRetryAfter = time.Second

func unknownPath(*request) *Answer {
	return errorAnswer(result.Errorf(result.UnknownSearch,
		"allowed are POST /v1/search/NAME, POST /v1/browse/NAME and POST /v1/submit/NAME"))
}
