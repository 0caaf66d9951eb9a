package route

// Ownership states which VMs own connections to a target. VMs are given by their places:
// a place is a number that a VM claims so that no other VM holds it.
type Ownership struct {
	// Shared is true if only some VMs, the owners, have connections to the target, and the
	// others call it through them. If it is false, every VM has its own connections and
	// the other fields aren't set.
	Shared     bool
	Owner      bool  // this VM is one of the owners
	Place      int   // the place that this VM holds, or -1 if it holds none
	LiveOwners []int // places of the owners that are live and not leaving, in the order of share.Plan.OwnerPlaces
}

// Leads reports whether this VM is the one of a target's owners that may hold a connection
// beyond its share while those of the share are silent: the first live one. Without shared
// connections, or without a live owner, each VM with connections is. The spare shares of the
// target, see share.NewPlan, allow it one connection.
func (o Ownership) Leads() bool {
	return !o.Shared || o.Owner && (len(o.LiveOwners) == 0 || o.LiveOwners[0] == o.Place)
}

// Ownership returns the ownership of a target of the bundle in force. For a target that
// isn't in the bundle, Shared is false.
func (r *Router) Ownership(name string) Ownership {
	r.mu.Lock()
	rt := r.targets[name]
	if rt == nil || rt.plan.Direct() {
		r.mu.Unlock()
		return Ownership{}
	}
	o := Ownership{Shared: true, Owner: rt.connections > 0, Place: r.ownPlace}
	owners := rt.owners
	r.mu.Unlock()
	vmByPlace := r.fleet.Places()
	for _, place := range owners {
		if vm, live := vmByPlace[place]; live && !vm.Leaving {
			o.LiveOwners = append(o.LiveOwners, place)
		}
	}
	return o
}
