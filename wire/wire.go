// Package wire is the inner protocol between the VMs of one deployment:
// JSON-RPC 2.0 over TCP, length-prefixed, by IP number. From VersionCBOR on a
// message may have a body of bytes in place of parameters.
//
// A connection begins with two calls by the end that dialled. MethodHello
// carries the versions, the deployment, the VM's incarnation and the ids of the
// keys it holds; it is answered with a nonce. MethodProve carries the proof of
// a shared key and is answered with the other end's proof. Until both are done
// messages are small, the time is bounded, and no other method is served.
// Afterwards either end may call the other.
package wire

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"time"

	"github.com/bramleybarrow/bramleybarrow/internal/defaults"
	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// The versions of the protocol. The dialling end offers all that it speaks and
// the accepting end chooses the newest in common, so that VMs of two releases
// work together while one replaces the other.
const (
	VersionJSON = 1 // all bodies are JSON
	VersionCBOR = 2 // leaf calls and their answers are CBOR within the message

	Version = VersionCBOR // the newest that this code speaks
)

// The methods that the package itself serves.
const (
	MethodHello = "hello"
	MethodProve = "prove"
	MethodPing  = "ping"

	methodRefused = "refused" // Refused; the connection is closed next
)

// Refused is the last message on a connection that carried one that could not be
// read.
type Refused struct {
	Code result.Code `json:"code"`
}

// Identity names one life of one VM.
type Identity struct {
	Deployment  string `json:"deployment"`
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
}

// Handler serves one call or notification of an authenticated peer. Its params
// are the body if the message has one. Its result is sent as JSON. An error that carries a result.Code reaches the peer with
// that code. Handlers of one connection run at the same time, but for Options.InOrder.
type Handler func(ctx context.Context, conn *Conn, method string, params json.RawMessage) (any, error)

// Options governs connections. Zero values are replaced by the defaults.
type Options struct {
	Self Identity
	// Use says what a dialled connection is for, in the words of its user.
	Use string
	// MaxVersion is the newest version offered and chosen; default Version.
	MaxVersion int
	// Keys are shared by the fleet, the newest first; each has at least
	// MinKeyBytes. Two ends agree on the first key of the dialling end that
	// both hold, so that two keys are valid at once during a rotation.
	Keys    [][]byte
	Handler Handler
	// InOrder names the methods whose messages are handled one after another, in the
	// order in which the peer sent them. Their handlers must not wait for anything:
	// the connection reads nothing meanwhile.
	InOrder func(method string) bool
	Log     *slog.Logger
	// DialContext opens TCP connections; default net.Dialer's.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)

	HelloTimeout time.Duration // for the whole hello; default 2 s
	MaxHellos    int           // connections in hello at once; default 32
	MaxConns     int           // accepted and authenticated at once; default 256
	MaxMessage   int           // bytes of one message; default 2 MiB
	MaxCalls     int           // served for one connection at once; default 16
	// WaitForCallSlot makes a connection read nothing more while MaxCalls are
	// served, in place of refusing with PeerBusy. Only for handlers that never
	// wait: a handler that waited for the same peer would block both.
	WaitForCallSlot bool
	PingInterval    time.Duration // default 2 s
	SilentAfter     time.Duration // without a byte from the peer; default 3 ping intervals
}

// MinKeyBytes is the least length of a key.
const MinKeyBytes = 32

const (
	maxHelloMessage = 4 << 10

	defaultHelloTimeout = 2 * time.Second
	defaultMaxHellos    = 32
	defaultMaxConns     = 256
	defaultMaxMessage   = 2 << 20
	defaultMaxCalls     = 16
	defaultPingInterval = 2 * time.Second
	silentAfterPings    = 3
)

func (o Options) withDefaults() Options {
	defaults.SetIfNotPositive(&o.MaxVersion, Version)
	defaults.SetIfNotPositive(&o.HelloTimeout, defaultHelloTimeout)
	defaults.SetIfNotPositive(&o.MaxHellos, defaultMaxHellos)
	defaults.SetIfNotPositive(&o.MaxConns, defaultMaxConns)
	defaults.SetIfNotPositive(&o.MaxMessage, defaultMaxMessage)
	defaults.SetIfNotPositive(&o.MaxCalls, defaultMaxCalls)
	defaults.SetIfNotPositive(&o.PingInterval, defaultPingInterval)
	defaults.SetIfNotPositive(&o.SilentAfter, silentAfterPings*o.PingInterval)
	if o.Log == nil {
		o.Log = logging.Discard()
	}
	if o.DialContext == nil {
		o.DialContext = new(net.Dialer).DialContext
	}
	return o
}
