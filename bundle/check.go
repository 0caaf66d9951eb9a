package bundle

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"

	"github.com/bramleybarrow/bramleybarrow/internal/strictjson"
)

// Finding is one fault of a bundle: the path of the value in the JSON, the value
// found and the values allowed.
type Finding = strictjson.Finding

// namePattern matches the names, persons and key ids that are allowed.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// nameRule describes namePattern in findings and error messages.
const nameRule = "1 to 63 lower-case letters, digits, '.', '_' or '-', starting with a letter or digit"

// Upper bounds of the numbers in a bundle.
const (
	maxVMs           = 5000   // largest Fleet.MaxVMs, the number of VMs of the deployment
	maxShards        = 10000  // largest number of shards of a service
	maxTargets       = 10000  // largest number of targets of a service; also of zones, services and searches of a bundle
	maxLeaves        = 1000   // largest number of leaves of a target
	maxSlots         = 1000   // largest Target.Slots, the number of requests that one leaf runs at once
	maxConnections   = 100000 // largest Target.Connections, the number that a target accepts from all VMs together
	maxConnectCostMS = 60000  // largest Target.ConnectCostMS, the milliseconds that a target needs to accept one connection
	maxTimeMS        = 600000 // longest time in a bundle, in milliseconds (10 minutes); connect_cost_ms has its own limit
	maxSuspectAfter  = 100    // largest Drain.SuspectAfter, the number of failed status reads in a row until a target counts as lost
	maxAttempts      = 10     // largest Retry.MaxAttempts, the number of attempts per shard
	maxItems         = 10000  // largest Search.MaxItems, the number of result items that a caller may request
)

// Parse decodes and checks a bundle. If the JSON can't be decoded, it returns the
// findings about that, else all findings of Check. A bundle without findings is valid.
func Parse(data []byte) (*Bundle, []Finding) {
	b := &Bundle{}
	if findings := strictjson.Decode(data, b); len(findings) > 0 {
		return b, findings
	}
	return b, b.Check()
}

// Check returns all findings in the decoded bundle: values out of range, duplicate
// names and addresses, and references to names that do not exist. It returns them all at
// once, since an operator who gets one finding at a time would need many pushes.
func (b *Bundle) Check() []Finding {
	c := &checker{bundle: b}
	c.equal("$.format", b.Format, Format)
	c.name("$.deployment", b.Deployment)
	c.name("$.name", b.Name)
	c.name("$.author", b.Author)
	c.intBetween("$.fleet.max_vms", b.Fleet.MaxVMs, 1, maxVMs)
	c.zones()
	c.services()
	c.searches()
	return c.findings
}

// checker checks one bundle and collects the findings. Its methods that take the
// path of a value add a finding with that path unless the value is allowed.
type checker struct {
	bundle   *Bundle
	findings []Finding
}

// add adds a finding: the path of the value, what was found there and what is allowed.
func (c *checker) add(path, found, allowed string) {
	c.findings = append(c.findings, Finding{Path: path, Found: found, Allowed: allowed})
}

// equal adds a finding unless found equals allowed, the only valid value.
func (c *checker) equal(path string, found, allowed int) {
	if found != allowed {
		c.add(path, strconv.Itoa(found), strconv.Itoa(allowed))
	}
}

// intBetween adds a finding unless found is at least low and at most high.
func (c *checker) intBetween(path string, found, low, high int) {
	if found < low || found > high {
		c.add(path, strconv.Itoa(found), fmt.Sprintf("%d to %d", low, high))
	}
}

// floatBetween adds a finding unless found is at least low and at most high. It
// also rejects NaN.
func (c *checker) floatBetween(path string, found, low, high float64) {
	if !(found >= low && found <= high) {
		c.add(path, strconv.FormatFloat(found, 'g', -1, 64), fmt.Sprintf("%g to %g", low, high))
	}
}

// name adds a finding unless found is a valid name.
func (c *checker) name(path, found string) {
	if !namePattern.MatchString(found) {
		c.add(path, strconv.Quote(found), nameRule)
	}
}

// unique adds a finding if value was used before. seen maps each value to the path
// of its first use; unique adds a new value to seen.
func (c *checker) unique(seen map[string]string, path, value string) {
	if first, duplicate := seen[value]; duplicate {
		c.add(path, fmt.Sprintf("%q, which is already used at %s", value, first), "each value once")
		return
	}
	seen[value] = path
}

// length adds a finding unless found, the number of items of a list, is 1 to limit.
func (c *checker) length(path string, found, limit int) {
	if found < 1 || found > limit {
		c.add(path, fmt.Sprintf("%d items", found), fmt.Sprintf("1 to %d items", limit))
	}
}

// zones checks all zones of the bundle.
func (c *checker) zones() {
	c.length("$.zones", len(c.bundle.Zones), maxTargets)
	seen := map[string]string{}
	for i, z := range c.bundle.Zones {
		path := fmt.Sprintf("$.zones[%d]", i)
		c.name(path+".name", z.Name)
		c.name(path+".region", z.Region)
		c.unique(seen, path+".name", z.Name)
	}
}

