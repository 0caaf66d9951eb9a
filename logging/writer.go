package logging

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	queueLines      = 512                    // number of lines that may wait to be written; further ones are dropped
	writeBatchBytes = 32 << 10               // size, in bytes, from which on a write is not joined with further queued lines
	flushTimeout    = 200 * time.Millisecond // longest time that flush waits for lines to be written
)

// asyncWriter writes lines to an output from a goroutine of its own, so that callers never
// wait for the output: a process that stops reading the log would otherwise block every
// request. Lines that the queue has no space for are dropped and counted.
type asyncWriter struct {
	out     io.Writer
	lines   chan []byte    // queue of complete lines
	dropped *atomic.Uint64 // number of lines dropped; rateLimitedHandler counts here, too
	pending atomic.Int64   // lines accepted and not yet written
}

// newAsyncWriter starts the goroutine that writes to out. It runs until the process exits.
// Dropped lines are counted in dropped.
func newAsyncWriter(out io.Writer, dropped *atomic.Uint64) *asyncWriter {
	w := &asyncWriter{out: out, lines: make(chan []byte, queueLines), dropped: dropped}
	go w.run()
	return w
}

// Write implements io.Writer. It queues a copy of one complete line, or drops it, and
// never returns an error.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.pending.Add(1)
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.pending.Add(-1)
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes lines until the process exits. It joins queued lines into one write, so that
// all lines of a request cost one system call instead of one each.
func (w *asyncWriter) run() {
	for line := range w.lines {
		count := int64(1)
		for len(line) < writeBatchBytes && len(w.lines) > 0 {
			line = append(line, <-w.lines...)
			count++
		}
		// A failure to write the log can't be reported anywhere.
		_, _ = w.out.Write(line)
		w.pending.Add(-count)
	}
}

// flush waits until all accepted lines are written, for at most flushTimeout.
func (w *asyncWriter) flush() {
	deadline := time.Now().Add(flushTimeout)
	for w.pending.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}
