package node_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/internal/knownred"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/edgesim"
	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/node"
	"github.com/bramleybarrow/bramleybarrow/settings"
)

// Guards against a reset in place of an answer: a request has begun to arrive on a kept connection when a
// stopping VM closes the connections that carry none.
func TestArrivingRequestIsAnsweredByAStoppingVM(t *testing.T) {
	knownred.Skip(t)
	g := gomega.NewWithT(t)
	address, err := edgesim.FreeAddress()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	cfg, err := settings.Parse(fmt.Appendf(nil, `{
		"name": "vm-1", "deployment": "vatnsleit", "zone": "reykjanes",
		"listen": {"callers": %q, "ops": "127.0.0.1:0", "peers": "127.0.0.1:0"},
		"platform": {"address": "127.0.0.1:1"},
		"operator_keys": [{"id": "ana-1", "person": "ana", "public": "MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDE="}],
		"fleet_keys": ["MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDE="],
		"log": {"level": "error", "json": false},
		"lame_duck_ms": 300
	}`, address))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	n, err := node.New(cfg, logging.Discard())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	var c net.Conn
	g.Eventually(func() (err error) { c, err = net.Dial("tcp", address); return err }, "5s", "5ms").Should(gomega.Succeed())
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	receive := func() {
		g.Expect(c.SetReadDeadline(time.Now().Add(10 * time.Second))).To(gomega.Succeed())
		r, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable), "there is no bundle")
		_, err = reader.Discard(int(r.ContentLength))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	const head, rest = "POST /v1/submit/x HTTP/1.1\r\nHost: h\r\n", "Content-Length: 2\r\n\r\n{}"
	_, err = c.Write([]byte(head + rest))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	receive()
	_, err = c.Write([]byte(head))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(20 * time.Millisecond)
	stop()
	time.Sleep(500 * time.Millisecond)
	_, err = c.Write([]byte(rest))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	receive()
	g.Eventually(ended, "20s").Should(gomega.Receive(gomega.BeNil()))
}
