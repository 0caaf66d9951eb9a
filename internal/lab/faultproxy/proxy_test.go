package faultproxy

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const limit = 20 * time.Second

// quiet is how long a test listens before it takes a connection for silent.
// The proxy holds the bytes back by state, not by time, so the verdict does
// not depend on it.
const quiet = 50 * time.Millisecond

func start(t *testing.T) *Proxy { return startWith(t, Options{}) }

// startWith forwards to a server that sends back what it gets.
func startWith(t *testing.T, o Options) *Proxy {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(conn, conn)
			}()
		}
	}()
	o.Target = echo.Addr().String()
	p, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Close()
		echo.Close()
	})
	return p
}

func dial(t *testing.T, p *Proxy) net.Conn {
	conn, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// answers sends a byte and says whether it comes back within d.
func answers(conn net.Conn, d time.Duration) error {
	conn.SetDeadline(time.Now().Add(d))
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestSilentConnectionStaysSilentWhileNewOnesWork(t *testing.T) {
	g := gomega.NewWithT(t)
	p := start(t)
	old := dial(t, p)
	g.Expect(answers(old, limit)).To(gomega.Succeed())
	p.Silence()
	g.Expect(answers(old, quiet)).To(gomega.MatchError(gomega.ContainSubstring("timeout")))
	g.Expect(answers(dial(t, p), limit)).To(gomega.Succeed())
	g.Expect(answers(old, quiet)).To(gomega.MatchError(gomega.ContainSubstring("timeout")))
}

func TestFrozenConnectionsGoOnAfterwards(t *testing.T) {
	g := gomega.NewWithT(t)
	p := start(t)
	old := dial(t, p)
	g.Expect(answers(old, limit)).To(gomega.Succeed())
	p.SetFaults(Faults{Frozen: true})
	g.Expect(answers(old, quiet)).NotTo(gomega.Succeed())
	g.Expect(answers(dial(t, p), quiet)).NotTo(gomega.Succeed())
	g.Expect(p.Counters().Open).To(gomega.Equal(1), "a new connection does not reach the server")
	p.SetFaults(Faults{})
	g.Expect(answers(old, limit)).To(gomega.Succeed())
}

func TestLossCutAndRefusal(t *testing.T) {
	g := gomega.NewWithT(t)
	p := start(t)
	for _, f := range []Faults{{LoseUp: true}, {LoseDown: true}} {
		conn := dial(t, p)
		g.Expect(answers(conn, limit)).To(gomega.Succeed())
		p.SetFaults(f)
		g.Expect(answers(conn, quiet)).To(gomega.MatchError(gomega.ContainSubstring("timeout")))
		p.SetFaults(Faults{})
	}
	conn := dial(t, p)
	g.Expect(answers(conn, limit)).To(gomega.Succeed())
	p.Cut()
	g.Expect(answers(conn, limit)).NotTo(gomega.Succeed())
	p.SetFaults(Faults{Refuse: true})
	g.Expect(answers(dial(t, p), limit)).NotTo(gomega.Succeed())
	g.Eventually(func() int { return p.Counters().Open }, limit).Should(gomega.BeNumerically("<=", 2))
}

func TestClientsApart(t *testing.T) {
	g := gomega.NewWithT(t)
	p := startWith(t, Options{Peers: true})
	p.SetFaults(Faults{Apart: []string{"vm-1"}})
	conns := map[string]net.Conn{}
	for _, name := range []string{"vm-0", "vm-1"} {
		hello := `{"from":{"vm":"` + name + `"}}`
		conns[name] = dial(t, p)
		// In two pieces, as the inner protocol sends the length first.
		for _, piece := range []string{hello[:3], hello[3:]} {
			_, err := io.WriteString(conns[name], piece)
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
	}
	g.Expect(answers(conns["vm-0"], limit)).To(gomega.Succeed())
	g.Expect(answers(conns["vm-1"], quiet)).NotTo(gomega.Succeed())
	p.SetFaults(Faults{})
	g.Expect(answers(conns["vm-1"], limit)).To(gomega.Succeed())
}
