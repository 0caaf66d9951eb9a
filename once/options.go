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
	defaultKeyTTL         = 24 * time.Hour         // age up to which an idempotency key may be used
	defaultMaxClockSkew   = 5 * time.Minute        // upper bound on the difference between the clocks of any two VMs
	defaultClaimWait      = 2 * time.Second        // time limit for claiming a key
	defaultOutcomeWait    = 500 * time.Millisecond // longest time that the answer to a caller waits until the outcome is stored
	defaultCallTimeout    = time.Second            // time limit of one store call
	defaultRunTimeout     = 30 * time.Second       // time after which a request whose context has no deadline counts as lost
	defaultFleetWriteRate = 280                    // writes per second that all VMs together may send to the platform
	defaultFleetSize      = 7                      // number of VMs that share the fleet's writes until SetFleetSize is called
	defaultMaxPending     = 10000                  // operations of this VM's own callers that may wait for a write to the platform
	defaultMaxPeerPending = 10000                  // operations relayed by other VMs that may wait for a write of this VM
	defaultMaxResultBytes = 16 << 10               // size of the largest result of a target that is stored, in bytes
	defaultCleanInterval  = time.Minute            // average time between two rounds that remove expired claims
)

// Options configures a Runner. Only Store, VM and Incarnation are required.
type Options struct {
	Store       objstore.Store   // the platform's store, which holds the claims
	VM          string           // name of this VM in the platform's list
	Incarnation string           // different at each start of this process
	Clock       func() time.Time // compared with the times in keys; default time.Now
	Log         *slog.Logger     // default: nothing is logged
	Metrics     *metrics.Set     // default: a set of its own

	// KeyTTL is how long after its creation a key may be used. It must be the same
	// on all VMs.
	KeyTTL time.Duration
	// MaxClockSkew must be larger than the difference between the clocks of any two
	// VMs. Claims are removed KeyTTL + MaxClockSkew after their key was created.
	MaxClockSkew time.Duration

	ClaimWait   time.Duration // time limit for claiming a key
	OutcomeWait time.Duration // longest time that the answer to a caller waits until the outcome is stored
	CallTimeout time.Duration // time limit of one store call
	// RunTimeout is the time after which a request whose context has no deadline
	// counts as lost. It does not end the request: a request with the same key gets
	// the answer "in progress" before that time and "unknown" after it.
	RunTimeout time.Duration

	// FleetWriteRate is how many conditional updates per second all VMs together
	// may send to the platform. Each VM gets an equal part, see SetFleetSize. A VM
	// transfers updates that it did not use to the VM that commits for it.
	FleetWriteRate float64
	// MaxPending limits the operations of this VM's own callers that wait for a
	// write. Further claims are refused.
	MaxPending int
	// MaxPeerPending limits the operations relayed by other VMs that wait for a
	// write of this VM. They do not count towards MaxPending.
	MaxPeerPending int
	MaxResultBytes int // size of the largest result of a target that is stored, in bytes

	// Peers sends operations to the VMs that commit for this one: each segment is
	// updated by one VM for all. If Peers is nil, this VM commits everything itself.
	// *relay.Links implements it.
	Peers Peers

	// Deployment, if set, is the deployment whose expired claims this VM helps to
	// remove.
	Deployment string
	// CleanInterval is the average time between two rounds that remove expired
	// claims.
	CleanInterval time.Duration
}

// withDefaults returns the options with defaults for those that are not set.
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
	Search     string // name of the search; equal keys of different searches are independent
	Key        Key    // the caller's idempotency key
	Digest     string // digest of the payload; a key identifies one payload only
}

// Outcome is the answer to the caller of a non-idempotent request.
type Outcome struct {
	Code       result.Code     // what happened to the request
	Result     json.RawMessage // the target's result, if Code is Accepted
	Detail     string          // explanation for the caller, may be empty
	RetryAfter time.Duration   // time after which the caller may try again; 0 if a retry makes no sense
	Replayed   bool            // the outcome was stored by an earlier request with the same key
}
