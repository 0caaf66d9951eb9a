package scatter

import (
	"cmp"
	"slices"
	"time"
)

// Numbers of the VMs of a zone that read the store for the others.
const (
	// readersPerZone is the number of VMs of a zone that always read the store. The other
	// VMs follow them: they get what these have read.
	readersPerZone = 2
	// spareReaders is the number of further VMs of a zone that may have to read the store.
	// They follow the readers like all other VMs. When the readers fail, the other VMs follow
	// the spare readers. Otherwise every VM of the zone would then read the store itself,
	// even a store that refuses the readers.
	spareReaders = 4
)

// StoreReaders says which VMs read the store in this VM's zone.
type StoreReaders struct {
	Self bool // this VM reads the store, for itself and for the VMs that follow it
	// Others are the VMs that this VM may follow if it does not read the store: those that
	// read the store, then those that may have to. This VM follows the first one that works.
	Others []VM
}

// StoreReaders returns the VMs that read the store in this zone. All VMs that know the same list
// of VMs choose the same readers. VMs that this one can't call at the moment are left out of
// Others.
func (t *Table) StoreReaders(now time.Time) StoreReaders {
	names := []string{t.self}
	for name, v := range t.vms {
		if v.Zone == t.zone {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(rank("readers", a), rank("readers", b)) })
	position := slices.Index(names, t.self)
	if position < readersPerZone {
		return StoreReaders{Self: true}
	}
	// Only VMs before this one in the order, so that no two VMs follow each other.
	names = names[:min(position, readersPerZone+spareReaders)]
	var r StoreReaders
	for _, name := range names {
		if v := t.vms[name]; v != nil && v.available(now) {
			r.Others = append(r.Others, v.VM)
		}
	}
	return r
}
