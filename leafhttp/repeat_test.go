package leafhttp_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/edgesim"
	"github.com/bramleybarrow/bramleybarrow/leafhttp"
)

// Guards against a request that runs twice: the late second copy of a rejection is taken for the answer to
// the next send of the same request.
func TestCopyOfRejectionIsNotReadByTheNextSend(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLeaf(t)
	pool := leafhttp.NewPool()
	l.SetFaults(edgesim.LeafFaults{RefuseTwice: true})
	ans, err := call(pool, l, "again")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ans.Status).To(gomega.Equal(http.StatusServiceUnavailable))
	l.SetFaults(edgesim.LeafFaults{})
	ans, err = call(pool, l, "again")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ans.Status).To(gomega.Equal(http.StatusOK))
	_, runs := l.Counts("again")
	g.Expect(runs).To(gomega.Equal(1))
	replaced, _ := pool.AnswerStats()
	g.Expect(replaced).To(gomega.BeEquivalentTo(1))
}

// Guards against a request whose outcome becomes unknown since a late answer to another one comes first.
func TestOwnAnswerIsReadAfterACopyOfAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLeaf(t)
	pool := leafhttp.NewPool()
	l.SetFaults(edgesim.LeafFaults{RefuseTwice: true})
	_, err := call(pool, l, "rejected")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	l.SetFaults(edgesim.LeafFaults{})
	ans, err := call(pool, l, "other")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ans.Body).To(gomega.Equal(l.Answer("other")))
	_, conns := l.Totals()
	g.Expect(conns).To(gomega.Equal(1), "other requests use the connection")
	_, dropped := pool.AnswerStats()
	g.Expect(dropped).To(gomega.BeEquivalentTo(1))
	g.Expect(pool.Idle()).To(gomega.BeZero(), "after an extra answer the connection is not used again")
}

// Guards against a new connection for each repeat while others are idle, and against more connections to a
// leaf than it accepts.
func TestRepeatTakesAnotherConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLeaf(t)
	pool := leafhttp.NewPool()
	endpoint := leafhttp.Endpoint{Key: l.ID, Address: l.Address()}
	l.SetFaults(edgesim.LeafFaults{Refuse: true})
	for range 2 {
		_, err := call(pool, l, "again")
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	_, conns := l.Totals()
	g.Expect(conns).To(gomega.Equal(2))
	g.Expect(pool.Idle()).To(gomega.Equal(1), "the second took the place of the first")
	for _, id := range []string{"other", "again", "third"} {
		_, err := call(pool, l, id)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(pool.Warm(context.Background(), endpoint)).To(gomega.Succeed())
	}
	_, conns = l.Totals()
	g.Expect(conns).To(gomega.Equal(3), "others and liveness checks use the connection")
}

// Guards against a connection that remembers requests without end.
func TestConnectionWithManyRejectionsIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLeaf(t)
	pool := leafhttp.NewPool()
	l.SetFaults(edgesim.LeafFaults{Refuse: true})
	const requests = 200
	for i := range requests {
		_, err := call(pool, l, fmt.Sprint(i))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	_, conns := l.Totals()
	g.Expect(conns).To(gomega.And(gomega.BeNumerically(">", 1), gomega.BeNumerically("<=", requests/50)))
}

// Guards against an answer that states no request being taken for the own one: the leaf states ids, so it is
// an extra answer, or of a faulty leaf.
func TestAnswerWithoutAnIDProvesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		for _, head := range []string{"200 OK\r\nBramleybarrow-Attempt-Id: first", "503 No\r\nX: y"} {
			// Each request fits one read.
			if _, err := conn.Read(make([]byte, 4<<10)); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 "+head+"\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	pool := leafhttp.NewPool()
	endpoint := leafhttp.Endpoint{Key: "l", Address: ln.Addr().String()}
	req := &leafhttp.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err = pool.Do(ctx, endpoint, req, "first", nil, readAnswer)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = pool.Do(ctx, endpoint, req, "second", nil, readAnswer)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(strings.Contains(err.Error(), "another request")).To(gomega.BeTrue(), "%v", err)
}
