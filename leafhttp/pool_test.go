package leafhttp_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/edgesim"
	"github.com/bramleybarrow/bramleybarrow/leafhttp"
)

// call sends one request with an id to a leaf.
func call(pool *leafhttp.Pool, l *edgesim.Leaf, id string) (*leafhttp.Answer, error) {
	return callWithTimeout(pool, l, id, time.Second)
}

func callWithTimeout(pool *leafhttp.Pool, l *edgesim.Leaf, id string, wait time.Duration) (*leafhttp.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	peer := leafhttp.Endpoint{Key: l.ID, Address: l.Address()}
	req := &leafhttp.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}, Body: []byte("report"), HasBody: true}
	extra := http.Header{"Bramleybarrow-Attempt-Id": {id}}
	return pool.Do(ctx, peer, req, extra, func(ans *leafhttp.Answer) bool {
		return ans.Header.Get("Bramleybarrow-Attempt-Id") == id
	})
}

func newLeaf(t *testing.T) *edgesim.Leaf {
	l := (&edgesim.Leaf{ID: "leaf-1"}).Start()
	t.Cleanup(l.Stop)
	return l
}

// A report is filed twice: the leaf ran it and its connection broke, and the client
// library sent it again by itself, on a reused connection as on a new one.
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

// A caller gets half a register that looks whole: the leaf's answer was cut, or ended
// with its connection.
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

// A caller gets the answer to another caller's request: the leaf sent two answers, and
// the second waited on the connection for the next request.
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

// Every request opens a connection, each of which takes a slot of the leaf; or one waits
// on a connection that the leaf has closed meanwhile.
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

// A leaf that is gone looks like one that may have run the request, so a report that
// must run once can go nowhere else.
func TestRefusedConnectionIsUnreachable(t *testing.T) {
	g := gomega.NewWithT(t)
	l := (&edgesim.Leaf{ID: "leaf-1"}).Start()
	l.Stop()
	_, err := call(leafhttp.NewPool(), l, "x")
	g.Expect(errors.As(err, new(*leafhttp.UnreachableError))).To(gomega.BeTrue())
}

// A leaf says nothing. The request ends when its caller gives up, and the connection is
// not used again.
func TestRequestToSilentLeafEndsWithContext(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLeaf(t)
	pool := leafhttp.NewPool()
	l.SetFaults(edgesim.LeafFaults{Silent: true})
	_, err := callWithTimeout(pool, l, "silent", 50*time.Millisecond)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(pool.Idle()).To(gomega.Equal(0))
}

// Guards against hundreds of VMs that each hold a connection to a leaf which accepts fewer.
func TestTransientConnectionExpiresSoon(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLeaf(t)
	pool := leafhttp.NewPool()
	peer := leafhttp.Endpoint{Key: l.ID, Address: l.Address(), Transient: true}
	g.Expect(pool.Warm(context.Background(), peer)).To(gomega.Succeed())
	req := &leafhttp.Request{Method: "GET", Target: "/x", Host: "h", Header: http.Header{}}
	_, err := pool.Do(context.Background(), peer, req, nil, func(*leafhttp.Answer) bool { return true })
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(pool.Idle()).To(gomega.Equal(1), "for the next request of a burst")
	pool.CloseExpired(time.Now().Add(time.Second))
	g.Expect(pool.Idle()).To(gomega.BeZero())
	_, err = call(pool, l, "kept")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	pool.CloseExpired(time.Now().Add(time.Second))
	g.Expect(pool.Idle()).To(gomega.Equal(1))
}
