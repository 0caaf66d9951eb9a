package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/peer/facts"
)

const (
	// maxAllWatchVMs is the size of fleet up to which every VM watches the
	// platform. A watch counts as a call, and the platform's rates don't grow
	// with the fleet.
	maxAllWatchVMs = 16
	// watchersPerZone is how many VMs of each availability zone watch in a
	// larger fleet, so that the loss of a zone or region leaves some.
	watchersPerZone = 2
)

// liveVMs corrects the platform's list by what is known of the VMs.
func liveVMs(listed []objstore.VM, members []facts.Member) []objstore.VM {
	known := make(map[string]facts.Member, len(members))
	for _, m := range members {
		known[m.Name] = m
	}
	var live []objstore.VM
	for _, vm := range listed {
		if _, corrected := known[vm.Name]; !corrected && !vm.Leaving {
			live = append(live, vm)
		}
	}
	leaving := leavingNames(listed)
	for _, m := range members {
		if (m.State == facts.Alive || m.State == facts.Suspect) && !leaving[m.Name] {
			live = append(live, memberVM(m))
		}
	}
	slices.SortFunc(live, func(a, b objstore.VM) int { return cmp.Compare(a.Name, b.Name) })
	return live
}

func leavingNames(listed []objstore.VM) map[string]bool {
	names := map[string]bool{}
	for _, vm := range listed {
		if vm.Leaving {
			names[vm.Name] = true
		}
	}
	return names
}

func memberVM(m facts.Member) objstore.VM {
	return objstore.VM{Name: m.Name, Address: m.Address, Ops: m.Ops, Zone: m.Zone, Leaving: m.State == facts.Leaving}
}

// isWatcher tells whether the named VM is one of those that watch the platform.
// VMs whose views differ for a while make it a few more or fewer.
func isWatcher(live []objstore.VM, name string) bool {
	if len(live) <= maxAllWatchVMs {
		return true
	}
	at := slices.IndexFunc(live, func(vm objstore.VM) bool { return vm.Name == name })
	if at < 0 {
		return false
	}
	own := watchRank(name)
	ahead := 0
	for _, vm := range live {
		if vm.Zone == live[at].Zone && watchRank(vm.Name) > own {
			ahead++
		}
	}
	return ahead < watchersPerZone
}

func watchRank(name string) uint64 {
	return xxhash.Sum64String("watch\x00" + name)
}

// placeHolders returns the VMs that hold places. While a place changes hands two may
// claim it; the one that stays has it, or the one that started later. A VM that is
// leaving is returned as such: it still serves what reaches it, but nothing new
// should, unless nobody else can.
func placeHolders(members []facts.Member) map[int]objstore.VM {
	holders := map[int]facts.Member{}
	for _, m := range members {
		if m.Place == 0 || m.State == facts.Lost {
			continue
		}
		if other, taken := holders[m.Place-1]; !taken || winsPlace(m, other) {
			holders[m.Place-1] = m
		}
	}
	places := make(map[int]objstore.VM, len(holders))
	for place, m := range holders {
		places[place] = memberVM(m)
	}
	return places
}

// winsPlace tells whether m has a place that other claims as well.
func winsPlace(m, other facts.Member) bool {
	if leaves := m.State == facts.Leaving; leaves != (other.State == facts.Leaving) {
		return !leaves
	}
	return m.Started > other.Started
}
