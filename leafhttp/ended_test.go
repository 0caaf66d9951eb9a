package leafhttp_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/edgesim"
	"github.com/bramleybarrow/bramleybarrow/leafhttp"
)

// check checks a leaf after a request whose connection was lost, and returns what it found.
func check(g *gomega.WithT, pool *leafhttp.Pool, l *edgesim.Leaf) leafhttp.Liveness {
	_, err := call(pool, l, "lost")
	g.Expect(leafhttp.ConnectionLost(err)).To(gomega.BeTrue(), "%v", err)
	return pool.Check(context.Background(), leafhttp.Endpoint{Key: l.ID, Address: l.Address()})
}

// Guards against a leaf that ended while it ran a request being taken for one that cut a connection.
func TestEndedLeafIsToldFromCutConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLeaf(t)
	pool := leafhttp.NewPool()
	l.SetFaults(edgesim.LeafFaults{LoseAnswers: true})
	g.Expect(check(g, pool, l)).To(gomega.Equal(leafhttp.Alive))
	l.SetFaults(edgesim.LeafFaults{TruncateBody: true})
	g.Expect(check(g, pool, l)).To(gomega.Equal(leafhttp.Alive))
	l.SetFaults(edgesim.LeafFaults{EndOn: func(string) bool { return true }})
	g.Expect(check(g, pool, l)).To(gomega.Equal(leafhttp.Ended))
}

// Guards against a connection for each check of a leaf that lives: the next request takes it.
func TestConnectionOfACheckIsReused(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLeaf(t)
	pool := leafhttp.NewPool()
	l.SetFaults(edgesim.LeafFaults{LoseAnswers: true})
	g.Expect(check(g, pool, l)).To(gomega.Equal(leafhttp.Alive))
	l.SetFaults(edgesim.LeafFaults{})
	before, _, _ := pool.Stats()
	_, err := call(pool, l, "next")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	after, _, _ := pool.Stats()
	g.Expect(after).To(gomega.Equal(before))
}

// Guards against a silent leaf, or one that was never reached, being taken for one that ended.
func TestSilenceIsNoLostConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLeaf(t)
	pool := leafhttp.NewPool()
	l.SetFaults(edgesim.LeafFaults{Silent: true})
	_, err := callWithTimeout(pool, l, "silent", 50*time.Millisecond)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(leafhttp.ConnectionLost(err)).To(gomega.BeFalse())
	l.Stop()
	_, err = call(pool, l, "refused")
	g.Expect(errors.As(err, new(*leafhttp.UnreachableError))).To(gomega.BeTrue())
	g.Expect(leafhttp.ConnectionLost(err)).To(gomega.BeFalse())
}

// Guards against giving up on a leaf that ends slowly: its listener accepts connections for a while after the
// request's connection was closed, and closes each at once.
func TestLeafThatEndsSlowlyHasEnded(t *testing.T) {
	g := gomega.NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() {
		for range 4 {
			if conn, err := ln.Accept(); err == nil {
				_ = conn.Close()
			}
		}
		_ = ln.Close()
	}()
	endpoint := leafhttp.Endpoint{Key: "leaf-1", Address: ln.Addr().String()}
	g.Expect(leafhttp.NewPool().Check(context.Background(), endpoint)).To(gomega.Equal(leafhttp.Ended))
}

// Guards against a leaf that ends while its check believes it alive, and stays so for good.
func TestLeafThatEndsAfterItsCheckIsFoundLater(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLeaf(t)
	pool := leafhttp.NewPool()
	endpoint := leafhttp.Endpoint{Key: l.ID, Address: l.Address()}
	g.Expect(pool.Check(context.Background(), endpoint)).To(gomega.Equal(leafhttp.Alive))
	before, _, _ := pool.Stats()
	g.Expect(pool.Recheck(context.Background(), endpoint)).To(gomega.Equal(leafhttp.Alive))
	after, _, _ := pool.Stats()
	g.Expect(after).To(gomega.Equal(before))
	l.Stop()
	g.Expect(pool.Recheck(context.Background(), endpoint)).To(gomega.Equal(leafhttp.Ended))
}