// services checks all services of the bundle and their targets.
func (c *checker) services() {
	c.length("$.services", len(c.bundle.Services), maxTargets)
	names, targets, addresses := map[string]string{}, map[string]string{}, map[string]string{}
	for i, s := range c.bundle.Services {
		path := fmt.Sprintf("$.services[%d]", i)
		c.name(path+".name", s.Name)
		c.unique(names, path+".name", s.Name)
		c.intBetween(path+".shards", s.Shards, 1, maxShards)
		c.drain(path+".drain", s.Drain)
		c.length(path+".targets", len(s.Targets), maxTargets)
		leaves := 0
		for j, t := range s.Targets {
			targetPath := fmt.Sprintf("%s.targets[%d]", path, j)
			c.target(targetPath, t)
			c.unique(targets, targetPath+".name", t.Name)
			c.unique(addresses, targetPath+".address", t.Address)
			leaves += t.Leaves
		}
		// More leaves than shards are allowed: each leaf holds at least one shard, so
		// some shards then have replicas. Without a leaf, nothing is served.
		if leaves == 0 {
			c.add(path+".targets", "0 leaves in all", "at least 1 leaf")
		}
	}
}

// drain checks the Drain with the given path.
func (c *checker) drain(path string, d Drain) {
	c.intBetween(path+".health_interval_ms", d.HealthIntervalMS, 10, maxTimeMS)
	c.intBetween(path+".health_timeout_ms", d.HealthTimeoutMS, 1, maxTimeMS)
	c.intBetween(path+".suspect_after", d.SuspectAfter, 1, maxSuspectAfter)
	c.intBetween(path+".warmup_ms", d.WarmupMS, 0, maxTimeMS)
}

// target checks one target. The caller checks that its name and address are unique.
func (c *checker) target(path string, t Target) {
	c.name(path+".name", t.Name)
	if !c.hasZone(t.Zone) {
		c.add(path+".zone", strconv.Quote(t.Zone), "the name of one of $.zones")
	}
	if addr, err := netip.ParseAddrPort(t.Address); err != nil || addr.Port() == 0 {
		c.add(path+".address", strconv.Quote(t.Address), "an IP address and port")
	}
	c.intBetween(path+".leaves", t.Leaves, 1, maxLeaves)
	c.intBetween(path+".slots", t.Slots, 1, maxSlots)
	c.intBetween(path+".connections", t.Connections, 1, maxConnections)
	c.floatBetween(path+".connect_cost_ms", t.ConnectCostMS, 0, maxConnectCostMS)
}

// hasZone reports whether the bundle has a zone with that name.
func (c *checker) hasZone(name string) bool {
	for _, z := range c.bundle.Zones {
		if z.Name == name {
			return true
		}
	}
	return false
}

// searches checks all searches of the bundle.
func (c *checker) searches() {
	c.length("$.searches", len(c.bundle.Searches), maxTargets)
	seen := map[string]string{}
	for i, s := range c.bundle.Searches {
		path := fmt.Sprintf("$.searches[%d]", i)
		c.name(path+".name", s.Name)
		c.unique(seen, path+".name", s.Name)
		c.search(path, s)
	}
}

// search checks one search. The caller checks its name.
func (c *checker) search(path string, s Search) {
	switch s.Kind {
	case KindSearch, KindBrowse, KindSubmit:
	default:
		c.add(path+".kind", strconv.Quote(string(s.Kind)), "search, browse or submit")
	}
	switch s.Policy {
	case "", PolicyAdaptive, PolicyPlain:
	default:
		c.add(path+".policy", strconv.Quote(string(s.Policy)), "adaptive, plain or left out")
	}
	if _, ok := c.bundle.Service(s.Service); !ok {
		c.add(path+".service", strconv.Quote(s.Service), "the name of one of $.services")
	}
	c.floatBetween(path+".coverage.min", s.Coverage.Min, 0, 1)
	c.floatBetween(path+".coverage.default", s.Coverage.Default, s.Coverage.Min, 1)
	c.intBetween(path+".coverage.grace_ms", s.Coverage.GraceMS, 0, maxTimeMS)
	c.intBetween(path+".time_limit.min_ms", s.TimeLimit.MinMS, 1, maxTimeMS)
	c.intBetween(path+".time_limit.max_ms", s.TimeLimit.MaxMS, s.TimeLimit.MinMS, maxTimeMS)
	c.intBetween(path+".time_limit.default_ms", s.TimeLimit.DefaultMS, s.TimeLimit.MinMS, s.TimeLimit.MaxMS)
	c.floatBetween(path+".hedge.quantile", s.Hedge.Quantile, 0, 1)
	c.intBetween(path+".hedge.min_delay_ms", s.Hedge.MinDelayMS, 0, maxTimeMS)
	c.floatBetween(path+".hedge.budget", s.Hedge.Budget, 0, 1)
	c.intBetween(path+".retry.max_attempts", s.Retry.MaxAttempts, 1, maxAttempts)
	c.floatBetween(path+".retry.budget", s.Retry.Budget, 0, 1)
	c.intBetween(path+".max_items", s.MaxItems, 1, maxItems)
	if s.Kind == KindSubmit && s.Hedge.Budget != 0 {
		c.add(path+".hedge.budget", strconv.FormatFloat(s.Hedge.Budget, 'g', -1, 64), "0 for a submit, which runs at most once")
	}
}
