package route

// Standing is where this VM stands towards a target.
type Standing struct {
	// Shared is true if the target is reached through owners by some VMs. If not,
	// every VM has connections of its own and the rest is not set.
	Shared bool
	Owner  bool  // this VM owns connections
	Place  int   // of this VM, if it is an owner
	Live   []int // places of the live owners, the first choice first
}

// Standing returns where this VM stands towards a target of the bundle in force.
func (r *Router) Standing(name string) Standing {
	r.mu.Lock()
	rt := r.targets[name]
	if rt == nil || rt.plan.Direct() {
		r.mu.Unlock()
		return Standing{}
	}
	s := Standing{Shared: true, Owner: rt.own > 0, Place: r.own}
	owners := rt.owners
	r.mu.Unlock()
	holders := r.fleet.Places()
	for _, place := range owners {
		if _, live := holders[place]; live {
			s.Live = append(s.Live, place)
		}
	}
	return s
}
