package scatter

import (
	"cmp"
	"slices"
	"time"
)

// Numbers of the VMs of a zone that read the store for the others.
const (
	readersPerZone = 2
	// spareReaders follow the readers like all others, and are followed when these fail. If
	// each VM turned to the store instead, one that turns some VMs away, the readers of a
	// zone among them, would be called by the rest of the zone.
	spareReaders = 4
)

// StoreReaders says who reads the store in this VM's zone.
type StoreReaders struct {
	Self bool // this VM does, for itself and for those that follow it
	// Others are the VMs that read it or may have to, if this VM does not. The first one that
	// works is followed.
	Others []VM
}

// StoreReaders returns who reads the store in this zone. All VMs that know the same list
// choose alike.
func (t *Table) StoreReaders(now time.Time) StoreReaders {
	names := []string{t.self}
	for name, v := range t.vms {
		if v.Zone == t.zone {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(rank("readers", a), rank("readers", b)) })
	before := slices.Index(names, t.self)
	if before < readersPerZone {
		return StoreReaders{Self: true}
	}
	// Only those before this one, so that no two VMs follow each other.
	names = names[:min(before, readersPerZone+spareReaders)]
	var r StoreReaders
	for _, name := range names {
		if v := t.vms[name]; v != nil && v.available(now) {
			r.Others = append(r.Others, v.VM)
		}
	}
	return r
}
