package once

import (
	"encoding/json"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/bramleybarrow/bramleybarrow/internal/defaults"
	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// The defaults of Options.
const (
	defaultKeyTTL         = 24 * time.Hour
	defaultMaxClockSkew   = 5 * time.Minute
	defaultClaimWait      = 2 * time.Second
	defaultOutcomeWait    = 500 * time.Millisecond
	defaultCallTimeout    = time.Second
	defaultRunTimeout     = 30 * time.Second
	defaultFleetWriteRate = 280
	defaultFleetSize      = 7
	defaultMaxPending     = 10000
	defaultMaxPeerPending = 10000
	defaultMaxResultBytes = 16 << 10
	defaultCleanInterval  = time.Minute
)

// Options configures a Runner. Only Store, VM and Incarnation are needed.
type Options struct {
	Store       objstore.Store
	VM          string // of this process, as in the platform's list
	Incarnation string // new at each start of this process
	Clock       func() time.Time
	Log         *slog.Logger
	Metrics     *metrics.Set

	// KeyTTL is how long after a key was made it may be sent. All VMs must have
	// the same.
	KeyTTL time.Duration
	// MaxClockSkew is more than the clocks of any two VMs differ. Claims are cleared
	// Keep + MaxClockSkew after their key was made.
	MaxClockSkew time.Duration

	ClaimWait   time.Duration // longest wait for a claim
	OutcomeWait time.Duration // longest wait for the outcome to be kept before the caller is answered
	CallTimeout time.Duration // of one store call
	RunTimeout  time.Duration // of a request whose context has no deadline

	// FleetWriteRate is how many conditional updates per second all VMs together
	// may send; SetFleet cuts it into shares, which VMs pass on to the VM that
	// commits for them.
	FleetWriteRate float64
	MaxPending     int // operations waiting for a write; above it requests are refused
	// MaxPeerPending bounds the operations of other VMs that wait for a write,
	// apart from MaxPending.
	MaxPeerPending int
	MaxResultBytes int // bytes of a result that is kept

	// Peers are the ways to the VMs that commit for this one; without it this VM
	// commits by itself. *relay.Links implements it.
	Peers Peers

	// Deployment, if set, is the one whose old claims this VM helps to clear
	// every CleanEvery.
	Deployment    string
	CleanInterval time.Duration
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Log == nil {
		o.Log = logging.Discard()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	defaults.Set(&o.KeyTTL, defaultKeyTTL)
	defaults.Set(&o.MaxClockSkew, defaultMaxClockSkew)
	defaults.Set(&o.ClaimWait, defaultClaimWait)
	defaults.Set(&o.OutcomeWait, defaultOutcomeWait)
	defaults.Set(&o.CallTimeout, defaultCallTimeout)
	defaults.Set(&o.RunTimeout, defaultRunTimeout)
	defaults.Set(&o.FleetWriteRate, defaultFleetWriteRate)
	defaults.Set(&o.MaxPending, defaultMaxPending)
	defaults.Set(&o.MaxPeerPending, defaultMaxPeerPending)
	defaults.Set(&o.MaxResultBytes, defaultMaxResultBytes)
	defaults.Set(&o.CleanInterval, defaultCleanInterval)
	return o
}

// Request is one non-idempotent request.
type Request struct {
	Deployment string
	Search     string
	Key        Key
	Digest     string // of the payload; a key stands for one payload only
}

// Outcome is what a caller is told.
type Outcome struct {
	Code       result.Code
	Result     json.RawMessage // the target's, if Code is Accepted
	Detail     string
	RetryAfter time.Duration // 0 if coming back makes no sense
	Replayed   bool          // told from the kept outcome of an earlier sending
}
