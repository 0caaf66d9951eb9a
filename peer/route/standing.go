package route

// Ownership is where this VM stands towards a target.
type Ownership struct {
	// Shared is true if the target is reached through owners by some VMs. If not,
	// every VM has connections of its own and the rest is not set.
	Shared     bool
	Owner      bool  // this VM owns connections
	Place      int   // of this VM, if it is an owner
	LiveOwners []int // places of the owners that live and stay, the first choice first
}

// Standing returns where this VM stands towards a target of the bundle in force.
func (r *Router) Standing(name string) Ownership {
	r.mu.Lock()
	rt := r.targets[name]
	if rt == nil || rt.plan.Direct() {
		r.mu.Unlock()
		return Ownership{}
	}
	s := Ownership{Shared: true, Owner: rt.connections > 0, Place: r.place}
	owners := rt.owners
	r.mu.Unlock()
	vmByPlace := r.fleet.Places()
	for _, place := range owners {
		if vm, held := vmByPlace[place]; held && !vm.Leaving {
			s.LiveOwners = append(s.LiveOwners, place)
		}
	}
	return s
}
