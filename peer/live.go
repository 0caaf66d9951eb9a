package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/peer/facts"
)

const (
	// maxAllWatchVMs is the number of live VMs up to which every VM watches the platform
	// for changes. In a larger fleet only some do: a watch counts as a call, and the
	// platform's rate limits don't grow with the fleet.
	maxAllWatchVMs = 16
	// watchersPerZone is the number of VMs in each availability zone that watch the
	// platform in a larger fleet, so that some are left after the loss of a zone or
	// region.
	watchersPerZone = 2
)

// liveVMs returns the VMs that are alive and not leaving, sorted by name. For a VM that
// has a statement in members, the statement decides. For any other VM, the platform's
// list decides. A VM that the list marks as leaving is left out in either case.
func liveVMs(listed []objstore.VM, members []facts.Member) []objstore.VM {
	known := make(map[string]facts.Member, len(members))
	for _, m := range members {
		known[m.Name] = m
	}
	var live []objstore.VM
	for _, vm := range listed {
		if _, hasStatement := known[vm.Name]; !hasStatement && !vm.Leaving {
			live = append(live, vm)
		}
	}
	leaving := leavingNames(listed)
	for _, m := range members {
		// A suspected VM counts as alive until it is lost.
		if (m.State == facts.Alive || m.State == facts.Suspect) && !leaving[m.Name] {
			live = append(live, memberVM(m))
		}
	}
	slices.SortFunc(live, func(a, b objstore.VM) int { return cmp.Compare(a.Name, b.Name) })
	return live
}

// leavingNames returns the names of the VMs that the platform's list marks as leaving.
func leavingNames(listed []objstore.VM) map[string]bool {
	names := map[string]bool{}
	for _, vm := range listed {
		if vm.Leaving {
			names[vm.Name] = true
		}
	}
	return names
}

// memberVM returns the VM that a statement is about, in the form of an entry of the
// platform's list.
func memberVM(m facts.Member) objstore.VM {
	return objstore.VM{Name: m.Name, Address: m.Address, Ops: m.Ops, Zone: m.Zone, Leaving: m.State == facts.Leaving}
}

// isWatcher reports whether the named VM is one of those that watch the platform: in a
// small fleet every VM, otherwise the watchersPerZone VMs of each availability zone with
// the highest watchRank. While the VMs' views of which others are live differ, a few more
// or fewer watch.
func isWatcher(live []objstore.VM, name string) bool {
	if len(live) <= maxAllWatchVMs {
		return true
	}
	i := slices.IndexFunc(live, func(vm objstore.VM) bool { return vm.Name == name })
	if i < 0 {
		return false
	}
	own := watchRank(name)
	higher := 0
	for _, vm := range live {
		if vm.Zone == live[i].Zone && watchRank(vm.Name) > own {
			higher++
		}
	}
	return higher < watchersPerZone
}

// watchRank returns a hash of a VM's name. The VMs of a zone with the highest ranks watch
// the platform.
func watchRank(name string) uint64 {
	return xxhash.Sum64String("watch\x00" + name)
}

// vmsByPlace returns the VMs that hold places and aren't lost, by place. A place is a
// number from 0 that decides to which targets its VM owns connections. While a place
// passes from one VM to another, both may claim it; winsPlace decides which of them has
// it. A VM that is leaving has Leaving set: it still serves the requests that it
// receives, but it should get new ones only if no other VM can serve them.
func vmsByPlace(members []facts.Member) map[int]objstore.VM {
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

// contested reports whether one of the members, other than self, states that it holds the
// place of self. Members that are lost or leaving don't count.
func contested(self facts.Member, members []facts.Member) bool {
	return self.Place != 0 && slices.ContainsFunc(members, func(m facts.Member) bool {
		return m.Name != self.Name && m.Place == self.Place && m.State != facts.Lost && m.State != facts.Leaving
	})
}

// winsPlace reports whether m, and not other, holds a place that both claim. The holder
// is the one that isn't leaving. If both or neither are leaving, it is the one that
// started later.
func winsPlace(m, other facts.Member) bool {
	if leaves := m.State == facts.Leaving; leaves != (other.State == facts.Leaving) {
		return !leaves
	}
	return m.Started > other.Started
}
