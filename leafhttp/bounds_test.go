package leafhttp

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// endless repeats a text without end.
type endless struct {
	text string
	at   int
}

func (e *endless) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = e.text[e.at%len(e.text)]
		e.at++
	}
	return len(b), nil
}

// endlessAnswers are answers of which a part has no end. part is the one whose bound ends it, -1 if
// net/http does.
var endlessAnswers = []struct {
	name, begin, repeat string
	part                Part
}{
	{"status line", "HTTP/1.1 200 ", "x", PartHead},
	{"header", "HTTP/1.1 200 OK\r\nX-Long: ", "x", PartHead},
	{"headers", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n", PartHead},
	{"informational answers", "", "HTTP/1.1 103 Early\r\n\r\n", PartInformational},
	{"long informational answers", "", "HTTP/1.1 103 Early\r\nX-Long: " + strings.Repeat("x", 8<<10) + "\r\n\r\n", PartHead},
	{"body until the end of the connection", "HTTP/1.1 200 OK\r\n\r\n", "x", PartBody},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", PartBody},
	{"chunk header", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0", -1},
	{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", -1},
	{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n0\r\n", "X: y\r\n", -1},
}

// newTestConn returns a connection that reads from r.
func newTestConn(r io.Reader) *conn {
	bounded := &boundedReader{src: r}
	return &conn{bounded: bounded, reader: bufio.NewReaderSize(bounded, readBufferSize)}
}

// Guards against a faulty leaf that uses up the VM's memory by an answer without an end.
func TestEndlessAnswersAreBounded(t *testing.T) {
	for _, c := range endlessAnswers {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			long := new(longBodies)
			rest := &endless{text: c.repeat}
			_, _, err := readBounded(newTestConn(io.MultiReader(strings.NewReader(c.begin), rest)), "GET", long)
			g.Expect(err).To(gomega.HaveOccurred())
			bound := maxHeadBytes
			if c.part == PartBody {
				bound += maxBodyWireBytes
			}
			g.Expect(rest.at).To(gomega.BeNumerically("<=", bound), "bytes read")
			var tooLong *AnswerTooLongError
			if c.part >= 0 {
				g.Expect(errors.As(err, &tooLong)).To(gomega.BeTrue(), "%v", err)
				g.Expect(tooLong.Part).To(gomega.Equal(c.part))
			}
			g.Expect(ConnectionLost(err)).To(gomega.BeFalse(), "the leaf has not ended")
			g.Expect(long.held.Load()).To(gomega.BeZero())
		})
	}
}

// Guards against many such answers at once: fifty requests to a leaf that answers each without an end.
func TestManyEndlessAnswersAreBoundedTogether(t *testing.T) {
	const requests = 50
	for _, c := range endlessAnswers {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer ln.Close()
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					go func() {
						defer conn.Close()
						// It ends when the reader closes the connection.
						_, _ = io.Copy(conn, io.MultiReader(strings.NewReader(c.begin), &endless{text: c.repeat}))
					}()
				}
			}()
			pool := NewPool()
			var highest atomic.Int64
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			var done sync.WaitGroup
			for range requests {
				done.Go(func() {
					req := &Request{Method: "GET", Target: "/x", Host: "h", Header: http.Header{}}
					_, err := pool.Do(ctx, Endpoint{Key: "l", Address: ln.Addr().String()}, req, "", nil, func(*Answer) Reading { return Reading{Last: true} })
					if err == nil || ctx.Err() != nil {
						t.Errorf("answer read: %v", err)
					}
					for held, old := pool.longBodies.held.Load(), highest.Load(); held > old && !highest.CompareAndSwap(old, held); old = highest.Load() {
					}
				})
			}
			done.Wait()
			g.Expect(highest.Load()).To(gomega.BeNumerically("<=", maxLongBodies))
			g.Expect(pool.Idle()).To(gomega.BeZero())
		})
	}
}

// Guards against a bound that cuts off sound answers: as long as allowed, after informational ones.
func TestLongestAnswersAreRead(t *testing.T) {
	g := gomega.NewWithT(t)
	body := strings.Repeat("x", maxAnswerBytes)
	header := "X-Long: " + strings.Repeat("y", 32<<10) + "\r\n"
	for _, text := range []string{
		"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\n" + header + "Content-Length: 4194304\r\n\r\n" + body,
		"HTTP/1.1 200 OK\r\n" + header + "Transfer-Encoding: chunked\r\n\r\n400000\r\n" + body + "\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + header + "Connection: close\r\n\r\n" + body,
	} {
		ans, _, err := readBounded(newTestConn(strings.NewReader(text)), "GET", new(longBodies))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(len(ans.Body)).To(gomega.Equal(maxAnswerBytes))
	}
}

// FuzzAnswer reads arbitrary bytes as an answer: no panic, no body beyond its bound, and nothing reserved
// afterwards.
func FuzzAnswer(f *testing.F) {
	for _, c := range endlessAnswers {
		f.Add([]byte(c.begin + strings.Repeat(c.repeat, 20)))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\nabc"))
	f.Fuzz(func(t *testing.T, data []byte) {
		long := new(longBodies)
		ans, resp, err := readBounded(newTestConn(bytes.NewReader(data)), "GET", long)
		if err == nil && (len(ans.Body) > maxAnswerBytes || resp == nil) {
			t.Fatalf("body of %d bytes", len(ans.Body))
		}
		if held := long.held.Load(); held != 0 {
			t.Fatalf("%d bytes are reserved", held)
		}
	})
}

// Guards against bodies that get no memory although there is enough, since others count for a moment that get none.
func TestReservationsThatFailCountNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	long := new(longBodies)
	g.Expect(long.reserve(maxLongBodies / 2)).To(gomega.BeTrue())
	done := make(chan struct{})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					long.reserve(maxLongBodies)
				}
			}
		})
	}
	failed := 0
	for range 100_000 {
		if long.reserve(1) {
			long.release(1)
		} else {
			failed++
		}
	}
	close(done)
	wg.Wait()
	g.Expect(failed).To(gomega.BeZero())
}

// Guards against long answers that take as much memory on a small machine as on a large one, and against a bound
// that refuses the longest sound answer.
func TestLongBodiesAreBoundedByTheMachine(t *testing.T) {
	g := gomega.NewWithT(t)
	for bytes, want := range map[int64]int{0: 2 * maxAnswerBytes, 17 << 20: 17 << 20, 1 << 30: maxLongBodies} {
		p := NewPool()
		p.LimitLongBodies(bytes)
		g.Expect(p.longBodies.reserve(want)).To(gomega.BeTrue())
		g.Expect(p.longBodies.reserve(1)).To(gomega.BeFalse())
	}
}
