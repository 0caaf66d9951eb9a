package edge

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/tenant"
)

// namedTenants is how many tenants, those with the most requests, have metrics of their own. The
// metrics of all others are added up, so that their number does not depend on the number of tenants.
const namedTenants = 8

// tenantEnd is what became of a tenant's request.
type tenantEnd int

// The ends of requests.
const (
	tenantServed       tenantEnd = iota
	tenantOverLimit              // refused: the tenant's limit is used up
	tenantLimitUnknown           // refused: it is not known whether the limit is used up
	tenantNoRoom                 // refused: no leaf has room in time, or none is there; nothing has run
	tenantAbandoned              // the caller disconnected
	tenantFailed                 // any other end
	tenantEnds
)

// tenantEndNames are the values of the label end.
var tenantEndNames = [tenantEnds]string{"served", "over_limit", "limit_unknown", "no_room", "abandoned", "failed"}

// endOfRejection returns the end of a request that takeToken has rejected.
func endOfRejection(rejected *rejection) tenantEnd {
	if rejected.status == http.StatusTooManyRequests {
		return tenantOverLimit
	}
	return tenantLimitUnknown
}

// endOfBody returns the end of a request whose body was not read because of err.
func endOfBody(err error) tenantEnd {
	if errors.Is(err, errStopping) || errors.Is(err, errNoMemory) {
		return tenantNoRoom
	}
	return tenantFailed
}

// endOfOutcome returns the end of a request that was given to leafs or other VMs.
func endOfOutcome(verdict scatter.Verdict) tenantEnd {
	switch verdict {
	case scatter.Answered:
		return tenantServed
	case scatter.NotRun:
		return tenantNoRoom
	case scatter.Abandoned:
		return tenantAbandoned
	default:
		return tenantFailed
	}
}

// endCounts counts requests by their end.
type endCounts [tenantEnds]uint64

// tenantStats counts the requests of tenants: of the largest by name, and of all others in sum. A
// tenant that is no longer among the largest loses its counters, and what comes from then on is
// counted with the others. It is safe for concurrent use.
type tenantStats struct {
	mu      sync.Mutex // guards the fields below
	largest *tenant.Largest
	named   map[string]*endCounts
	others  endCounts
}

// newTenantStats returns counters without any request.
func newTenantStats() *tenantStats {
	return &tenantStats{largest: tenant.NewLargest(namedTenants), named: make(map[string]*endCounts)}
}

// count counts a request that has ended. It counts nothing if no tenant is known.
func (s *tenantStats) count(now time.Time, who origin, end tenantEnd) {
	if who.tenant == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen, left := s.largest.Add(now, who.tenant.Name)
	for _, name := range left {
		delete(s.named, name)
	}
	if !chosen {
		s.others[end]++
		return
	}
	counts := s.named[who.tenant.Name]
	if counts == nil {
		counts = new(endCounts)
		s.named[who.tenant.Name] = counts
	}
	counts[end]++
}

// labelEscaper escapes the value of a label in the Prometheus text format.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// write writes the metrics in the Prometheus text format, none before the first request of a tenant.
func (s *tenantStats) write(w io.Writer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.named) == 0 {
		return
	}
	names := make([]string, 0, len(s.named))
	for name := range s.named {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for end, n := range s.named[name] {
			fmt.Fprintf(w, "bramley_edge_tenant_requests_total{tenant=\"%s\",end=%q} %d\n", labelEscaper.Replace(name), tenantEndNames[end], n)
		}
	}
	for end, n := range s.others {
		fmt.Fprintf(w, "bramley_edge_other_tenants_requests_total{end=%q} %d\n", tenantEndNames[end], n)
	}
}
