package edge

import (
	"context"
	"errors"
	"math/rand/v2"

	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// announce makes this VM known to the others once it is ready for their calls.
func (f *follower) announce(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; failures++ {
		if f.ready() {
			err := f.announcer.ensureListed(ctx)
			if err == nil {
				return
			}
			f.log.Warn("announcing failed", "error", err)
		}
		backoff(ctx, failures)
	}
}

// openToPeers lets other VMs call this one, whose entry in the list is found, empty if there is
// none. A VM that can't be called serves its callers all the same.
func (f *follower) openToPeers(entry scatter.VM) error {
	self, err := f.announcer.ensureKey(entry)
	if err != nil {
		return err
	}
	f.announcer.observeList(entry)
	if err := f.listen(self); err != nil {
		f.joined()
		return err
	}
	return nil
}

// vms follows the list of the system's VMs.
func (f *follower) vms() resource {
	known := make(map[string]scatter.VM)
	settled := false
	apply := func(at Revision) {
		others := make([]scatter.VM, 0, len(known))
		for name, vm := range known {
			if name != f.self.Name {
				others = append(others, vm)
			}
		}
		f.e.setVMs(others)
		f.log.Info("other VMs", "count", len(others), "revision", at)
	}
	announce := func(ctx context.Context) error {
		if !f.ready() {
			return nil
		}
		return f.announcer.ensureListed(ctx)
	}
	list := func(ctx context.Context) (Revision, error) {
		vms, at, err := f.store.VMs(ctx)
		if err != nil {
			return 0, err
		}
		clear(known)
		for _, vm := range vms {
			known[vm.Name] = vm
		}
		return at, f.openToPeers(known[f.self.Name])
	}
	return resource{
		name: "vms",
		read: func(ctx context.Context) (Revision, error) {
			at, err := list(ctx)
			if err != nil {
				return 0, err
			}
			if f.settings.FirstStart && !settled {
				// All VMs start at once, and each would take itself for the only one of
				// its zone. One that is announced before it is ready declines what it
				// is asked.
				settled = true
				if err := f.announcer.ensureListed(ctx); err != nil {
					return 0, err
				}
				sleep(ctx, firstStartPause)
				if at, err = list(ctx); err != nil {
					return 0, err
				}
			}
			apply(at)
			f.joined()
			return at, announce(ctx)
		},
		watch: func(ctx context.Context, since Revision) (Revision, bool, error) {
			c, err := f.store.WatchVMs(ctx, since, vmsWatchTimeout)
			if err != nil {
				if !errors.Is(err, ErrHistoryCompacted) {
					sleep(ctx, vmsRetryPause/2+rand.N(vmsRetryPause/2))
				}
				return 0, false, err
			}
			for _, vm := range c.Present {
				known[vm.Name] = vm
				if vm.Name == f.self.Name {
					f.announcer.observeChange(vm)
				}
			}
			for _, name := range c.Deleted {
				delete(known, name)
				if name == f.self.Name {
					f.announcer.observeChange(scatter.VM{})
				}
			}
			apply(c.Revision)
			return c.Revision, len(c.Present)+len(c.Deleted) > 0, announce(ctx)
		},
		pause: vmsPause,
	}
}
