// Package wire implements the protocol between the VMs of one deployment: JSON-RPC
// 2.0 over TCP, with length-prefixed messages. VMs are addressed by IP address.
// From VersionCBOR on, a message may have a binary body in place of parameters.
//
// A connection begins with two calls by the end that dialled. MethodHello carries
// the versions, the deployment, the VM's incarnation and the ids of the keys that
// it holds; the answer carries a nonce. MethodProve carries the proof that the
// dialer holds the shared key; the answer carries the acceptor's proof. Until both
// calls are done, messages must be small, the time is bounded, and no other method
// is served. Afterwards either end may call the other.
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

// The versions of the protocol. The dialer offers all versions that it speaks, and the
// acceptor chooses the newest that both speak, so that VMs of two releases can work
// together during an upgrade.
const (
	VersionJSON = 1 // all bodies are JSON
	VersionCBOR = 2 // leaf calls and their answers are binary bodies in CBOR

	Version = VersionCBOR // the newest that this code speaks
)

// The methods that this package itself serves.
const (
	MethodHello = "hello"
	MethodProve = "prove"
	MethodPing  = "ping"

	methodRefused = "refused" // has Refused as parameters; the connection is closed next
)

// Refused is the last message that an end sends on a connection from which it read an
// invalid message.
type Refused struct {
	Code result.Code `json:"code"`
}

// Identity identifies one incarnation of one VM.
type Identity struct {
	Deployment  string `json:"deployment"`
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
}

// Handler serves one call or notification of an authenticated peer. params is the
// message's body if it has one. The result is sent as JSON. The peer gets an error's
// result.Code. Handlers of one connection run concurrently, except for the methods of
// Options.InOrder.
type Handler func(ctx context.Context, conn *Conn, method string, params json.RawMessage) (any, error)

// Options configures connections. Zero values are replaced by the defaults.
type Options struct {
	Self Identity
	// Use states what dialled connections are for. This package passes it to the
	// acceptor and gives it no meaning.
	Use string
	// MaxVersion is the newest version that is offered or chosen; default Version.
	MaxVersion int
	// Keys are shared by the fleet, the newest first; each has at least
	// MinKeyBytes. A connection uses the first key of the dialer that both ends
	// hold, so that two keys can be valid at once during a rotation.
	Keys    [][]byte
	Handler Handler // may be nil: no further methods are served
	// InOrder reports whether the messages of a method are handled one after another,
	// in the order in which the peer sent them; nil means none are. Handlers of such
	// methods must not wait for anything, since the connection reads nothing meanwhile.
	InOrder func(method string) bool
	Log     *slog.Logger
	// DialContext opens TCP connections; the default is net.Dialer.DialContext.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)

	HelloTimeout time.Duration // for the whole hello; default 2 s
	MaxHellos    int           // accepted connections that are not yet authenticated; default 32
	MaxConns     int           // accepted connections that are authenticated; default 256
	MaxMessage   int           // bytes of one message, or of one body; default 2 MiB
	MaxCalls     int           // handlers that run for one connection at once; default 16
	// WaitForCallSlot makes a connection stop reading while MaxCalls handlers run,
	// in place of refusing calls with PeerBusy. It is only for handlers that never
	// wait: a handler that waited for the same peer would block both ends.
	WaitForCallSlot bool
	PingInterval    time.Duration // default 2 s
	SilentAfter     time.Duration // without a byte from the peer until the connection is closed; default 3 ping intervals
}

// MinKeyBytes is the least length of a key, in bytes.
const MinKeyBytes = 32

const (
	maxHelloMessage = 4 << 10 // bytes of one message during the hello

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
