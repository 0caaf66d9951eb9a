// Package logging makes the daemons' loggers. They write structured lines at a limited
// rate and never block their callers.
package logging

import (
	"context"
	"io"
	"log"
	"log/slog"
	"sync/atomic"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

// Limits on the lines that one logger writes, all its components together.
const (
	linesPerSecond = 200 // largest mean rate at which a logger writes lines; further lines are dropped
	burstLines     = 400 // number of lines that a logger may write at once if it wrote few before, whatever the rate
)

// Levels lists the level names that settings may contain.
const Levels = "debug, info, warn or error"

// ParseLevel returns the level of a name in Levels, or an error for any other name.
func ParseLevel(name string) (slog.Level, error) {
	var level slog.Level
	switch name {
	case "debug", "info", "warn", "error":
		return level, errors.Trace(level.UnmarshalText([]byte(name)))
	}
	return level, errors.Errorf("unknown log level %q: want %s", name, Levels)
}

// Options configure a logger.
type Options struct {
	Level slog.Level // lines below it are not written
	JSON  bool       // one JSON object per line; otherwise key=value
}

// New returns a logger that never blocks, and a function to call before the process exits.
// The function waits up to flushTimeout until the queued lines are written to out. If lines
// were dropped, it then logs their number and waits once more.
func New(out io.Writer, opt Options) (*slog.Logger, func()) {
	dropped := new(atomic.Uint64)
	w := newAsyncWriter(out, dropped)
	handlerOptions := &slog.HandlerOptions{Level: opt.Level}
	var handler slog.Handler = slog.NewTextHandler(w, handlerOptions)
	if opt.JSON {
		handler = slog.NewJSONHandler(w, handlerOptions)
	}
	limited := slog.New(&rateLimitedHandler{
		Handler: handler,
		limiter: rate.NewLimiter(linesPerSecond, burstLines),
		dropped: dropped,
	})
	return limited, func() {
		w.flush()
		if n := dropped.Load(); n > 0 {
			slog.New(handler).Warn("log lines dropped", "count", n)
			w.flush()
		}
	}
}

// Component returns a logger whose lines name the component that wrote them, under the
// key "part".
func Component(l *slog.Logger, name string) *slog.Logger { return l.With("part", name) }

// Discard returns a logger that writes nothing.
func Discard() *slog.Logger { return slog.New(slog.DiscardHandler) }

// StdLogger returns a log.Logger for libraries that need one. Its lines are written to l at
// level debug.
func StdLogger(l *slog.Logger) *log.Logger { return slog.NewLogLogger(l.Handler(), slog.LevelDebug) }

// rateLimitedHandler drops lines beyond a rate before they are formatted: under overload
// a dropped line must cost next to nothing. Handlers that WithAttrs and WithGroup derive
// from it share its limiter.
type rateLimitedHandler struct {
	slog.Handler
	limiter *rate.Limiter  // of the logger and all loggers derived from it
	dropped *atomic.Uint64 // number of lines dropped by the limiter or by asyncWriter
}

// Handle implements slog.Handler. It drops and counts the line if the limiter rejects it.
func (h *rateLimitedHandler) Handle(ctx context.Context, r slog.Record) error {
	if !h.limiter.Allow() {
		h.dropped.Add(1)
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler. The new handler shares the limiter.
func (h *rateLimitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimitedHandler{Handler: h.Handler.WithAttrs(attrs), limiter: h.limiter, dropped: h.dropped}
}

// WithGroup implements slog.Handler. The new handler shares the limiter.
func (h *rateLimitedHandler) WithGroup(name string) slog.Handler {
	return &rateLimitedHandler{Handler: h.Handler.WithGroup(name), limiter: h.limiter, dropped: h.dropped}
}
