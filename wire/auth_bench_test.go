package wire

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"time"
)

// BenchmarkConnectByProof opens, authenticates and closes a connection, and reports the
// bytes that both ends send for that. Both ends run in this process.
func BenchmarkConnectByProof(b *testing.B) {
	counters := &Counters{}
	s, err := Listen("127.0.0.1:0", options("a", oldKey), counters, func(c *Conn) { c.Serve() })
	if err != nil {
		b.Fatal(err)
	}
	defer s.Stop()
	for b.Loop() {
		c, err := Dial(context.Background(), s.Addr().String(), options("b", oldKey), &Counters{})
		if err != nil {
			b.Fatal(err)
		}
		c.Close()
		c.Wait()
	}
	b.ReportMetric(float64(counters.BytesIn.Load()+counters.BytesOut.Load())/float64(b.N), "wire-B/op")
}

// BenchmarkConnectByTLS does the same as BenchmarkConnectByProof with TLS 1.3 and
// certificates at both ends. One byte is sent and returned after the handshake.
func BenchmarkConnectByTLS(b *testing.B) {
	config := testCertificates(b)
	ln, err := tls.Listen("tcp", "127.0.0.1:0", config)
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	counters := &Counters{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				var one [1]byte
				if _, err := c.Read(one[:]); err == nil {
					_, _ = c.Write(one[:])
				}
			}()
		}
	}()
	for b.Loop() {
		raw, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		c := tls.Client(&timedConn{Conn: raw, silenceTimeout: time.Minute, counters: counters}, config)
		one := []byte{1}
		if _, err := c.Write(one); err != nil {
			b.Fatal(err)
		}
		if _, err := c.Read(one); err != nil {
			b.Fatal(err)
		}
		c.Close()
	}
	b.ReportMetric(float64(counters.BytesIn.Load()+counters.BytesOut.Load())/float64(b.N), "wire-B/op")
}

// testCertificates returns a TLS configuration for both ends, with one self-signed certificate
// that each end requires of the other.
func testCertificates(b *testing.B) *tls.Config {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		b.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotAfter:              time.Now().Add(time.Hour),
		DNSNames:              []string{"fleet"},
		IsCA:                  true,
		BasicConstraintsValid: true,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		b.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		b.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: private}},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   "fleet",
		MinVersion:   tls.VersionTLS13,
	}
}
