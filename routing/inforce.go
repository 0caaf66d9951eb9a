package routing

import "sync/atomic"

// InForce holds the manifest in force. It is safe for concurrent use.
//
// Invariant: within a process the version only increases, in whatever order manifests
// are read. Otherwise a slow read that ends after a later one would bring back a route
// that has been removed.
type InForce struct {
	manifest atomic.Pointer[Manifest]
}

// Get returns the manifest in force, or nil if there has been none yet.
func (f *InForce) Get() *Manifest { return f.manifest.Load() }

// Offer puts m in force if it is newer than the manifest in force, and reports whether
// it did.
func (f *InForce) Offer(m *Manifest) bool {
	for {
		old := f.manifest.Load()
		if old != nil && old.Version >= m.Version {
			return false
		}
		if f.manifest.CompareAndSwap(old, m) {
			return true
		}
	}
}
