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
	defaultKeep        = 24 * time.Hour
	defaultMargin      = 5 * time.Minute
	defaultClaimWait   = 2 * time.Second
	defaultOutcomeWait = 500 * time.Millisecond
	defaultCallTimeout = time.Second
	defaultRunLimit    = 30 * time.Second
	defaultFleetWrites = 280
	defaultFleet       = 7
	defaultMaxPending  = 10000
	defaultFromPeers   = 10000
	defaultMaxResult   = 16 << 10
	defaultCleanEvery  = time.Minute
)

// Options configures a Runner. Only Store, VM and Incarnation are needed.
type Options struct {
	Store       objstore.Store
	VM          string // of this process, as in the platform's list
	Incarnation string // new at each start of this process
	Clock       func() time.Time
	Log         *slog.Logger
	Metrics     *metrics.Set

	// Keep is how long after a key was made it may be sent. All VMs must have
	// the same.
	Keep time.Duration
	// Margin is more than the clocks of any two VMs differ. Claims are cleared
	// Keep + Margin after their key was made.
	Margin time.Duration

	ClaimWait   time.Duration // longest wait for a claim
	OutcomeWait time.Duration // longest wait for the outcome to be kept before the caller is answered
	CallTimeout time.Duration // of one store call
	RunLimit    time.Duration // of a request whose context has no deadline

	// FleetWrites is how many conditional updates per second all VMs together
	// may send; SetFleet cuts it into shares, which VMs pass on to the VM that
	// commits for them.
	FleetWrites float64
	MaxPending  int // operations waiting for a write; above it requests are refused
	// MaxFromPeers bounds the operations of other VMs that wait for a write,
	// apart from MaxPending.
	MaxFromPeers int
	MaxResult    int // bytes of a result that is kept

	// Peers are the ways to the VMs that commit for this one; without it this VM
	// commits by itself. *relay.Links implements it.
	Peers Peers

	// Deployment, if set, is the one whose old claims this VM helps to clear
	// every CleanEvery.
	Deployment string
	CleanEvery time.Duration
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
	defaults.Set(&o.Keep, defaultKeep)
	defaults.Set(&o.Margin, defaultMargin)
	defaults.Set(&o.ClaimWait, defaultClaimWait)
	defaults.Set(&o.OutcomeWait, defaultOutcomeWait)
	defaults.Set(&o.CallTimeout, defaultCallTimeout)
	defaults.Set(&o.RunLimit, defaultRunLimit)
	defaults.Set(&o.FleetWrites, defaultFleetWrites)
	defaults.Set(&o.MaxPending, defaultMaxPending)
	defaults.Set(&o.MaxFromPeers, defaultFromPeers)
	defaults.Set(&o.MaxResult, defaultMaxResult)
	defaults.Set(&o.CleanEvery, defaultCleanEvery)
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
	Kept       bool          // told from the kept outcome of an earlier sending
}
