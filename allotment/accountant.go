package allotment

import (
	"math"
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/tenant"
)

// Parameters of an accountant's decisions.
const (
	wholeShare = 0.9 // share of all VMs that follow an accountant, from which it speaks for the fleet
	// nearCapacityShare is the share of a bucket's capacity below which the tenant is near its limit.
	// In a fleet of few VMs it is less: one token for each VM.
	nearCapacityShare = 1.0 / 3
	sureShare         = 0.9         // of the rate: a tenant that got as much since an accountant took over has used up its limit when there are no tokens
	farFactor         = 1.5         // a tenant is far from its limit again with this many times the tokens
	freeShare         = 0.5         // of the tokens of a tenant far from its limit: what all VMs may use before they tell
	reserveShare      = 0.25        // of a bucket's capacity: tokens that stale requests leave to others, at most
	minReturnShare    = 0.1         // of the rate: what callers that are asked to come back are counted on to find at least
	joinedStep        = 0.25        // of the followers: if as many have joined, they are counted at once
	demandPeriod      = time.Second // over which a tenant's demand is averaged
	maxNear           = 256         // tenants that are named as near their limit; if there are more, VMs ask for every tenant
)

// Accountant keeps the limits of a group of tenants for the VMs that follow it. It fills their buckets
// at a share of the rate: the share of all VMs that follow it. So several accountants, in parts of a
// fleet that can't reach each other, together keep the limit.
type Accountant struct {
	config    Config
	group     int
	members   int // number of VMs of the fleet
	followers map[string]*follower
	buckets   map[string]*bucket // by tenant
	near      []string           // tenants near their limit

	share      float64 // part of all VMs that follow
	countedAt  time.Time
	filledAt   time.Time
	filled     float64   // integral of share over time, in seconds
	wholeSince time.Time // zero unless share has reached wholeShare
	fresh      int       // followers that joined since countedAt and bring initial tokens
	joined     int       // followers that joined since countedAt, and that another accountant may still count
	clean      int       // followers that joined since countedAt, and that no other accountant counts
	young      int       // followers that joined since countedAt just after their start: no other accountant counts them if all VMs have restarted
	aloneUntil time.Time // until then it is known that all VMs have just restarted, so that there is no former accountant
}

// follower is a VM that follows an accountant.
type follower struct {
	serial, count int64  // of its latest call
	seen          uint64 // bit i: call number count-i was heard
	heard         time.Time
	young         bool // see Call.Young
	able          bool // see Call.Able
	lapsed        bool // it has not been heard for a while, or has left, and does not count
	left          bool
}

// bucket holds the tokens of one tenant.
type bucket struct {
	limit    tenant.Limit
	version  int64     // of the manifest that states limit
	level    float64   // tokens; below 0 if more requests ran than there were tokens
	filled   float64   // Accountant.filled when level was computed
	granted  float64   // requests since Accountant.wholeSince
	booked   time.Time // up to this time, tokens are left to callers that were asked to come back
	crowd    int       // callers that were refused without a booking
	demand   float64   // requests that are not stale, each counted less with its age: by 1/e in a demandPeriod
	demandAt time.Time // when demand was computed
	near     bool
	// withheld is what was taken from level for young followers, which a former accountant might count.
	withheld float64
	// recovered is set if there were tokens enough since Accountant.wholeSince.
	recovered bool
}

// NewAccountant returns an accountant of a group that nobody follows yet. members is the number of VMs
// of the fleet.
func NewAccountant(config Config, group, members int, now time.Time) *Accountant {
	return &Accountant{
		config: config, group: group, members: max(members, 1),
		followers: make(map[string]*follower), buckets: make(map[string]*bucket),
		countedAt: now, filledAt: now,
	}
}

// SetMembers sets the number of VMs of the fleet, less those that are known not to run.
func (a *Accountant) SetMembers(now time.Time, members int) {
	if members = max(members, 1); members != a.members {
		a.members = members
		a.recount(now)
	}
}

