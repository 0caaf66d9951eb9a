package logging

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	queueLines    = 512      // lines that wait for the reader of the log
	maxWriteBytes = 32 << 10 // about how many bytes are written at once, at most
	flushTimeout  = 200 * time.Millisecond
)

// asyncWriter passes lines to the real output without ever waiting for it: a reader that stops
// reading would otherwise stop every request. Lines beyond the queue are counted and left
// out.
type asyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped *atomic.Uint64
	pending atomic.Int64 // lines taken and not written yet
}

func newAsyncWriter(out io.Writer, dropped *atomic.Uint64) *asyncWriter {
	w := &asyncWriter{out: out, lines: make(chan []byte, queueLines), dropped: dropped}
	go w.run()
	return w
}

// Write implements io.Writer. It takes one whole line.
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

// run writes lines for as long as the process lives. Those that wait are written at once:
// one system call for a request's lines in place of one for each.
func (w *asyncWriter) run() {
	for line := range w.lines {
		count := int64(1)
		for len(line) < maxWriteBytes && len(w.lines) > 0 {
			line = append(line, <-w.lines...)
			count++
		}
		// There is nowhere to tell that the log can't be written.
		_, _ = w.out.Write(line)
		w.pending.Add(-count)
	}
}

// flush waits until what was taken is written, as far as the reader takes it within
// flushTime.
func (w *asyncWriter) flush() {
	deadline := time.Now().Add(flushTimeout)
	for w.pending.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}
