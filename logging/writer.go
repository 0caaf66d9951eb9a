package logging

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	queueLines = 512      // lines that wait for the reader of the log
	writeBytes = 32 << 10 // about how many bytes are written at once, at most
	flushTime  = 200 * time.Millisecond
)

// writer passes lines to the real output without ever waiting for it: a reader that stops
// reading would otherwise stop every request. Lines beyond the queue are counted and left
// out.
type writer struct {
	out     io.Writer
	lines   chan []byte
	dropped *atomic.Uint64
	pending atomic.Int64 // lines taken and not written yet
}

func newWriter(out io.Writer, dropped *atomic.Uint64) *writer {
	w := &writer{out: out, lines: make(chan []byte, queueLines), dropped: dropped}
	go w.run()
	return w
}

// Write implements io.Writer. It takes one whole line.
func (w *writer) Write(line []byte) (int, error) {
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
func (w *writer) run() {
	for line := range w.lines {
		count := int64(1)
		for len(line) < writeBytes && len(w.lines) > 0 {
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
func (w *writer) flush() {
	deadline := time.Now().Add(flushTime)
	for w.pending.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}
