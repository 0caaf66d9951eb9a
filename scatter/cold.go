package scatter

import (
	"slices"
	"time"
)

// Cold leafs. A leaf that has just started, or whose zone was evacuated, is cold: it is slow, and it
// may crash if it gets more than a certain number of requests per second. Where a service states
// such a number, the limit holds for all VMs together, in every interval of a second.
//
// Nobody counts the requests of all VMs. Instead, only the first warmingVMs owners of the leaf's
// partition in its zone send requests to a cold leaf, and each has an equal share of the limit.
// Two VMs may know different lists of VMs, so that others regard themselves as first, too. The
// shares are so small that the limit still holds if twice as many do. A VM that does not know
// the other VMs sends nothing. Requests beyond the share go to other leafs, or the shard is left
// out.

// ColdConfig is what all VMs together may send to one cold leaf, besides what its service states.
type ColdConfig struct {
	// Excess multiplies the requests per second that the service states.
	Excess float64
	// Slack is the number of requests per second that is added to that.
	Slack float64
}

const (
	// warmingVMs is the number of VMs that send requests to one cold leaf.
	warmingVMs = 2
	// coldMargin is how many times more VMs than warmingVMs may send requests to one cold leaf
	// without exceeding its limit, since lists of VMs differ while VMs come and go.
	coldMargin = 2
	// coldWindow is the interval in which requests to a cold leaf are limited.
	coldWindow = time.Second
	// coldDelaySpread is how much longer one request to a leaf may take on its way than another
	// one. Requests that are sent over a longer time than coldWindow may so arrive within it.
	coldDelaySpread = 100 * time.Millisecond
)

// SetColdConfig sets the limits for cold leafs. Until then, and if both are 0, the number that the
// service states is the limit.
func (t *Table) SetColdConfig(config ColdConfig) { t.coldConfig = config }

// coldLimit returns how many requests per second all VMs together may send to a cold leaf of the
// service.
func (t *Table) coldLimit(s *service) float64 {
	if t.coldConfig == (ColdConfig{}) {
		return s.coldPerSecond
	}
	return s.coldPerSecond*t.coldConfig.Excess + t.coldConfig.Slack
}

// coldLimiter records when this VM recently sent requests to one leaf, oldest first.
type coldLimiter []time.Time

// recent returns the number of requests sent within the last coldWindow plus coldDelaySpread, and
// forgets older ones.
func (c *coldLimiter) recent(now time.Time) int {
	expired := 0
	for expired < len(*c) && now.Sub((*c)[expired]) > coldWindow+coldDelaySpread {
		expired++
	}
	*c = slices.Delete(*c, 0, expired)
	return len(*c)
}

// recordIfLimited records a request that is sent to the leaf, if requests to it are limited while it
// is cold. Those sent while it is warm are recorded too, since it may become cold within the second.
func (t *Table) recordIfLimited(now time.Time, l *leaf) {
	if t.services[l.Service].coldPerSecond > 0 {
		l.coldRequests.recent(now)
		l.coldRequests = append(l.coldRequests, now)
	}
}

// coldShare returns how many requests per second this VM may send to the leaf while it is cold.
func (t *Table) coldShare(l *leaf) int {
	z := t.zones[l.Zone]
	if !t.vmsKnown || z == nil || z.self < 0 {
		return 0
	}
	owners := z.ownersOf(z.partitionOf(l.Service))
	first := owners[:min(len(owners), warmingVMs)]
	if !slices.ContainsFunc(first, func(v zoneMember) bool { return v.name == t.self }) {
		return 0
	}
	return int(t.coldLimit(t.services[l.Service]) / (warmingVMs * coldMargin))
}

// admitsCold reports whether the limit for cold leafs allows this VM one more request to the leaf. A
// warm leaf, and one whose service states no number of requests per second, is not limited.
func (t *Table) admitsCold(now time.Time, l *leaf) bool {
	if t.services[l.Service].coldPerSecond <= 0 || !l.isCold(now) {
		return true
	}
	return l.coldRequests.recent(now) < t.coldShare(l)
}

// isCold reports whether the leaf is cold or may be: by its entry, or since the evacuation of its
// zone ended only just now.
func (l *leaf) isCold(now time.Time) bool { return l.Cold || now.Before(l.maybeColdUntil) }
