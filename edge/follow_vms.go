package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// announce announces this VM to the others once it is ready for their calls. It retries until
// it succeeds or ctx ends.
func (f *follower) announce(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; failures++ {
		if f.ready() {
			err := f.announcer.ensureListed(ctx)
			if err == nil {
				return
			}
			f.log.Warn("announcing this VM failed", "error", err)
		}
		backoff(ctx, failures)
	}
}

// settleTime is how long after this VM has announced itself for the first time the list of VMs is
// expected to hold the others that started with it.
const settleTime = 2 * time.Second

// awaitSettled reads the list of VMs once it holds those that started with this one, until it succeeds or
// ctx ends. It is for a VM that no earlier process has announced. The store may fail just after the start,
// for as long as it likes; what was read before may lack any VM.
func (f *follower) awaitSettled(ctx context.Context) {
	select {
	case <-f.announcer.announced:
		sleep(ctx, settleTime)
	case <-f.settled:
	case <-ctx.Done():
	}
	for failures := 0; ctx.Err() == nil && !f.isSettled(); failures++ {
		vms, _, err := f.store.VMs(ctx)
		if err == nil && slices.ContainsFunc(vms, func(vm scatter.VM) bool { return vm.Name == f.self.Name }) {
			f.settle(vms)
			return
		}
		backoff(ctx, failures)
	}
}

// settle passes a list of VMs to the limits of tenants that holds all that started with this one.
func (f *follower) settle(vms []scatter.VM) {
	f.settleOnce.Do(func() {
		f.e.settleVMs(slices.DeleteFunc(slices.Clone(vms), func(vm scatter.VM) bool { return vm.Name == f.self.Name }))
		f.log.Info("the list of VMs is settled", "count", len(vms)-1)
		close(f.settled)
	})
}

// isSettled reports whether settle was called.
func (f *follower) isSettled() bool {
	select {
	case <-f.settled:
		return true
	default:
		return false
	}
}

// openToPeers starts accepting calls of other VMs. entry is this VM's entry in the list of
// VMs, empty if there is none. If listening fails, this VM still serves its callers.
func (f *follower) openToPeers(entry scatter.VM) error {
	self, err := f.announcer.ensureKey(entry)
	if err != nil {
		return err
	}
	f.announcer.observeList(entry)
	if err := f.listen(self); err != nil {
		f.followResources()
		return err
	}
	return nil
}

// vms returns the resource of the list of VMs, in which each VM of this system announces
// itself. After reading the list, this VM accepts calls of the others, and is announced to
// them if it is ready.
func (f *follower) vms() resource {
	known := make(map[string]scatter.VM) // VMs in the list, by name
	firstRead := true                    // the list has not been read yet
	announcedEarly := false              // announced before this VM was ready, at the first start of the system
	// apply passes the other VMs to the engine. revision is for the log.
	apply := func(revision Revision) {
		others := make([]scatter.VM, 0, len(known))
		for name, vm := range known {
			if name != f.self.Name {
				others = append(others, vm)
			}
		}
		f.e.setVMs(others)
		f.log.Info("other VMs", "count", len(others), "revision", revision)
	}
	// announce announces this VM if it is ready and not in the list.
	announce := func(ctx context.Context) error {
		if !f.ready() {
			return nil
		}
		return f.announcer.ensureListed(ctx)
	}
	// list reads the list of VMs and starts accepting their calls.
	list := func(ctx context.Context) (Revision, error) {
		vms, revision, err := f.store.VMs(ctx)
		if err != nil {
			return 0, err
		}
		clear(known)
		for _, vm := range vms {
			known[vm.Name] = vm
		}
		entry := known[f.self.Name]
		if firstRead && entry.Name != "" {
			// An earlier process of this VM has announced it, as the others were by theirs.
			f.settle(vms)
		}
		firstRead = false
		return revision, f.openToPeers(entry)
	}
	return resource{
		name: "vms",
		read: func(ctx context.Context) (Revision, error) {
			revision, err := list(ctx)
			if err != nil {
				return 0, err
			}
			if f.settings.FirstStart && !announcedEarly {
				// All VMs start at the same time, and each would assume that it is the only
				// VM of its zone. A VM that is announced before it is ready declines the
				// calls that it gets.
				announcedEarly = true
				if err := f.announcer.ensureListed(ctx); err != nil {
					return 0, err
				}
				sleep(ctx, firstStartPause)
				if revision, err = list(ctx); err != nil {
					return 0, err
				}
			}
			apply(revision)
			f.followResources()
			return revision, announce(ctx)
		},
		wait: vmsWatchTimeout,
		watch: func(ctx context.Context, since Revision, wait time.Duration) (Revision, bool, error) {
			c, err := f.store.WatchVMs(ctx, since, wait)
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
		pause: vmsChangePause,
	}
}
