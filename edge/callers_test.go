package edge

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/routing"
)

// Guards against a server that closes a caller's connection after its own idle timeout although
// the manifest allows a longer one: a caller that reuses the connection would find it closed.
// The manifest's timeouts apply, also after a change of the manifest. The deadlines with which
// the server ends its own reads are not changed.
func TestManifestTimeoutsOverrideServerTimeouts(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := routing.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 200 * time.Second}
	c := &callerConn{limits: func() routing.Limits { return limits }}
	now := time.Unix(1_000_000, 0)
	serverDeadline := now.Add(idleTimeout)
	g.Expect(c.readDeadline(now, serverDeadline)).To(gomega.Equal(now.Add(3 * time.Second)))
	trackCallerState(c, http.StateIdle)
	g.Expect(c.readDeadline(now, time.Time{})).To(gomega.BeZero())
	g.Expect(c.readDeadline(now, now.Add(-time.Hour))).To(gomega.Equal(now.Add(-time.Hour)))
	g.Expect(c.readDeadline(now, serverDeadline)).To(gomega.Equal(now.Add(200*time.Second + idleTimeoutSlack)))
	g.Expect(c.readDeadline(now, serverDeadline)).To(gomega.Equal(now.Add(3*time.Second)), "the header of the next request")

	limits = routing.Limits{}
	trackCallerState(c, http.StateIdle)
	g.Expect(c.readDeadline(now, serverDeadline)).To(gomega.Equal(serverDeadline))
}

// Guards against a caller that sends half of a header and then holds the connection for as
// long as the server's own timeout allows. The manifest's shorter timeout closes the
// connection.
func TestManifestHeaderTimeoutClosesSlowCaller(t *testing.T) {
	g := gomega.NewWithT(t)
	ln, err := listen("127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server := &http.Server{ReadHeaderTimeout: time.Hour, ConnState: trackCallerState, Handler: http.NotFoundHandler()}
	limits := func() routing.Limits { return routing.Limits{HeaderTimeout: 50 * time.Millisecond} }
	go func() { _ = server.Serve(&callerListener{Listener: ln, limits: limits}) }()
	t.Cleanup(func() { _ = server.Close() })
	caller, err := net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = caller.Close() })
	_, err = caller.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = caller.Read(make([]byte, 1))
	}()
	g.Eventually(ended, "20s").Should(gomega.BeClosed())
}
