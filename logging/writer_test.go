package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	release chan struct{} // closed by the test to let the writes continue
	mu      sync.Mutex    // guards written
	written bytes.Buffer
}

// Write implements io.Writer. It blocks until release is closed.
func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

// Guards against requests that block while they log, because the process that reads the log
// has stopped reading. Lines have to be dropped instead.
func TestLogNeverBlocks(t *testing.T) {
	g := gomega.NewWithT(t)
	out := &blockedWriter{release: make(chan struct{})}
	log, flush := New(out, Options{JSON: true})
	done := make(chan struct{})
	go func() {
		for range 5000 {
			log.Info("a line")
		}
		close(done)
	}()
	g.Eventually(done, "5s").Should(gomega.BeClosed())
	close(out.release)
	time.Sleep(10 * time.Millisecond)
	flush()
	out.mu.Lock()
	defer out.mu.Unlock()
	g.Expect(strings.Count(out.written.String(), "a line")).To(gomega.BeNumerically("<", burstLines+queueLines+2*linesPerSecond))
}

// slowWriter takes 5 ms for each write and counts the writes.
type slowWriter struct {
	mu      sync.Mutex // guards the fields below
	written bytes.Buffer
	writes  int // number of calls of Write
}

// Write implements io.Writer. It takes 5 ms.
func (w *slowWriter) Write(p []byte) (int, error) {
	time.Sleep(5 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes++
	return w.written.Write(p)
}

// Guards against the loss of the last lines of a process, which say why it stops. A flush
// that waits only until the queue is empty would end while the lines taken from it are
// still being written.
func TestFlushWaitsForWritesInProgress(t *testing.T) {
	g := gomega.NewWithT(t)
	out := &slowWriter{}
	log, flush := New(out, Options{JSON: true})
	for range 50 {
		log.Info("a line")
	}
	flush()
	out.mu.Lock()
	defer out.mu.Unlock()
	g.Expect(strings.Count(out.written.String(), "a line")).To(gomega.Equal(50))
	g.Expect(out.writes).To(gomega.BeNumerically("<", 50), "queued lines are written together")
}
