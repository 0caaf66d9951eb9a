package bundle

import "fmt"

// Warnings returns a finding for each value that is valid but may be a mistake: a
// service that no search uses, or a target that accepts fewer connections than the
// fleet may have VMs.
func (b *Bundle) Warnings() []Finding {
	c := &checker{bundle: b}
	for i, s := range b.Services {
		path := fmt.Sprintf("$.services[%d]", i)
		if !b.hasSearchFor(s.Name) {
			c.add(path+".name", fmt.Sprintf("%q, which no search uses", s.Name), "a service that a search names")
		}
		for j, t := range s.Targets {
			// With fewer connections than VMs, some VMs get none and have to reach
			// the target through the VMs that own its connections.
			if t.Connections < b.Fleet.MaxVMs {
				c.add(fmt.Sprintf("%s.targets[%d].connections", path, j), fmt.Sprint(t.Connections),
					fmt.Sprintf("%d (fleet.max_vms) or more, for each VM to have a connection of its own", b.Fleet.MaxVMs))
			}
		}
	}
	return c.findings
}

// hasSearchFor reports whether a search uses the service with that name.
func (b *Bundle) hasSearchFor(service string) bool {
	for _, s := range b.Searches {
		if s.Service == service {
			return true
		}
	}
	return false
}
