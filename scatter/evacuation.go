package scatter

import (
	"slices"
	"time"
)

// Evacuated zones. An operator evacuates a zone to keep all requests away from its leafs, for
// instance before work on its power supply. The leafs stay listed and may stay healthy.
//
// A leaf of an evacuated zone is not usable: it gets no first attempt, hedge or retry, and no VM
// is called so that it queries the leaf. Requests in flight end as usual. The zone's VMs still
// serve callers and query leafs elsewhere. The evacuated leafs are never among the common leafs, like
// draining ones. So a VM that does not know of an evacuation yet is declined where that matters.

// SetEvacuatedZones sets the zones whose leafs get no requests. The leafs of a zone whose evacuation
// ends may be cold, and count as such until their entries had time to say otherwise.
func (t *Table) SetEvacuatedZones(now time.Time, zones []string) {
	t.evacuatedZones = slices.Clone(zones)
	for _, l := range t.leafs {
		if l.evacuated && !slices.Contains(zones, l.Zone) {
			l.maybeColdUntil = now.Add(t.services[l.Service].coldFor)
		}
		t.updateEvacuated(l)
	}
}

// updateEvacuated records for a leaf whether its zone is evacuated.
func (t *Table) updateEvacuated(l *leaf) {
	l.evacuated = slices.Contains(t.evacuatedZones, l.Zone)
}

// gapWithoutLeaf returns why no leaf of the named service takes requests: GapEvacuated if a leaf
// would but for the evacuation of its zone, and otherwise GapNoLeaf.
func (t *Table) gapWithoutLeaf(service string) GapCause {
	if s := t.services[service]; s != nil {
		for _, l := range s.leafs {
			if l.evacuated && !l.Draining && !l.addressReused {
				return GapEvacuated
			}
		}
	}
	return GapNoLeaf
}
