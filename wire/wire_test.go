package wire

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// testLimit bounds each wait of a test.
const testLimit = 20 * time.Second

// The fleet keys of the tests.
var (
	oldKey = bytes.Repeat([]byte("o"), MinKeyBytes) // the key before a rotation
	newKey = bytes.Repeat([]byte("n"), MinKeyBytes) // the key after a rotation
	badKey = bytes.Repeat([]byte("b"), MinKeyBytes) // a key that no server holds
)

// echo is the handler of the tests. It answers "echo" with its params and "large" with a
// result that is too big to be sent, blocks on "block" until its context ends, and fails
// on "fail" with a time to wait before a retry.
func echo(ctx context.Context, _ *Conn, method string, params json.RawMessage) (any, error) {
	switch method {
	case "echo":
		return params, nil
	case "block":
		<-ctx.Done()
		return nil, nil
	case "large":
		return make([]byte, defaultMaxMessage), nil
	case "fail":
		return nil, result.Errorf(result.PeerBusy, "why").WithRetryAfter(time.Second)
	default:
		return nil, result.Errorf(result.UnknownMethod, "%q", method)
	}
}

// options returns the options of a VM that holds the given keys and serves echo.
func options(vm string, keys ...[]byte) Options {
	return Options{
		Self:    Identity{Deployment: "d", VM: vm, Incarnation: vm + "-1"},
		Keys:    keys,
		Handler: echo,
	}
}

// serve starts a server that is stopped when the test ends. The test fails if goroutines are
// left then.
func serve(t *testing.T, o Options) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", o, &Counters{}, func(c *Conn) { c.Serve() })
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		s.Stop()
		goleak.VerifyNone(t)
	})
	return s
}

// dial opens a connection to a server with the options o. The caller must close it.
func dial(s *Server, o Options) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	return Dial(ctx, s.Addr().String(), o, &Counters{})
}

// call calls a method of the peer, drops the result and returns the error.
func call(c *Conn, method string, params any) error {
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	return c.Call(ctx, method, params, nil)
}

// Guards against hellos that are accepted or refused wrongly, by key, deployment, version
// or identity. During a key rotation two keys are valid at once, and either end may get
// the new one first.
func TestHelloAcceptance(t *testing.T) {
	foreign := options("b", oldKey)
	foreign.Self.Deployment = "other"
	nameless := options("", oldKey)
	older, newer := options("b", oldKey), options("b", oldKey)
	older.MaxVersion, newer.MaxVersion = VersionJSON, Version+1
	for name, tc := range map[string]struct {
		server, client Options
		want           result.Code
	}{
		"same key":                {options("a", oldKey), options("b", oldKey), result.Complete},
		"server has the new one":  {options("a", newKey, oldKey), options("b", oldKey), result.Complete},
		"client has the new one":  {options("a", oldKey), options("b", newKey, oldKey), result.Complete},
		"no key in common":        {options("a", oldKey), options("b", badKey), result.WrongKey},
		"retired key":             {options("a", newKey), options("b", oldKey), result.WrongKey},
		"other deployment":        {options("a", oldKey), foreign, result.WrongFleet},
		"of an older release":     {options("a", oldKey), older, result.Complete},
		"of a newer release":      {options("a", oldKey), newer, result.Complete},
		"to an older release":     {older, options("a", oldKey), result.Complete},
		"hello without a VM name": {options("a", oldKey), nameless, result.BadHello},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, tc.server)
			c, err := dial(s, tc.client)
			g.Expect(result.CodeOf(err)).To(Equal(tc.want))
			if err == nil {
				g.Expect(c.Peer()).To(Equal(tc.server.Self))
				g.Expect(call(c, "echo", 1)).To(Succeed())
				c.Close()
				c.Wait()
			}
		})
	}
}

// Guards against access by a process that knows a key's id, but not the key. Its hello
// succeeds, since it contains only ids, but its proof must be refused and the connection
// closed.
func TestKeyIDWithoutKeyIsRefused(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, options("a", oldKey))
	raw, err := net.Dial("tcp", s.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	o := options("b", badKey).withDefaults()
	c := newConn(raw, &o, &Counters{}, true)
	defer c.Wait()
	defer c.Close()
	hello := Hello{Versions: []int{Version}, From: o.Self, Nonce: newNonce(), KeyIDs: []string{keyID(oldKey)}}
	var answer HelloAnswer
	g.Expect(c.Call(context.Background(), MethodHello, hello, &answer)).To(Succeed())
	proof := Proof{Proof: computeProof(badKey, roleDialer, &hello, &answer)}
	g.Expect(result.CodeOf(call(c, MethodProve, proof))).To(Equal(result.WrongKey))
	g.Eventually(c.Done()).WithTimeout(testLimit).Should(BeClosed())
}

