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
	cooldown  cooldown
	inFlight  int
	suspicion suspicion
}

// available reports whether requests may be sent to the VM.
func (v *vm) available(now time.Time) bool { return !v.suspicion.active && !v.cooldown.active(now) }

// memberRetention is how long a VM that left keeps its place among those that divide the
// leafs of its zone. Most come back within seconds under their old name. Without it
// nearly every VM would get another part at each restart of one, and open connections
// to other leafs while the zone is short of VMs anyway.
const memberRetention = 20 * time.Second

// SetVMs takes the other VMs. Those that stay keep what is known of them.
func (t *Table) SetVMs(now time.Time, others []VM) {
	next := make(map[string]*vm, len(others))
	for _, v := range others {
		known := t.vms[v.Name]
		if known == nil || known.VM != v {
			known = &vm{VM: v}
		}
		next[v.Name] = known
		t.members[v.Name] = memberInfo{zone: v.Zone, power: v.Power, seen: now}
	}
	t.vms = next
	t.partitionZones(now)
	t.vmsKnown = true
}

// memberInfo is where a VM stands, and when it was last listed.
type memberInfo struct {
	zone  string
	power float64
	seen  time.Time
}

// Parameters of the VMs that are called for a part.
const (
	// delegatesPerPartition is how many of the owners of a part a VM calls, as long as they answer.
	// Each VM has others, so that connections between VMs grow with the number of parts
	// rather than of VMs.
	delegatesPerPartition = 2
	// minDelegatePower is the part of the power of the strongest owner that another one must have
	// to be called beside it: a request waits for the slowest of its calls.
	minDelegatePower = 0.5
)

// delegates returns the VMs that this one calls for a part of a zone, leaving out those
// that cool down or are under suspicion, and those named except.
func (t *Table) delegates(now time.Time, p zonePartition, except []string) []*vm {
	z := t.zones[p.zone]
	if z == nil {
		return nil
	}
	var list []*vm
	for _, owner := range z.ownersOf(p.partition) {
		v := t.vms[owner.name]
		if v == nil || slices.Contains(except, owner.name) || !v.available(now) {
			continue
		}
		if len(list) > 0 && owner.power < minDelegatePower*list[0].Power {
			break
		}
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b *vm) int { return cmp.Compare(rank(t.self, a.Name), rank(t.self, b.Name)) })
	return list[:min(len(list), delegatesPerPartition)]
}

// pickVM chooses a VM to ask the leafs of a part of a zone, other than those named except: of
// two random partners, the one with fewer of this VM's calls for its power.
func (t *Table) pickVM(now time.Time, p zonePartition, except []string) *vm {
	list := t.delegates(now, p, except)
	if len(list) == 0 {
		return nil
	}
	a, b := t.drawByPower(list), t.drawByPower(list)
	if float64(b.inFlight)*a.Power < float64(a.inFlight)*b.Power {
		return b
	}
	return a
}

// Delegates returns all VMs that this one calls, so that connections to them can be
// opened before they are needed.
func (t *Table) Delegates(now time.Time) []VM {
	var list []VM
	zones := t.shardZones()
	for name, z := range t.zones {
		if !zones[name] {
			continue
		}
		for part := range z.partitions {
			if z.owns(part) {
				continue
			}
			for _, v := range t.delegates(now, zonePartition{zone: name, partition: part}, nil) {
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
		if t.services[l.Service].shard {
			zones[l.Zone] = true
		}
	}
	return zones
}

// drawByPower draws a VM by its power.
func (t *Table) drawByPower(list []*vm) *vm {
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

// CallEnded takes the end of a call to another VM, also long after the query.
func (t *Table) CallEnded(now time.Time, name string, end End) {
	v := t.vms[name]
	if v == nil {
		return
	}
	v.inFlight = max(v.inFlight-1, 0)
	switch end {
	case EndAnswered:
		v.cooldown.recordAnswer()
	case EndUnreachable:
		v.cooldown.recordUnreachable(now)
		v.suspicion.begin(now)
	default:
		v.suspicion.begin(now)
		t.liveness.request(now)
	}
}
