package scatter

import (
	"cmp"
	"slices"
	"time"
)

// VM is another VM that can ask the leafs near it.
type VM struct {
	Name    string
	Zone    string
	Address string  // IP and port of its inner listener
	Power   float64 // processor, in cores
	Key     string  // that a caller of this VM must have; secret
}

type vm struct {
	VM
	cooldown cooldown
	flying   int
	suspect  suspicion
}

// asked reports whether requests may be sent to the VM.
func (v *vm) asked(now time.Time) bool { return !v.suspect.held && !v.cooldown.active(now) }

// keepPlace is how long a VM that left keeps its place among those that divide the
// leafs of its zone. Most come back within seconds under their old name. Without it
// nearly every VM would get another part at each restart of one, and open connections
// to other leafs while the zone is short of VMs anyway.
const keepPlace = 20 * time.Second

// SetVMs takes the other VMs. Those that stay keep what is known of them.
func (t *Table) SetVMs(now time.Time, others []VM) {
	next := make(map[string]*vm, len(others))
	for _, v := range others {
		known := t.vms[v.Name]
		if known == nil || known.VM != v {
			known = &vm{VM: v}
		}
		next[v.Name] = known
		t.places[v.Name] = vmPlace{zone: v.Zone, power: v.Power, seen: now}
	}
	t.vms = next
	t.divide(now)
	t.listed = true
}

// vmPlace is where a VM stands, and when it was last listed.
type vmPlace struct {
	zone  string
	power float64
	seen  time.Time
}

// Parameters of the VMs that are called for a part.
const (
	// partnersPerPart is how many of the owners of a part a VM calls, as long as they answer.
	// Each VM has others, so that connections between VMs grow with the number of parts
	// rather than of VMs.
	partnersPerPart = 2
	// partnerPower is the part of the power of the strongest owner that another one must have
	// to be called beside it: a request waits for the slowest of its calls.
	partnerPower = 0.5
)

// partners returns the VMs that this one calls for a part of a zone, leaving out those
// that cool down or are under suspicion, and those named except.
func (t *Table) partners(now time.Time, p place, except []string) []*vm {
	z := t.zones[p.zone]
	if z == nil {
		return nil
	}
	var list []*vm
	for _, owner := range z.ownersOf(p.part) {
		v := t.vms[owner.name]
		if v == nil || slices.Contains(except, owner.name) || !v.asked(now) {
			continue
		}
		if len(list) > 0 && owner.power < partnerPower*list[0].Power {
			break
		}
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b *vm) int { return cmp.Compare(rank(t.self, a.Name), rank(t.self, b.Name)) })
	return list[:min(len(list), partnersPerPart)]
}

// pickVM chooses a VM to ask the leafs of a part of a zone, other than those named except: of
// two random partners, the one with fewer of this VM's calls for its power.
func (t *Table) pickVM(now time.Time, p place, except []string) *vm {
	list := t.partners(now, p, except)
	if len(list) == 0 {
		return nil
	}
	a, b := t.drawVM(list), t.drawVM(list)
	if float64(b.flying)*a.Power < float64(a.flying)*b.Power {
		return b
	}
	return a
}

// Partners returns all VMs that this one calls, so that connections to them can be
// opened before they are needed.
func (t *Table) Partners(now time.Time) []VM {
	var list []VM
	zones := t.shardZones()
	for name, z := range t.zones {
		if !zones[name] {
			continue
		}
		for part := range z.parts {
			if z.owns(part) {
				continue
			}
			for _, v := range t.partners(now, place{zone: name, part: part}, nil) {
				list = append(list, v.VM)
			}
		}
	}
	return list
}

// shardZones returns the zones that have leafs of shards.
func (t *Table) shardZones() map[string]bool {
	zones := make(map[string]bool)
	for _, l := range t.leafs {
		if t.groups[l.Service].shard {
			zones[l.Zone] = true
		}
	}
	return zones
}

// drawVM draws a VM by its power.
func (t *Table) drawVM(list []*vm) *vm {
	total := 0.0
	for _, v := range list {
		total += v.Power
	}
	at := t.rng.Float64() * total
	for _, v := range list {
		if at -= v.Power; at < 0 {
			return v
		}
	}
	return list[len(list)-1]
}

// EndedAtVM takes the end of a call to another VM, also long after the query.
func (t *Table) EndedAtVM(now time.Time, name string, end End) {
	v := t.vms[name]
	if v == nil {
		return
	}
	v.flying = max(v.flying-1, 0)
	switch end {
	case EndAnswered:
		v.cooldown.answered()
	case EndUnreachable:
		v.cooldown.unreachable(now)
		v.suspect.hold(now)
	default:
		v.suspect.hold(now)
		t.liveness.raise(now)
	}
}
