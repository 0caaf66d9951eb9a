package target

import (
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/bramleybarrow/bramleybarrow/internal/defaults"
	"github.com/bramleybarrow/bramleybarrow/logging"
)

// Endpoint is a target with the settings that one VM uses for it.
type Endpoint struct {
	Name           string
	Zone           string        // availability zone of the target
	Address        string        // IP and port
	Connections    int           // this VM's share: a hard limit of its open connections to the target; 0 means that all calls fail
	ConnectCost    time.Duration // time that the target spends on a new connection
	HealthInterval time.Duration // time between status reads
	HealthTimeout  time.Duration // time after which a status read fails
}

// Protocol is the version of HTTP that a Client uses.
type Protocol int

// The protocols. docs/design/target-transport.md explains why HTTP2 is the default.
const (
	HTTP2 Protocol = iota // HTTP/2 without TLS, with prior knowledge
	HTTP1                 // HTTP/1.1, without TLS
)

// Options configure a Client. The zero value of a field means its default, which
// its comment gives.
type Options struct {
	Log      *slog.Logger // discards all if nil
	Sink     Sink         // receives the state in each answer's headers; may be nil
	Metrics  *metrics.Set // the default set if nil
	Protocol Protocol     // HTTP2 by default

	MaxAnswerBytes int64 // limit of an answer's body, in bytes; default 4 MiB
	// MaxOpen is the number of connections kept open to one target over HTTP/2
	// (default 3), within the share. The rest of the share is reserved for the
	// replacement of silent connections (see SuspectAfter): a target never sees the
	// close of a silent connection, so it counts the old and the new one.
	MaxOpen int
	// SilentHold is the longest time for which a connection that was found silent counts
	// against this VM's share of the target's connections (default 2 min). It counts for
	// less if the target closes its end before.
	SilentHold time.Duration
	// MayExceedShare reports whether this VM may hold one connection beyond its share of
	// a target's connections while those of the share are silent. It should be so for one
	// of the VMs that have a share: the target may still count the silent connections of
	// all of them. It is called without locks; nil means always.
	MayExceedShare func(target string) bool

	MaxStreams int           // limit of concurrent calls on one HTTP/2 connection; default 100
	MaxWaiters int           // limit of calls that wait for a connection to one target; default 64
	MaxWait    time.Duration // longest wait of a call for a connection; default 250 ms
	MaxDials   int           // limit of connections being opened at once, over all targets; default 8

	DialTimeout time.Duration // limit of the time for opening one connection and warming it up; default 1 s
	PaceFactor  float64       // pause between new connections to a target, as a multiple of Endpoint.ConnectCost; default 2
	MinPace     time.Duration // lower bound of the pause between new connections to a target; default 5 ms
	MaxBackoff  time.Duration // upper bound of the pause after repeated failures to connect to a target; default 1 s

	// A connection is suspect once a call has waited on it for SuspectAfter (default
	// 100 ms) while nothing at all was received. Calls prefer other connections to it, and
	// it is probed with a status read.
	SuspectAfter time.Duration
	// ProbeTimeout (default 500 ms) is the time after which the probe of a connection
	// fails. If nothing at all was received until then, the connection is silent: no call
	// is started on it.
	ProbeTimeout time.Duration
	// SilentWait (default 10 s) is the longest time for which a silent HTTP/2 connection
	// stays open, so that its calls are answered if the target was only paused. It is closed
	// before if the target answers on another connection and not on this one.
	SilentWait time.Duration

	// PingAfter is the time without a received frame after which HTTP/2 pings are
	// sent on idle connections. 0 means no pings: each status read of a Monitor
	// uses the connection that has received nothing for longest, and so tests the
	// connections at no extra cost.
	PingAfter time.Duration
}

// The defaults of the fields of Options with the same names.
const (
	defaultMaxAnswerBytes = 4 << 20                // limit of the size of one answer's body, in bytes
	defaultMaxOpen        = 3                      // connections kept open to one target over HTTP/2
	defaultSilentHold     = 2 * time.Minute        // time for which a connection found silent counts against this VM's share of the target's connections
	defaultMaxStreams     = 100                    // limit of concurrent calls on one HTTP/2 connection
	defaultMaxWaiters     = 64                     // limit of calls that wait for a connection to one target
	defaultMaxWait        = 250 * time.Millisecond // longest wait of a call for a connection
	defaultMaxDials       = 8                      // limit of connections being opened at once, over all targets
	defaultDialTimeout    = time.Second            // limit of the time for opening one connection and warming it up
	defaultPaceFactor     = 2                      // pause between new connections to a target, as a multiple of the time that the target spends on one (ConnectCost)
	defaultMinPace        = 5 * time.Millisecond   // lower bound of the pause between new connections to a target
	defaultMaxBackoff     = time.Second            // upper bound of the pause after repeated failures to connect to a target
	defaultSuspectAfter   = 100 * time.Millisecond // wait of a call without any data after which its connection is suspect
	defaultSilentWait     = 10 * time.Second       // longest time for which a silent connection stays open
	defaultProbeTimeout   = 500 * time.Millisecond // time after which the probe of a connection fails; if nothing was received, the connection is silent
)

// withDefaults returns o with the default of each field that is not set.
func (o Options) withDefaults() Options {
	if o.Log == nil {
		o.Log = logging.Discard()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.GetDefaultSet()
	}
	if o.MayExceedShare == nil {
		o.MayExceedShare = func(string) bool { return true }
	}
	defaults.SetIfZero(&o.MaxAnswerBytes, defaultMaxAnswerBytes)
	defaults.SetIfZero(&o.MaxOpen, defaultMaxOpen)
	defaults.SetIfZero(&o.SilentHold, defaultSilentHold)
	defaults.SetIfZero(&o.MaxStreams, defaultMaxStreams)
	defaults.SetIfZero(&o.MaxWaiters, defaultMaxWaiters)
	defaults.SetIfZero(&o.MaxWait, defaultMaxWait)
	defaults.SetIfZero(&o.MaxDials, defaultMaxDials)
	defaults.SetIfZero(&o.DialTimeout, defaultDialTimeout)
	defaults.SetIfZero(&o.PaceFactor, defaultPaceFactor)
	defaults.SetIfZero(&o.MinPace, defaultMinPace)
	defaults.SetIfZero(&o.MaxBackoff, defaultMaxBackoff)
	defaults.SetIfZero(&o.SuspectAfter, defaultSuspectAfter)
	defaults.SetIfZero(&o.ProbeTimeout, defaultProbeTimeout)
	defaults.SetIfZero(&o.SilentWait, defaultSilentWait)
	return o
}
