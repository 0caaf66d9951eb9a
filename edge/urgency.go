package edge

import (
	"fmt"
	"math"

	"github.com/bramleybarrow/bramleybarrow/fairshare"
	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/tenant"
)

// tenantWeights returns the shares of the room that tenants have while it is short: the rates that
// they may use. Tenants without a limit have none here.
func tenantWeights(tenants []tenant.Tenant) map[string]float64 {
	weights := make(map[string]float64)
	for _, t := range tenants {
		if t.Limit.Limited() {
			weights[t.Name] = t.Limit.RatePerS
		}
	}
	return weights
}

// hundredths returns a share from 0 to 1 in hundredths, for the log.
func hundredths(share float64) float64 { return math.Round(100*share) / 100 }

// yieldFields returns the log fields of a request that yielded to others while room was short, and
// none for one that the forecast alone refused.
func yieldFields(refusal *scatter.Refusal) []any {
	if refusal.Level == 0 {
		return nil
	}
	return []any{"position", hundredths(refusal.Position), "served_to", hundredths(refusal.Level)}
}

// ranked counts a query by the rank of its request, and what it left to others while room was short.
// It counts nothing where requests have no order.
func (s *stats) ranked(spec scatter.Spec, out scatter.Outcome, yields scatter.Yields) {
	if !yields.Ranked {
		return
	}
	rank := min(max(spec.Rank, 0), fairshare.Ranks-1)
	by := "caller"
	if spec.Delegated {
		by = "vm"
	}
	end := "failed"
	switch {
	case yields.Request:
		end = "yielded"
	case out.Verdict == scatter.NotRun:
		end = "refused"
	case out.Verdict == scatter.Answered:
		end = "served"
	}
	s.count(`bramley_edge_ranked_total{rank="%d",by=%q,end=%q}`, rank, by, end)
	if yields.Hedges > 0 {
		s.set.GetOrCreateCounter(yieldedName(rank, "hedge")).Add(yields.Hedges)
	}
	if yields.Retries > 0 {
		s.set.GetOrCreateCounter(yieldedName(rank, "retry")).Add(yields.Retries)
	}
}

// yieldedName returns the name of the counter of hedges or retries that were left out at a rank.
func yieldedName(rank int, what string) string {
	return fmt.Sprintf(`bramley_edge_yielded_total{rank="%d",what=%q}`, rank, what)
}
