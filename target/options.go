package target

import (
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/bramleybarrow/bramleybarrow/internal/defaults"
	"github.com/bramleybarrow/bramleybarrow/logging"
)

// Endpoint is a target as one VM uses it.
type Endpoint struct {
	Name           string
	Zone           string
	Address        string        // IP and port
	Connections    int           // this VM's share; a hard cap, 0 means that all calls fail
	ConnectCost    time.Duration // what a new connection costs the target
	HealthInterval time.Duration // between reads of the status
	HealthTimeout  time.Duration // after which a read has failed
}

// Protocol is the version of HTTP that a Client speaks.
type Protocol int

// The protocols. docs/design/target-transport.md says why HTTP2 is the default.
const (
	HTTP2 Protocol = iota // without TLS, with prior knowledge
	HTTP1
)

// Options govern a Client. The zero value of each field stands for its default.
type Options struct {
	Log      *slog.Logger
	Sink     Sink         // told of the state that each answer states; may be nil
	Metrics  *metrics.Set // the default set if nil
	Protocol Protocol

	MaxAnswerBytes int64 // bytes of an answer's body; 4 MiB
	// MaxOpen is how many connections are kept open to one target over HTTP/2
	// (3), within the share. The rest of the share is a reserve: a target still
	// counts a connection that has gone silent, because it never hears of its
	// end, so its replacement must find a place beside it. The place of a silent
	// connection counts as taken for SilentHold (2 min).
	MaxOpen    int
	SilentHold time.Duration

	MaxStreams int           // calls at once on one HTTP/2 connection; 100
	MaxWaiters int           // calls that wait for a connection to one target; 64
	MaxWait    time.Duration // for a connection; 250 ms
	MaxDials   int           // connections being opened at once, over all targets; 8

	DialTimeout time.Duration // to open a connection and warm it up; 1 s
	PaceFactor  float64       // pause between new connections to a target, in ConnectCosts; 2
	MinPace     time.Duration // lower bound of that pause; 5 ms
	MaxBackoff  time.Duration // pause after repeated failures to connect; 1 s

	// A connection on which a call has waited for SuspectAfter (100 ms) while
	// nothing at all was received is passed over and probed with a read of the
	// status. If nothing comes within ProbeTimeout (500 ms) either, it counts as
	// silent and is closed.
	SuspectAfter time.Duration
	ProbeTimeout time.Duration

	// PingAfter is the time without a frame after which HTTP/2 pings go out on
	// idle connections. 0 means none: the reads of a Monitor go to the
	// connection that was idle for longest, and so test them at no extra cost.
	PingAfter time.Duration
}

const (
	defaultMaxAnswerBytes = 4 << 20
	defaultMaxOpen        = 3
	defaultSilentHold     = 2 * time.Minute
	defaultMaxStreams     = 100
	defaultMaxWaiters     = 64
	defaultMaxWait        = 250 * time.Millisecond
	defaultMaxDials       = 8
	defaultDialTimeout    = time.Second
	defaultPaceFactor     = 2
	defaultMinPace        = 5 * time.Millisecond
	defaultMaxBackoff     = time.Second
	defaultSuspectAfter   = 100 * time.Millisecond
	defaultProbeTimeout   = 500 * time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.Log == nil {
		o.Log = logging.Discard()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.GetDefaultSet()
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
	return o
}
