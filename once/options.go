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

// Defaults of Options.
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

// Options configures a Runner. Only Store, VM and Incarnation are required.
type Options struct {
	Store       objstore.Store
	VM          string // name of this VM in the platform's list
	Incarnation string // different at each start of this process
	Clock       func() time.Time
	Log         *slog.Logger
	Metrics     *metrics.Set

	// KeyTTL is how long after its creation a key may be used. It must be the same
	// on all VMs.
	KeyTTL time.Duration
	// MaxClockSkew must be more than the clocks of any two VMs differ. Claims are
	// removed KeyTTL + MaxClockSkew after their key was created.
	MaxClockSkew time.Duration

	ClaimWait   time.Duration // limit for winning a claim
	OutcomeWait time.Duration // limit for storing the outcome before the caller gets its answer
	CallTimeout time.Duration // limit of one store call
	RunTimeout  time.Duration // limit of a request whose context has no deadline

	// FleetWriteRate is how many conditional updates per second all VMs together
	// may send. SetFleetSize divides it into equal shares, which VMs transfer to
	// the VM that commits for them.
	FleetWriteRate float64
	MaxPending     int // limit of operations waiting for a write; requests above it are refused
	// MaxPeerPending limits the operations of other VMs that wait for a write. They
	// do not count towards MaxPending.
	MaxPeerPending int
	MaxResultBytes int // largest result that is stored, in bytes

	// Peers sends operations to the VMs that commit for this one. If it is nil,
	// this VM commits everything itself. *relay.Links implements it.
	Peers Peers

	// Deployment, if set, is the deployment whose expired claims this VM helps to
	// remove, about every CleanInterval.
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
	defaults.SetIfZero(&o.KeyTTL, defaultKeyTTL)
	defaults.SetIfZero(&o.MaxClockSkew, defaultMaxClockSkew)
	defaults.SetIfZero(&o.ClaimWait, defaultClaimWait)
	defaults.SetIfZero(&o.OutcomeWait, defaultOutcomeWait)
	defaults.SetIfZero(&o.CallTimeout, defaultCallTimeout)
	defaults.SetIfZero(&o.RunTimeout, defaultRunTimeout)
	defaults.SetIfZero(&o.FleetWriteRate, defaultFleetWriteRate)
	defaults.SetIfZero(&o.MaxPending, defaultMaxPending)
	defaults.SetIfZero(&o.MaxPeerPending, defaultMaxPeerPending)
	defaults.SetIfZero(&o.MaxResultBytes, defaultMaxResultBytes)
	defaults.SetIfZero(&o.CleanInterval, defaultCleanInterval)
	return o
}

// Request is one non-idempotent request.
type Request struct {
	Deployment string
	Search     string
	Key        Key
	Digest     string // of the payload; a key identifies one payload only
}

// Outcome is the answer to a caller.
type Outcome struct {
	Code       result.Code
	Result     json.RawMessage // the target's, if Code is Accepted
	Detail     string
	RetryAfter time.Duration // 0 if a retry makes no sense
	Replayed   bool          // this is the stored outcome of an earlier request with the same key
}
