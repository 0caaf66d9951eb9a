package edge

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// newConnOfCaller returns a connection of a caller, as the server sees it, and the caller's end.
func newConnOfCaller(t *testing.T, g *gomega.WithT) (*callerConn, net.Conn) {
	ln, err := listen("127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = ln.Close() }()
	caller, err := net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = caller.Close() })
	c, err := (&callerListener{Listener: ln}).Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	return c.(*callerConn), caller
}

// Guards against a request that a leaf runs and whose answer can't be sent: its connection was idle, and
// is closed by a stopping VM while the request is read.
func TestConnectionIsClosedOrCarriesARequest(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	for _, c := range []struct {
		name     string
		prepare  func(c *callerConn, caller net.Conn)
		closable bool
	}{
		{"idle", func(*callerConn, net.Conn) {}, true},
		{"bytes in the kernel", func(c *callerConn, caller net.Conn) {
			_, err := caller.Write([]byte("GET / HTTP/1.1\r\n"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Eventually(c.hasInput).Should(gomega.BeTrue())
		}, false},
		{"bytes read", func(c *callerConn, caller net.Conn) {
			_, err := caller.Write([]byte("GET / HTTP/1.1\r\n"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = c.Read(make([]byte, 64))
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}, false},
		{"served", func(c *callerConn, _ net.Conn) {
			g.Expect(beginRequest(withCallerConn(t.Context(), c), "q", now, false)).To(gomega.BeTrue())
		}, false},
	} {
		conn, caller := newConnOfCaller(t, g)
		conns := newCallerConns()
		conns.track(conn, http.StateNew)
		conns.track(conn, http.StateIdle)
		c.prepare(conn, caller)
		closed := conns.closeIdle(now)
		g.Expect(closed == 1).To(gomega.Equal(c.closable), c.name)
		g.Expect(beginRequest(withCallerConn(t.Context(), conn), "q", now, false)).To(gomega.Equal(!c.closable), c.name)
	}
}

// Guards against a request that runs on a connection which its VM has closed, and against one that is lost
// without a trace.
func TestRequestOnAClosedConnectionDoesNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	_, engines := newVMsInProcess(1, manifestOf(1, "s3cret"))
	e := engines[0]
	e.headerCodec = plainCodec{}
	conn, _ := newConnOfCaller(t, g)
	e.callerConns.track(conn, http.StateNew)
	e.callerConns.track(conn, http.StateIdle)
	g.Expect(e.callerConns.closeIdle(time.Now())).To(gomega.Equal(1))
	r := requestWith("/x", "Bearer s3cret").WithContext(withCallerConn(t.Context(), conn))
	g.Expect(func() { e.ServeHTTP(httptest.NewRecorder(), r) }).To(gomega.PanicWith(http.ErrAbortHandler))
	g.Expect(e.stats.set.GetOrCreateCounter(`bramley_edge_requests_crossed_close_total`).Get()).To(gomega.BeEquivalentTo(1))
}

// Guards against a connection that a stopping VM leaves open for good: it became idle after the others
// had been closed.
func TestConnectionThatBecomesIdleLateIsClosed(t *testing.T) {
	g := gomega.NewWithT(t)
	conn, _ := newConnOfCaller(t, g)
	conns := newCallerConns()
	conns.track(conn, http.StateNew)
	g.Expect(beginRequest(withCallerConn(t.Context(), conn), "q", time.Now(), false)).To(gomega.BeTrue())
	conns.track(conn, http.StateActive)
	conns.closeIdle(time.Now())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	g.Expect(conns.awaitNone(ctx)).To(gomega.BeFalse())
	conns.track(conn, http.StateIdle)
	_, err := conn.Read(make([]byte, 1))
	g.Expect(err).To(gomega.MatchError(net.ErrClosed))
	conns.track(conn, http.StateClosed)
	g.Expect(conns.awaitNone(t.Context())).To(gomega.BeTrue())
}

// Guards against work for other VMs that the end of a process cuts off without a line in the log: SIGKILL
// comes before the wait for it ends.
func TestOpenWorkForOtherVMsIsReportedBeforeTheEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	var lines bytes.Buffer
	_, engines := newVMsInProcess(1, manifestOf(1))
	n := &Node{engine: engines[0], log: slog.New(slog.NewTextHandler(&lines, nil))}
	n.reportOpen()
	g.Expect(lines.String()).To(gomega.BeEmpty())
	g.Expect(n.engine.peerWork.begin(0)).To(gomega.Succeed())
	n.reportOpen()
	g.Expect(lines.String()).To(gomega.ContainSubstring("of_other_vms=1"))
}
