package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/peer/facts"
)

const (
	// maxAllWatchVMs is the number of VMs up to which every VM watches the platform.
	// A watch counts as a call, and the platform's rate limits don't grow with the
	// fleet.
	maxAllWatchVMs = 16
	// watchersPerZone is the number of VMs in each availability zone that watch the
	// platform in a larger fleet, so that some are left after the loss of a zone or
	// region.
	watchersPerZone = 2
)

// liveVMs returns the VMs that are alive and not leaving, sorted by name: the
// platform's list, corrected by the known members.
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

// isWatcher reports whether the named VM is one of those that watch the platform.
// While the VMs' views of the fleet differ, a few more or fewer watch.
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

// placeHolders returns the VMs that hold places, by place counted from 0. While a
// place passes from one VM to another both may claim it. The one that isn't
// leaving has it, or the one that started later. A VM that is leaving is marked as
// such: it still serves the requests that it receives, but it should get new ones
// only if no other VM can serve them.
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

// winsPlace reports whether m is the holder of a place that other claims as well.
func winsPlace(m, other facts.Member) bool {
	if leaves := m.State == facts.Leaving; leaves != (other.State == facts.Leaving) {
		return !leaves
	}
	return m.Started > other.Started
}