// frame returns a message as it is sent: its length, then its bytes.
func frame(body string) []byte {
	return append(binary.AppendUvarint(nil, uint64(len(body))), body...)
}

// Guards against a process that does not speak the protocol or states wrong sizes. Its
// connection must be closed, after an error code where one is expected, and VMs must still
// be accepted and served.
func TestInvalidBytesCloseConnection(t *testing.T) {
	for name, tc := range map[string]struct {
		sent []byte
		code result.Code // sent before the connection is closed; 0 for none
	}{
		"http":                {[]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), 0},
		"huge length":         {binary.AppendUvarint(nil, 1<<40), result.MessageTooBig},
		"over the bound":      {frame(string(bytes.Repeat([]byte(" "), maxHelloMessage+1))), result.MessageTooBig},
		"not JSON":            {frame("{{{{"), result.BadMessage},
		"no hello":            {frame(`{"jsonrpc":"2.0","id":1,"method":"echo"}`), result.BadHello},
		"ping":                {frame(`{"jsonrpc":"2.0","id":1,"method":"ping"}`), result.BadHello},
		"body and no message": {append([]byte{4, bodyMarker, 1, 2, 3}, frame("{{{{")...), result.BadMessage},
		"body after body":     {append([]byte{2, bodyMarker, 1}, 2, bodyMarker, 1), result.BadMessage},
		"null hello":          {frame(`{"jsonrpc":"2.0","id":1,"method":"hello","params":null}`), result.BadHello},
		"proof first":         {frame(`{"jsonrpc":"2.0","id":1,"method":"prove","params":{"proof":""}}`), result.BadHello},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, options("a", oldKey))
			raw, err := net.Dial("tcp", s.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer raw.Close()
			_, err = raw.Write(tc.sent)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(raw.SetReadDeadline(time.Now().Add(testLimit))).To(Succeed())
			received, err := io.ReadAll(bufio.NewReader(raw))
			g.Expect(isTimeout(err)).To(BeFalse(), "the connection was not closed")
			if tc.code != 0 {
				g.Expect(string(received)).To(ContainSubstring(fmt.Sprintf(`"code":%d`, tc.code)))
			}
			c, err := dial(s, options("b", oldKey))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(call(c, "echo", 1)).To(Succeed())
			c.Close()
			c.Wait()
		})
	}
}