// SetLimits replaces the limits by those of a manifest. Tenants of other groups are passed over.
func (a *Accountant) SetLimits(now time.Time, version int64, tenants []tenant.Tenant) {
	a.fill(now)
	named := make(map[string]bool)
	for i := range tenants {
		if t := &tenants[i]; t.Limit.Limited() && GroupOf(t.Name) == a.group {
			named[t.Name] = true
			a.bucket(t.Name, version, t.Limit)
		}
	}
	for name, b := range a.buckets {
		if !named[name] && b.version < version {
			delete(a.buckets, name)
		}
	}
	a.listNear()
}

// Followers returns the number of VMs that follow, and of all VMs.
func (a *Accountant) Followers() (following, members int) {
	for _, f := range a.followers {
		if !f.lapsed {
			following++
		}
	}
	return following, a.members
}

// Follows reports whether a VM follows the accountant.
func (a *Accountant) Follows(vm string) bool {
	f := a.followers[vm]
	return f != nil && !f.lapsed
}

// Near returns the number of tenants near their limit.
func (a *Accountant) Near() int { return len(a.near) }

// NearTenants returns the tenants near their limit, sorted. The list must not be changed.
func (a *Accountant) NearTenants() []string { return a.near }

// Idle reports whether nobody follows any more, so that the accountant may be dropped.
func (a *Accountant) Idle(now time.Time) bool {
	a.recountIfDue(now)
	return len(a.followers) == 0
}

// Serve answers a call.
func (a *Accountant) Serve(now time.Time, call *Call) Answer {
	known := a.hear(now, call)
	a.recountIfDue(now)
	a.fill(now)
	var ans Answer
	for i, u := range call.Usage {
		b := a.bucket(u.Tenant, u.Version, u.Limit)
		ans.Flipped = a.record(now, b, u, known) || ans.Flipped
		if u.Ask {
			ans.Asked = true
			a.ask(now, b, &u, known, &ans)
			ans.Flipped = a.judge(b) || ans.Flipped
		}
		if i == 0 && !b.near {
			ans.Free = a.free(b)
		}
	}
	if ans.Flipped {
		a.listNear()
	}
	a.fillNotice(&ans)
	return ans
}

// Notice returns what all followers should know: the tenants near their limit.
func (a *Accountant) Notice() Answer {
	var ans Answer
	a.fillNotice(&ans)
	return ans
}

// fillNotice sets the tenants near their limit in an answer.
func (a *Accountant) fillNotice(ans *Answer) {
	ans.Whole = a.share >= wholeShare
	if ans.AllNear = len(a.near) > maxNear || a.share == 0; !ans.AllNear {
		ans.Near = a.near
	}
}

// hearing is what an accountant makes of a call.
type hearing int

const (
	ignored  hearing = iota // of an earlier following, or a probe
	repeated                // the call was heard before
	heard
)

// hear records a sign of life of a follower. Calls may overtake each other.
func (a *Accountant) hear(now time.Time, call *Call) hearing {
	if call.Serial == 0 {
		return ignored
	}
	f := a.followers[call.From]
	if f == nil {
		f = &follower{}
		a.followers[call.From] = f
	}
	if call.Serial < f.serial {
		return ignored
	}
	if call.Serial > f.serial {
		f.serial, f.count, f.seen, f.left = call.Serial, call.Count, 0, false
		f.young, f.able = call.Young, call.Able
		switch {
		case call.Clean:
			a.clean++
		case call.Young:
			a.young++
		default:
			a.joined++
		}
		if call.Fresh {
			a.fresh++
		}
	}
	if f.left {
		return ignored
	}
	if call.Leave {
		f.left, f.lapsed = true, true
	}
	if ahead := call.Count - f.count; ahead > 0 {
		f.count, f.seen = call.Count, f.seen<<uint64(ahead)
	}
	behind := f.count - call.Count
	if behind >= seenCalls {
		return ignored
	}
	if bit := uint64(1) << uint64(behind); f.seen&bit == 0 {
		f.seen |= bit
		f.heard = now
		return heard
	}
	return repeated
}

// seenCalls is how many of the latest calls of a follower are told from repeated ones.
const seenCalls = 64

// recountIfDue counts the followers from time to time, and whenever enough have joined to matter.
func (a *Accountant) recountIfDue(now time.Time) {
	joined := float64(a.joined + a.clean + a.young)
	if now.Sub(a.countedAt) >= shareStep || joined > 0 && joined >= joinedStep*a.share*float64(a.members) {
		a.recount(now)
	}
}

