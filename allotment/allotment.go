// Package allotment keeps the limits of tenants over all VMs together. A limit is a token bucket.
// For each group of tenants, one VM is the accountant and holds the buckets; the others follow it.
// Far from its limit, a tenant's request is admitted at once and told to the accountant afterwards;
// near it, a token is asked for first.
//
// Member is the part of every VM, Accountant that of a VM which others follow. Both are pure: time
// and messages come in, decisions and messages go out. They do no I/O, start no goroutine and are not
// safe for concurrent use. Times are those of the own monotonic clock; no time passes between VMs.
package allotment

import (
	"math"
	"time"

	"github.com/bramleybarrow/bramleybarrow/tenant"
)

// Config says how far the requests of a tenant may exceed its limit, over all VMs together: in any
// window, by Excess times what the limit allows in the window, plus Slack requests.
type Config struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// Shares of the tolerance, which is Excess of what the limit allows, plus Slack.
const (
	bucketExcessShare = 0.5  // of Excess: what the buckets grant beyond the limit, so that nobody below it is refused
	bucketSlackShare  = 0.5  // of Slack: likewise
	windowExcessShare = 0.25 // of Excess: tokens that are used somewhat later than they were granted
	spareExcessShare  = 0.25 // of Excess: initial tokens of a new accountant, and tokens for VMs without one
	spareSlackShare   = 0.5  // of Slack: likewise
	initialShare      = 0.5  // of the spare tokens: those of a new accountant
)

// rate returns the rate at which a tenant's bucket fills, in tokens per second.
func (c Config) rate(l tenant.Limit) float64 { return l.RatePerS * (1 + c.Excess*bucketExcessShare) }

// capacity returns how many tokens a tenant's bucket holds: one at least, without which no request
// could run.
func (c Config) capacity(l tenant.Limit) float64 {
	return max(1, l.Burst*(1+c.Excess*bucketExcessShare)+c.Slack*bucketSlackShare)
}

// reserve returns how many tokens of a full bucket stale requests leave to others. It is a part of what
// the bucket holds beyond the limit's burst, which a tenant within its limit never needs.
func (c Config) reserve(l tenant.Limit) float64 {
	full := c.capacity(l)
	return max(0, min(full*reserveShare, full-max(1, l.Burst)))
}

// spare returns how many tokens there are beside the bucket in a window.
func (c Config) spare(l tenant.Limit) float64 {
	return (l.RatePerS*c.Window.Seconds()+l.Burst)*c.Excess*spareExcessShare + c.Slack*spareSlackShare
}

// Bound returns the most requests of a tenant that may run in any window, at all VMs together.
func (c Config) Bound(l tenant.Limit) float64 {
	return (l.RatePerS*c.Window.Seconds()+l.Burst)*(1+c.Excess) + c.Slack
}

// tokenLife returns how long after it was asked for a token may be used.
func (c Config) tokenLife() time.Duration {
	life := c.Excess * windowExcessShare / (1 + c.Excess*bucketExcessShare)
	return max(minTokenLife, time.Duration(life*float64(c.Window)))
}

// Times of the exchange between VMs and accountants.
const (
	minTokenLife = 25 * time.Millisecond
	// minBeat is the interval at which a VM tells an accountant that it follows it. In large fleets
	// it is longer, so that an accountant gets no more than beatsPerSecond messages for it.
	minBeat        = 400 * time.Millisecond
	beatsPerSecond = 600
	lapseBeats     = 2.5                    // a follower that was not heard for this many beats counts no more
	CallTimeout    = 300 * time.Millisecond // bounds a call to an accountant; an unanswered one is given up
	shareStep      = 100 * time.Millisecond // interval at which an accountant counts its followers
	tellDelay      = 100 * time.Millisecond // longest time until the accountant is told of requests that were admitted without asking
	retryPause     = 200 * time.Millisecond // Retry-After while no accountant answers
	firstCooldown  = 2 * time.Second        // time for which a VM that did not answer is not chosen as accountant; doubles with each failure
	youngCooldown  = 200 * time.Millisecond // likewise, at a VM that has just started
	maxCooldown    = 30 * time.Second
	maxRetryAfter  = 30 * time.Second
	youngFor       = 5 * time.Second        // from a VM's start: how long it tells that it is young
	youngStep      = 100 * time.Millisecond // longest time between looks for a better accountant, at a young VM whose accountant few VMs follow
	maxStaleKnown  = time.Second            // longest time for which a VM refuses stale requests without asking
)