// isTimeout reports whether err is a network error caused by a deadline.
func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// Guards against a process that opens many connections and sends nothing. If these used up
// the limit on unauthenticated connections, VMs could not join. The oldest must be closed.
func TestSilentConnectionsDoNotBlockHellos(t *testing.T) {
	g := NewWithT(t)
	o := options("a", oldKey)
	o.MaxHellos = 4
	o.HelloTimeout = testLimit
	s := serve(t, o)
	for range 20 {
		raw, err := net.Dial("tcp", s.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer raw.Close()
	}
	c, err := dial(s, options("b", oldKey))
	g.Expect(err).NotTo(HaveOccurred())
	c.Close()
	c.Wait()
}

// Guards against calls that wait forever because the network path to a peer lost its state
// and drops all packets: no FIN and no RST arrives, and writes still succeed. The read
// deadline must close the connection at both ends, and a new connection must work.
func TestSilentConnectionIsClosed(t *testing.T) {
	g := NewWithT(t)
	o := options("a", oldKey)
	o.PingInterval = 50 * time.Millisecond
	s := serve(t, o)
	proxy := newBlackhole(t, s.Addr().String())
	client := options("b", oldKey)
	client.PingInterval = o.PingInterval
	c, err := Dial(context.Background(), proxy.addr(), client, &Counters{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(call(c, "echo", 1)).To(Succeed())
	proxy.dropAll()
	g.Eventually(c.Done()).WithTimeout(testLimit).Should(BeClosed())
	g.Eventually(func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns)
	}).WithTimeout(testLimit).Should(BeZero())
	c.Close()
	c.Wait()
	again, err := dial(s, client)
	g.Expect(err).NotTo(HaveOccurred())
	again.Close()
	again.Wait()
}

// Guards against wrong result codes, or a closed connection, after an unknown method, a
// message that is too big, an error of a handler, or too many calls at once.
func TestCallErrorsAndLimits(t *testing.T) {
	g := NewWithT(t)
	running := make(chan struct{})
	o := options("a", oldKey)
	o.MaxCalls = 1
	o.Handler = func(ctx context.Context, c *Conn, method string, params json.RawMessage) (any, error) {
		if method == "block" {
			close(running)
		}
		return echo(ctx, c, method, params)
	}
	s := serve(t, o)
	c, err := dial(s, options("b", oldKey))
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Wait()
	defer c.Close()
	g.Expect(result.CodeOf(call(c, "nonsense", nil))).To(Equal(result.UnknownMethod))
	g.Expect(result.CodeOf(call(c, "echo", make([]byte, defaultMaxMessage)))).To(Equal(result.MessageTooBig))
	g.Expect(result.CodeOf(call(c, "large", nil))).To(Equal(result.MessageTooBig))
	err = call(c, "fail", nil)
	g.Expect(err).To(HaveField("RetryAfter", time.Second))
	ctx, cancel := context.WithCancel(context.Background())
	blocked := make(chan error, 1)
	go func() { blocked <- c.Call(ctx, "block", nil, nil) }()
	g.Eventually(running).WithTimeout(testLimit).Should(BeClosed())
	g.Expect(result.CodeOf(call(c, "echo", 1))).To(Equal(result.PeerBusy))
	g.Expect(call(c, MethodPing, nil)).To(Succeed())
	cancel()
	g.Expect(result.CodeOf(<-blocked)).To(Equal(result.PeerSilent))
}

// Guards against a message that ends the process which serves it, and then that of the next VM to which it
// is sent.
func TestPanicOfAHandlerIsAnError(t *testing.T) {
	g := NewWithT(t)
	o := options("a", oldKey)
	o.InOrder = func(method string) bool { return method == "deadly in order" }
	o.Handler = func(ctx context.Context, c *Conn, method string, params json.RawMessage) (any, error) {
		if strings.HasPrefix(method, "deadly") {
			panic("fault on this message")
		}
		return echo(ctx, c, method, params)
	}
	s := serve(t, o)
	c, err := dial(s, options("b", oldKey))
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Wait()
	defer c.Close()
	for _, method := range []string{"deadly", "deadly in order"} {
		g.Expect(result.CodeOf(call(c, method, nil))).To(Equal(result.Internal))
	}
	g.Expect(call(c, "echo", 1)).To(Succeed())
}

// Guards against reordering: handlers of one connection run concurrently, so the second of
// two messages could be handled before the first. Methods of InOrder must keep the order.
func TestInOrderMessagesKeepOrder(t *testing.T) {
	const messages = 2000
	g := NewWithT(t)
	var handled []int
	done := make(chan struct{})
	o := options("a", oldKey)
	o.MaxCalls = messages
	o.InOrder = func(method string) bool { return method == "number" }
	o.Handler = func(_ context.Context, _ *Conn, _ string, params json.RawMessage) (any, error) {
		var n int
		if err := json.Unmarshal(params, &n); err != nil {
			return nil, err
		}
		if handled = append(handled, n); len(handled) == messages {
			close(done)
		}
		return nil, nil
	}
	s := serve(t, o)
	c, err := dial(s, options("b", oldKey))
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Wait()
	defer c.Close()
	var sent []int
	for n := range messages {
		g.Expect(c.Notify("number", n)).To(Succeed())
		sent = append(sent, n)
	}
	g.Eventually(done).WithTimeout(testLimit).Should(BeClosed())
	g.Expect(handled).To(Equal(sent))
}

// blackhole is a proxy that forwards one connection until dropAll is called. From then on
// it drops all bytes and keeps the connection open.
type blackhole struct {
	ln       net.Listener
	dropping chan struct{} // closed by dropAll
}

// newBlackhole starts a proxy of one connection to an address.
func newBlackhole(t *testing.T, to string) *blackhole {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	h := &blackhole{ln: ln, dropping: make(chan struct{})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		in, err := ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		finished := make(chan struct{}, 2)
		for _, pair := range [][2]net.Conn{{in, out}, {out, in}} {
			go func() {
				h.copy(pair[0], pair[1])
				finished <- struct{}{}
			}()
		}
		<-finished
		<-finished
		in.Close()
		out.Close()
	}()
	t.Cleanup(func() { ln.Close(); <-done })
	return h
}

func (h *blackhole) addr() string { return h.ln.Addr().String() }
func (h *blackhole) dropAll()     { close(h.dropping) }

// copy forwards bytes in one direction, or drops them after dropAll, until from ends.
func (h *blackhole) copy(to, from net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		select {
		case <-h.dropping:
		default:
			_, _ = to.Write(buf[:n])
		}
	}
}