// recount counts the followers. If their share has changed, the buckets hold and get tokens by the new
// one. A VM that joins may be counted by its former accountant for a while; that is taken from the
// buckets, and it brings a part of the initial tokens.
func (a *Accountant) recount(now time.Time) {
	a.fill(now)
	a.countedAt = now
	silence := lapse(a.members)
	following, youngAble := 0, 0
	for name, f := range a.followers {
		quiet := now.Sub(f.heard)
		if f.lapsed = f.left || quiet >= silence; !f.lapsed {
			following++
			if f.young && f.able {
				youngAble++
			}
		} else if quiet >= silence+a.config.Window {
			delete(a.followers, name)
		}
	}
	share := min(1, float64(following)/float64(a.members))
	proved := youngAble >= min(candidates, a.members) && a.aloneUntil.IsZero()
	if proved {
		a.aloneUntil = now.Add(youngFor)
	}
	if joined := a.joined + a.clean + a.young; share != a.share || joined > 0 || proved {
		perVM := 1 / float64(a.members)
		fresh := float64(a.fresh) * perVM
		twice := (float64(a.joined)*overlap(a.members).Seconds() + float64(a.clean)*shareStep.Seconds()) * perVM
		young := float64(a.young) * overlap(a.members).Seconds() * perVM
		if now.Before(a.aloneUntil) {
			young = 0
		}
		for _, b := range a.buckets {
			a.settle(b)
			rate := a.config.rate(b.limit)
			b.level += fresh*a.config.spare(b.limit)*initialShare - (twice+young)*rate
			if b.withheld += young * rate; proved {
				b.level, b.withheld = b.level+b.withheld, 0
			}
			b.level = min(b.level, a.config.capacity(b.limit)*share)
		}
		a.share, a.joined, a.clean, a.young, a.fresh = share, 0, 0, 0, 0
	}
	switch {
	case share < wholeShare:
		a.wholeSince = time.Time{}
	case a.wholeSince.IsZero():
		a.wholeSince = now
		for _, b := range a.buckets {
			b.granted, b.recovered = 0, false
		}
	}
	a.judgeAll()
}

// fill advances the integral of the share, by which buckets fill.
func (a *Accountant) fill(now time.Time) {
	a.filled += a.share * max(0, now.Sub(a.filledAt).Seconds())
	a.filledAt = now
}

// settle brings a bucket's level up to date.
func (a *Accountant) settle(b *bucket) {
	b.level = min(a.config.capacity(b.limit)*a.share, b.level+a.config.rate(b.limit)*(a.filled-b.filled))
	b.filled = a.filled
}

// bucket returns the up to date bucket of a tenant, with the limit of the latest manifest.
func (a *Accountant) bucket(name string, version int64, limit tenant.Limit) *bucket {
	b := a.buckets[name]
	if b == nil {
		b = &bucket{limit: limit, version: version, filled: a.filled}
		b.level = min(a.config.spare(limit)*initialShare, a.config.capacity(limit)) * a.share
		a.buckets[name] = b
	}
	a.settle(b)
	if version > b.version {
		b.limit, b.version = limit, version
		b.level = min(b.level, a.config.capacity(limit)*a.share)
	}
	return b
}

// record takes from a bucket what a VM tells. It reports whether the tenant has come near its limit. Of
// a call that may have been heard before, only what was used counts.
func (a *Accountant) record(now time.Time, b *bucket, u Usage, known hearing) bool {
	if known == repeated {
		return false
	}
	b.demanded(now, u.Used)
	b.level -= float64(u.Used)
	b.granted += float64(u.Used)
	if known == heard {
		b.level = min(b.level+float64(u.Back), a.config.capacity(b.limit)*a.share)
		b.granted -= float64(u.Back)
	}
	return a.judge(b)
}

