package share

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestTotalStaysWithinLimit: whatever the limit and the number of places, and whichever
// VMs hold them, all VMs together must not hold more connections than the target
// accepts. In a large fleet one share must be left free for a frozen owner, unless the
// target accepts only one connection.
func TestTotalStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 200).Draw(t, "limit")
		places := rapid.IntRange(1, 60).Draw(t, "places")
		target := rapid.String().Draw(t, "target")
		plan := NewPlan(limit, places)
		sum := 0
		for place := -1; place <= places; place++ {
			sum += plan.Connections(target, place)
		}
		if sum > limit {
			t.Fatalf("%d connections of %d", sum, limit)
		}
		if !plan.Direct() && limit > 1 && sum+plan.PerOwner > limit {
			t.Fatalf("%d connections of %d leave no share for a frozen owner", sum, limit)
		}
		if limit > 0 && sum == 0 {
			t.Fatal("no VM can reach the target")
		}
		if plan.Direct() && limit >= places && plan.Connections(target, places-1) == 0 {
			t.Fatal("a place has no connections although all connect directly")
		}
	})
}

// TestOwnersAreSpreadEvenly: a VM that owned connections to many more targets than the
// others would be overloaded by their calls.
func TestOwnersAreSpreadEvenly(t *testing.T) {
	g := NewWithT(t)
	const places, targets = 100, 1000
	owned := make([]int, places)
	for i := range targets {
		for _, place := range NewPlan(25, places).OwnerPlaces(fmt.Sprint("target-", i)) {
			owned[place]++
		}
	}
	slices.Sort(owned)
	mean := targets * maxOwners / places
	g.Expect(owned[0]).To(BeNumerically(">", mean/2))
	g.Expect(owned[places-1]).To(BeNumerically("<", mean*2))
}

// ownersByList returns the n owners that a target would have if owners were chosen from a
// list of VMs. The package doesn't choose them so, because such lists lag.
func ownersByList(target string, vms []string, n int) []string {
	return topByWeight(target, vms, func(s string) string { return s }, n)
}

// rollingPeak simulates a fleet of which every VM is replaced, one after another, by a VM
// with a new name. Each VM sees the list as it was some replacements ago, at most lag, and
// chooses the owners from it. plan gives their number and the connections of each.
// rollingPeak returns the largest number of connections to one target at any time.
func rollingPeak(vmCount, targets, lag int, plan Plan) int {
	names := make([]string, vmCount)
	for i := range names {
		names[i] = fmt.Sprint("old-", i)
	}
	history := [][]string{slices.Clone(names)}
	peak := 0
	for step := range vmCount {
		names[step] = fmt.Sprint("new-", step)
		history = append(history, slices.Clone(names))
		for target := range targets {
			peak = max(peak, plan.PerOwner*countSelfDeclaredOwners(fmt.Sprint("target-", target), names, history, lag, plan.Owners))
		}
	}
	return peak
}

// countSelfDeclaredOwners counts the VMs that are among the target's owners according to
// the list that they see: the list as it was 0 to lag replacements ago, which differs from
// VM to VM. names are the current VMs; history holds the lists after each replacement, the
// current one last. owners is the number of owners that a target has.
func countSelfDeclaredOwners(target string, names []string, history [][]string, lag, owners int) int {
	count := 0
	for behind := range lag + 1 {
		seen := ownersByList(target, history[max(len(history)-1-behind, 0)], owners)
		for place, name := range names {
			if place%(lag+1) == behind && slices.Contains(seen, name) {
				count++
			}
		}
	}
	return count
}

// TestReplacementWithLaggingList: all VMs are replaced one after another, while each VM's
// list lags by up to ten replacements. If VMs chose the owners from their own lists, too
// many would count themselves as owners for a while. The target would refuse connections,
// and searches would fail. With fixed places the limit must hold, whatever the lists are.
func TestReplacementWithLaggingList(t *testing.T) {
	g := NewWithT(t)
	const vmCount, targets, limit, lag = 100, 10, 25, 10
	plan := NewPlan(limit, vmCount)
	// The whole limit is divided among the owners, without a spare share.
	full := Plan{Places: vmCount, Owners: plan.Owners, PerOwner: limit / plan.Owners}
	listPeak := rollingPeak(vmCount, targets, lag, full)
	placePeak := 0
	for place := range vmCount {
		placePeak += full.Connections("target-0", place)
	}
	t.Logf("limit %d, peak by places %d, peak by list %d", limit, placePeak, listPeak)
	g.Expect(placePeak).To(BeNumerically("<=", limit))
	g.Expect(listPeak).To(BeNumerically(">", limit), "the list would be enough, and places aren't needed")
}
