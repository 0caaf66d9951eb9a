// Package wire implements the protocol between the VMs of one deployment: JSON-RPC
// 2.0 over TCP, with length-prefixed messages. VMs are addressed by IP address.
// From VersionCBOR on, a message may have a binary body in place of parameters.
//
// A connection begins with the hello, two calls by the end that dialled. MethodHello
// carries the dialer's identity, a nonce, and the versions and ids of the keys that
// it offers; the answer carries the acceptor's identity, another nonce, and the version
// and key that it chose. MethodProve carries the proof that the dialer holds this key;
// the answer carries the acceptor's proof. During the hello, messages must be small, the
// time is bounded, and no other method is served. Afterwards either end may call the
// other.
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
	VersionJSON = 1 // the version in which all messages are JSON, without binary bodies
	VersionCBOR = 2 // the version in which leaf calls and their answers are sent as binary bodies in CBOR
	// VersionRequestBody is the version in which a VM that queries shards for another one sends the
	// body of the caller's request to leafs.
	VersionRequestBody = 3

	Version = VersionRequestBody // the newest version that this code speaks
)

// The methods that this package itself serves.
const (
	MethodHello = "hello" // first call of the dialer: offers versions and keys
	MethodProve = "prove" // second call of the dialer: proves that it holds the chosen key
	MethodPing  = "ping"  // keeps an idle connection open; does nothing else

	methodRefused = "refused" // carries a Refused; the sender then closes the connection
)

// Refused is the last message that an end sends on a connection from which it read an
// invalid message.
type Refused struct {
	Code result.Code `json:"code"` // why the message is invalid: MessageTooBig or BadMessage
}

// Identity identifies one incarnation of one VM.
type Identity struct {
	Deployment  string `json:"deployment"`
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"` // names one process of the VM
}

// Handler serves one call or notification of an authenticated peer. params holds the
// message's parameters, or its binary body if it has one. The result of a call is sent as
// JSON. If the call fails, the peer gets the result.Code and the detail of the error.
// Handlers of one connection run concurrently, except for the methods of Options.InOrder.
type Handler func(ctx context.Context, conn *Conn, method string, params json.RawMessage) (any, error)

// Options configures connections. A field that is zero gets the default that its comment
// states.
type Options struct {
	Self Identity // of this VM
	// Use states what dialled connections are for. This package passes it to the
	// acceptor and gives it no meaning.
	Use string
	// MaxVersion is the newest version that is offered or chosen; default Version.
	MaxVersion int
	// Keys are shared by the fleet, the newest first; each has at least
	// MinKeyBytes. A connection uses the first key of the dialer that both ends
	// hold, so that two keys can be valid at once during a rotation.
	Keys    [][]byte
	Handler Handler // may be nil; then only the methods of this package are served
	// InOrder reports whether the messages of a method are handled one after another,
	// in the order in which the peer sent them; nil means that no method is. Handlers
	// of such methods must not wait for anything, since the connection reads nothing
	// while they run.
	InOrder func(method string) bool
	Log     *slog.Logger // if nil, nothing is logged
	// DialContext opens TCP connections; the default is net.Dialer.DialContext.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)

	HelloTimeout time.Duration // time in which a new connection must be opened and authenticated; default 2 s
	MaxHellos    int           // limit of accepted connections that are open but not yet authenticated; default 32
	MaxConns     int           // limit of accepted connections that are open and authenticated; default 256
	MaxMessage   int           // largest message, or largest body of one, in bytes; default 2 MiB
	MaxCalls     int           // limit of handlers that run for one connection at once, except those of InOrder; default 16
	// WaitForCallSlot makes a connection stop reading while MaxCalls handlers run,
	// instead of refusing calls with PeerBusy. It is only for handlers that never
	// wait: a handler that waited for the same peer would block both ends.
	WaitForCallSlot bool
	PingInterval    time.Duration // time between the pings that the dialer sends on an idle connection; default 2 s
	SilentAfter     time.Duration // time without a byte from the peer after which the connection is closed; default 3 ping intervals
}

// MinKeyBytes is the minimum length of a key, in bytes.
const MinKeyBytes = 32

// Limits of connections, and the defaults of Options.
const (
	maxHelloMessage = 4 << 10 // largest message that is read during the hello, in bytes

	defaultHelloTimeout = 2 * time.Second // default of Options.HelloTimeout
	defaultMaxHellos    = 32              // default of Options.MaxHellos, a number of connections
	defaultMaxConns     = 256             // default of Options.MaxConns, a number of connections
	defaultMaxMessage   = 2 << 20         // default of Options.MaxMessage, in bytes
	defaultMaxCalls     = 16              // default of Options.MaxCalls, a number of handlers of one connection
	defaultPingInterval = 2 * time.Second // default of Options.PingInterval
	silentAfterPings    = 3               // default of Options.SilentAfter, in multiples of Options.PingInterval
)

// withDefaults returns o with the defaults in place of zero or negative times and limits,
// and with a logger that discards everything and a net.Dialer if there are none.
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