// ask answers whether a request may run. A stale request leaves the last tokens to others, if the tenant
// has surely come near its limit.
func (a *Accountant) ask(now time.Time, b *bucket, u *Usage, known hearing, ans *Answer) {
	if known != heard || a.share == 0 {
		ans.Unsure, ans.RetryMS = true, milliseconds(retryPause)
		return
	}
	if !u.Stale {
		b.demanded(now, 1)
	}
	sure, reserve := a.sure(now, b), a.config.reserve(b.limit)*a.share
	if b.level >= 1 && (!u.Stale || !sure || b.level >= 1+reserve) {
		b.level--
		b.granted++
		ans.Granted = true
		return
	}
	rate := a.config.rate(b.limit) * a.share
	ans.Unsure = !sure
	ans.RoomMS = milliseconds(seconds(max(0, 1-b.level) / rate))
	if sure {
		ans.StaleMS = milliseconds(min(maxStaleKnown, seconds((1+reserve-b.level)/rate)))
	}
	ans.RetryMS = milliseconds(a.retryAfter(now, b, u, rate, reserve))
}

// retryAfter returns when a refused caller should come back. Callers are given times one after the
// other, at the part of the rate that the demand leaves. One that would be stale by then has to wait
// until there are more tokens than stale requests leave to others.
func (a *Accountant) retryAfter(now time.Time, b *bucket, u *Usage, rate, reserve float64) time.Duration {
	left := max(rate-b.demanded(now, 0), rate*minReturnShare)
	due := now.Add(seconds(max(0, 1-b.level) / rate))
	if b.booked.After(due) {
		due = b.booked
	}
	fresh := time.Duration(u.FreshMS) * time.Millisecond
	if u.Stale || fresh > 0 && due.Sub(now) > fresh {
		if room := now.Add(seconds((1 + reserve - b.level) / left)); room.After(due) {
			due = room
		}
	}
	if latest := now.Add(maxRetryAfter); !due.Before(latest) {
		// More callers than can be served until then: spread them without a promise.
		b.crowd++
		_, part := math.Modf(float64(b.crowd) * math.Phi)
		due = latest.Add(-time.Duration(part * float64(maxRetryAfter/2)))
	} else {
		b.booked = due.Add(seconds(1 / left))
	}
	return due.Sub(now)
}

// demanded counts requests that are not stale, and returns their present rate per second.
func (b *bucket) demanded(now time.Time, requests int) float64 {
	if since := now.Sub(b.demandAt); since > 0 {
		b.demand *= math.Exp(-since.Seconds() / demandPeriod.Seconds())
		b.demandAt = now
	}
	b.demand += float64(requests)
	return b.demand / demandPeriod.Seconds()
}

// sure reports whether a tenant without tokens has used up its limit, rather than this accountant
// having taken over lately or being followed by a part of the VMs.
func (a *Accountant) sure(now time.Time, b *bucket) bool {
	if a.wholeSince.IsZero() {
		return false
	}
	age := now.Sub(a.wholeSince)
	allowed := b.limit.RatePerS * age.Seconds()
	return b.recovered || b.granted >= b.limit.Burst+allowed || age >= a.config.Window && b.granted >= sureShare*allowed
}

// margin returns the level of a bucket below which the tenant is near its limit.
func (a *Accountant) margin(b *bucket) float64 {
	return a.share * min(float64(a.members), a.config.capacity(b.limit)*nearCapacityShare)
}

// judge decides whether a tenant is near its limit, and reports whether it has come near.
func (a *Accountant) judge(b *bucket) bool {
	was := b.near
	margin := a.margin(b)
	if was {
		margin *= farFactor
	}
	b.near = b.level < margin
	b.recovered = b.recovered || !b.near && !a.wholeSince.IsZero()
	return b.near && !was
}

// judgeAll decides for all tenants near their limit whether they still are, and after a change of the
// share for all others too.
func (a *Accountant) judgeAll() {
	for _, b := range a.buckets {
		if b.near || b.level < a.margin(b) {
			a.settle(b)
			a.judge(b)
		}
	}
	a.listNear()
}

// listNear lists the tenants near their limit.
func (a *Accountant) listNear() {
	a.near = nil
	for name, b := range a.buckets {
		if b.near {
			a.near = append(a.near, name)
		}
	}
	slices.Sort(a.near)
}

// free returns how many requests of a tenant far from its limit a VM may admit before it tells.
func (a *Accountant) free(b *bucket) int {
	return int(max(1, (b.level-a.margin(b))*freeShare/float64(a.members)))
}

// seconds converts a time in seconds, which may be infinite.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s*float64(time.Second), float64(maxRetryAfter)))
}