// beat returns the interval of messages between a follower and its accountant in a fleet of n VMs.
func beat(n int) time.Duration {
	return max(minBeat, time.Duration(float64(n)/beatsPerSecond*float64(time.Second)))
}

// lapse returns the time after which a follower that was not heard counts no more.
func lapse(n int) time.Duration { return time.Duration(lapseBeats * float64(beat(n))) }

// overlap bounds the time for which two accountants may both count a VM that has changed to another.
func overlap(n int) time.Duration { return lapse(n) + CallTimeout + shareStep }

// Groups is the number of groups into which the tenants are divided by a hash of their names. Each
// group has an accountant.
const Groups = 2

// GroupOf returns the group of a tenant.
func GroupOf(name string) int { return int(hash("group", name) % Groups) }

// Call is a message of a VM to an accountant.
type Call struct {
	From   string  `json:"from"`
	Group  int     `json:"group"`
	Serial int64   `json:"serial,omitempty"` // number of the present following, rises with each change; 0 for a probe by a VM that follows another one
	Fresh  bool    `json:"fresh,omitempty"`  // the VM has changed its accountant at most once within the last window
	Clean  bool    `json:"clean,omitempty"`  // the former accountant knows that the VM follows it no longer
	Young  bool    `json:"young,omitempty"`  // the VM has just started, and since then no other accountant has answered it, but for ones that know that it has left them
	Able   bool    `json:"able,omitempty"`   // the VM is among those that may become accountant
	Leave  bool    `json:"leave,omitempty"`  // the VM is about to follow another one
	Count  int64   `json:"count,omitempty"`  // number of the call, rises within the following
	Usage  []Usage `json:"usage,omitempty"`
}

// Usage is what a VM tells, or asks, of one tenant.
type Usage struct {
	Tenant  string       `json:"tenant"`
	Version int64        `json:"version"` // of the manifest that states the limit
	Limit   tenant.Limit `json:"limit"`
	Used    int          `json:"used,omitempty"`     // requests admitted without asking, since the last message
	Back    int          `json:"back,omitempty"`     // tokens that were not used, since the last message
	Ask     bool         `json:"ask,omitempty"`      // asks for a token
	Stale   bool         `json:"stale,omitempty"`    // of Ask: the request can't be answered within its latency objective
	FreshMS int64        `json:"fresh_ms,omitempty"` // of Ask: it becomes stale after this many milliseconds; 0 if it never does
}

// Answer is an accountant's answer to a Call.
type Answer struct {
	Near    []string `json:"near,omitempty"`     // tenants near their limit: VMs have to ask
	AllNear bool     `json:"all_near,omitempty"` // VMs have to ask for every tenant
	Whole   bool     `json:"whole,omitempty"`    // nearly all VMs follow the accountant
	Move    string   `json:"move,omitempty"`     // VM to follow from now on, which is a better accountant
	Free    int      `json:"free,omitempty"`     // requests of the tenant of the first Usage that the VM may admit before it tells
	Asked   bool     `json:"asked,omitempty"`    // the call asked for a token, and the next fields answer that
	Granted bool     `json:"granted,omitempty"`
	Unsure  bool     `json:"unsure,omitempty"`   // if not granted: whether the limit is used up is not known
	RetryMS int64    `json:"retry_ms,omitempty"` // if not granted: when the caller should come back, in milliseconds
	RoomMS  int64    `json:"room_ms,omitempty"`  // if not granted: until then there is no room, in milliseconds
	StaleMS int64    `json:"stale_ms,omitempty"` // if not granted: until then there is no room for stale requests, in milliseconds
	Flipped bool     `json:"-"`                  // a tenant has come near its limit; the other followers should be told at once
}

// milliseconds rounds a time up to whole milliseconds.
func milliseconds(d time.Duration) int64 {
	return int64(math.Ceil(float64(d) / float64(time.Millisecond)))
}
