package leafhttp_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/edgesim"
	"github.com/bramleybarrow/bramleybarrow/leafhttp"
)

// call sends a request with an attempt id to a leaf and waits up to 1 s for the answer. An
// answer with another id is an error.
func call(pool *leafhttp.Pool, l *edgesim.Leaf, id string) (*leafhttp.Answer, error) {
	return callWithTimeout(pool, l, id, time.Second)
}

// callWithTimeout sends a request with an attempt id to a leaf and waits up to timeout for
// the answer. An answer with another id is an error.
func callWithTimeout(pool *leafhttp.Pool, l *edgesim.Leaf, id string, timeout time.Duration) (*leafhttp.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	endpoint := leafhttp.Endpoint{Key: l.ID, Address: l.Address()}
	req := &leafhttp.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}, Body: []byte("report"), HasBody: true}
	extra := http.Header{"Bramleybarrow-Attempt-Id": {id}}
	return pool.Do(ctx, endpoint, req, id, extra, readAnswer)
}

// readAnswer reads the id that an answer states. A request may be sent again after a rejection.
func readAnswer(ans *leafhttp.Answer) leafhttp.Reading {
	return leafhttp.Reading{ID: ans.Header.Get("Bramleybarrow-Attempt-Id"), Last: ans.Status < http.StatusInternalServerError}
}

// newLeaf returns a running leaf that stops at the end of the test.
func newLeaf(t *testing.T) *edgesim.Leaf {
	l := (&edgesim.Leaf{ID: "leaf-1"}).Start()
	t.Cleanup(l.Stop)
	return l
}

// Guards against a request that runs twice: the leaf runs it, the connection breaks
// before the answer, and the client sends it again by itself. Checked on a reused and
// on a new connection.
func TestRequestIsSentOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLeaf(t)
	pool := leafhttp.NewPool()
	_, err := call(pool, l, "warm")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	l.SetFaults(edgesim.LeafFaults{LoseAnswers: true})
	for _, id := range []string{"reused", "fresh"} {
		_, err = call(pool, l, id)
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(errors.As(err, new(*leafhttp.UnreachableError))).To(gomega.BeFalse())
		arrivals, _ := l.Counts(id)
		g.Expect(arrivals).To(gomega.Equal(1))
	}
}

// Guards against a truncated answer that is returned as complete. An answer without a
// Content-Length ends with its connection and is valid.
func TestTruncatedAnswerIsError(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLeaf(t)
	pool := leafhttp.NewPool()
	l.SetFaults(edgesim.LeafFaults{TruncateBody: true})
	_, err := call(pool, l, "cut")
	g.Expect(err).To(gomega.HaveOccurred())
	l.SetFaults(edgesim.LeafFaults{NoContentLength: true})
	ans, err := call(pool, l, "open-ended")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ans.Body).To(gomega.Equal(l.Answer("open-ended")))
}

// Guards against a caller that gets the answer to another caller's request: the leaf
// sends two answers to one request, and the next request on the connection reads the
// second.
func TestExtraAnswerIsNotReadByNextRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLeaf(t)
	pool := leafhttp.NewPool()
	l.SetFaults(edgesim.LeafFaults{ExtraAnswer: true})
	_, err := call(pool, l, "first")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	l.SetFaults(edgesim.LeafFaults{})
	for _, id := range []string{"second", "third"} {
		ans, err := call(pool, l, id)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(ans.Body).To(gomega.Equal(l.Answer(id)))
	}
}

