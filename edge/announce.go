package edge

import (
	"context"
	"crypto/rand"
	"log/slog"
	"sync"
	"time"

	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// announcer keeps this VM in the list of VMs. Each write is paid for, so it writes only
// what the list is known to lack: an entry outlives its VM's process, and a VM that was
// killed finds its own again. It is safe for concurrent use.
type announcer struct {
	store Store
	log   *slog.Logger

	mu      sync.Mutex // held during a write; guards the fields below
	self    scatter.VM // without a key until adopt
	listed  bool       // the list has this VM as it is
	written time.Time  // the latest own write
}

// maxListAge is how old a list of VMs may be: one that lacks an entry written since then
// proves nothing.
const maxListAge = 10 * time.Second

// ensureKey completes this VM's entry with the key that others must have to call it: that of
// the entry found in the list, which an earlier life wrote, or else a new one.
func (a *announcer) ensureKey(entry scatter.VM) (scatter.VM, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.self.Key != "" {
		return a.self, nil
	}
	key := []byte(entry.Key)
	if len(key) < wire.MinKeyBytes {
		key = make([]byte, wire.MinKeyBytes)
		if _, err := rand.Read(key); err != nil {
			return scatter.VM{}, err
		}
	}
	a.self.Key = string(key)
	return a.self, nil
}

// observeList takes this VM's entry in a list, empty if there is none.
func (a *announcer) observeList(entry scatter.VM) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if entry == a.self {
		a.listed = true
		return
	}
	if time.Since(a.written) > maxListAge {
		a.listed = false
	}
}

// observeChange takes this VM's entry after a change, empty if it was removed. The withdrawal by an earlier life of this
// VM may be carried out late, after its next life has announced itself.
func (a *announcer) observeChange(entry scatter.VM) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listed = entry == a.self
}

// ensureListed writes this VM's entry unless the list has it.
func (a *announcer) ensureListed(ctx context.Context) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.listed {
		return nil
	}
	if a.self.Key == "" {
		return errNotJoined
	}
	if err := a.store.Announce(ctx, a.self); err != nil {
		return err
	}
	a.listed, a.written = true, time.Now()
	a.log.Info("announced to the other VMs", "address", a.self.Address)
	return nil
}
