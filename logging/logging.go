// Package logging makes the daemons' logs: structured lines, bounded in rate, that never
// block whoever writes them.
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

// Bounds of the lines that one process writes.
const (
	linesPerSecond = 200
	burstLines     = 400
)

// Levels names the levels that settings may ask for.
const Levels = "debug, info, warn or error"

// ParseLevel returns the level of a name in Levels.
func ParseLevel(name string) (slog.Level, error) {
	var level slog.Level
	switch name {
	case "debug", "info", "warn", "error":
		return level, errors.Trace(level.UnmarshalText([]byte(name)))
	}
	return level, errors.Errorf("level %q: want %s", name, Levels)
}

// Options of a log.
type Options struct {
	Level slog.Level
	JSON  bool // one JSON object a line; otherwise key=value
}

// New returns a log that never blocks, and the function that writes out what waits and
// says how many lines were dropped.
func New(out io.Writer, opt Options) (*slog.Logger, func()) {
	dropped := new(atomic.Uint64)
	w := newAsyncWriter(out, dropped)
	form := &slog.HandlerOptions{Level: opt.Level}
	var handler slog.Handler = slog.NewTextHandler(w, form)
	if opt.JSON {
		handler = slog.NewJSONHandler(w, form)
	}
	bounded := slog.New(&rateLimitedHandler{
		Handler: handler,
		limiter: rate.NewLimiter(linesPerSecond, burstLines),
		dropped: dropped,
	})
	return bounded, func() {
		w.flush()
		if n := dropped.Load(); n > 0 {
			slog.New(handler).Warn("log lines dropped", "count", n)
			w.flush()
		}
	}
}

// Component returns a log whose lines say which part of the daemon wrote them.
func Component(l *slog.Logger, name string) *slog.Logger { return l.With("part", name) }

// Discard returns a log that writes nothing.
func Discard() *slog.Logger { return slog.New(slog.DiscardHandler) }

// StdLogger returns a log for libraries that want the standard one; its lines have the
// level debug.
func StdLogger(l *slog.Logger) *log.Logger { return slog.NewLogLogger(l.Handler(), slog.LevelDebug) }

// rateLimitedHandler drops lines beyond a rate before they are put into words: under overload
// a line that is dropped must cost next to nothing.
type rateLimitedHandler struct {
	slog.Handler
	limiter *rate.Limiter
	dropped *atomic.Uint64
}

// Handle implements slog.Handler.
func (h *rateLimitedHandler) Handle(ctx context.Context, r slog.Record) error {
	if !h.limiter.Allow() {
		h.dropped.Add(1)
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler; the rate is shared.
func (h *rateLimitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimitedHandler{Handler: h.Handler.WithAttrs(attrs), limiter: h.limiter, dropped: h.dropped}
}

// WithGroup implements slog.Handler; the rate is shared.
func (h *rateLimitedHandler) WithGroup(name string) slog.Handler {
	return &rateLimitedHandler{Handler: h.Handler.WithGroup(name), limiter: h.limiter, dropped: h.dropped}
}