// Guards against a new connection for every request: opening one takes a slot of the leaf.
// Also guards against the reuse of a connection that the leaf has closed, on which a
// request would be lost.
func TestOpenConnectionsAreReused(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLeaf(t)
	pool := leafhttp.NewPool()
	for range 5 {
		_, err := call(pool, l, "again")
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	_, conns := l.Totals()
	g.Expect(conns).To(gomega.Equal(1))
	l.DropConnections()
	g.Eventually(func() error {
		_, err := call(pool, l, "after")
		return err
	}, "2s", "20ms").Should(gomega.Succeed())
	arrivals, _ := l.Counts("after")
	g.Expect(arrivals).To(gomega.Equal(1))
}

// Guards against a refused connection that is reported as if the leaf may have run the
// request. A non-idempotent request could then not be sent to another leaf.
func TestRefusedConnectionIsUnreachable(t *testing.T) {
	g := gomega.NewWithT(t)
	l := (&edgesim.Leaf{ID: "leaf-1"}).Start()
	l.Stop()
	_, err := call(leafhttp.NewPool(), l, "x")
	g.Expect(errors.As(err, new(*leafhttp.UnreachableError))).To(gomega.BeTrue())
}

// Guards against a request that never ends because its leaf accepts it and never
// answers. The request ends with its context, and the connection is not reused.
func TestRequestToSilentLeafEndsWithContext(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLeaf(t)
	pool := leafhttp.NewPool()
	l.SetFaults(edgesim.LeafFaults{Silent: true})
	_, err := callWithTimeout(pool, l, "silent", 50*time.Millisecond)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(pool.Idle()).To(gomega.Equal(0))
}

// Guards against hundreds of VMs that each keep a connection to a leaf that accepts
// fewer connections. A transient connection must be closed soon after its request, and
// any other connection must be kept.
func TestTransientConnectionExpiresSoon(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLeaf(t)
	pool := leafhttp.NewPool()
	endpoint := leafhttp.Endpoint{Key: l.ID, Address: l.Address(), Transient: true}
	g.Expect(pool.Warm(context.Background(), endpoint)).To(gomega.Succeed())
	req := &leafhttp.Request{Method: "GET", Target: "/x", Host: "h", Header: http.Header{}}
	_, err := pool.Do(context.Background(), endpoint, req, "", nil, func(*leafhttp.Answer) leafhttp.Reading { return leafhttp.Reading{Last: true} })
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(pool.Idle()).To(gomega.Equal(1), "kept for the next request of a burst")
	pool.CloseExpired(time.Now().Add(time.Second))
	g.Expect(pool.Idle()).To(gomega.BeZero())
	_, err = call(pool, l, "kept")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	pool.CloseExpired(time.Now().Add(time.Second))
	g.Expect(pool.Idle()).To(gomega.Equal(1))
}

// Guards against connections that stay open, and whose buffers stay full, while a leaf sends on after its whole
// answer.
func TestLeafThatSendsOnAfterItsAnswerIsStopped(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "later": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer listener.Close()
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				c, err := listener.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				answer, rest := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", strings.Repeat("x", 4<<10)
				if pause == 0 {
					answer += rest
				}
				for _, err = c.Write([]byte(answer)); err == nil; _, err = c.Write([]byte(rest)) {
					time.Sleep(pause)
				}
			}()
			pool := leafhttp.NewPool()
			var surplus []string
			pool.OnSurplus(func(key string) { surplus = append(surplus, key) })
			endpoint := leafhttp.Endpoint{Key: "leaf-1", Address: listener.Addr().String()}
			req := &leafhttp.Request{Method: "GET", Target: "/x", Host: "h", Header: http.Header{}}
			ans, err := pool.Do(context.Background(), endpoint, req, "", nil, func(*leafhttp.Answer) leafhttp.Reading { return leafhttp.Reading{Last: true} })
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(string(ans.Body)).To(gomega.Equal("ok"))
			if pause == 0 {
				g.Expect(pool.Idle()).To(gomega.BeZero())
			}
			time.Sleep(2 * pause)
			pool.CloseExpired(time.Now())
			g.Expect(pool.Idle()).To(gomega.BeZero())
			g.Eventually(stopped, "5s").Should(gomega.BeClosed())
			g.Expect(surplus).To(gomega.Equal([]string{"leaf-1"}))
		})
	}
}

// Guards against requests that are lost on connections to a leaf which sends on, a moment after each whole answer.
func TestNoRequestIsSentOnConnectionsOfALeafThatSendsOn(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
				for ; err == nil; _, err = c.Write([]byte("xxxx\r\n\r\n")) {
					time.Sleep(2 * time.Millisecond)
				}
			}()
		}
	}()
	pool := leafhttp.NewPool()
	endpoint := leafhttp.Endpoint{Key: "leaf-1", Address: listener.Addr().String()}
	req := &leafhttp.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}}
	send := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := pool.Do(ctx, endpoint, req, "", nil, func(*leafhttp.Answer) leafhttp.Reading { return leafhttp.Reading{Last: true} })
		return err
	}
	g.Expect(send()).To(gomega.Succeed())
	time.Sleep(20 * time.Millisecond)
	pool.CloseExpired(time.Now()) // finds the surplus
	for range 30 {
		g.Expect(send()).To(gomega.Succeed())
	}
}
