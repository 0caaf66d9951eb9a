package edge

import (
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// announcer maintains this VM's entry in the store's list of VMs. Store writes are billed, so it
// writes only if the entry is known to be missing or different. An entry outlives the process
// that wrote it, so a VM that was killed finds its own entry after a restart. An announcer is
// safe for concurrent use.
type announcer struct {
	store     Store
	log       *slog.Logger
	announced chan struct{} // closed when this VM has written its entry for the first time

	writing    context.Context    // writes of the entry end with it
	stopWrites context.CancelFunc // ends writing

	mu        sync.Mutex // held during a write; guards the fields below
	self      scatter.VM // this VM's entry; Key is empty until ensureKey
	listed    bool       // the store's list of VMs is known to hold exactly the entry self
	withdrawn bool       // the entry was withdrawn, and is not written again
	written   time.Time  // time of this VM's latest write of its entry
}

// newAnnouncer returns the announcer of the VM self, which has no key yet.
func newAnnouncer(store Store, self scatter.VM, log *slog.Logger) *announcer {
	a := &announcer{store: store, self: self, log: log, announced: make(chan struct{})}
	a.writing, a.stopWrites = context.WithCancel(context.Background())
	return a
}

// errWithdrawn means that this VM is about to stop and writes its entry no more.
var errWithdrawn = errors.New("edge: this VM's entry was withdrawn")

// maxListAge is how old a list of VMs may be when it is read. If this VM wrote its entry
// within this time, a list without the entry may be older than the write, and doesn't show
// that the entry is missing.
const maxListAge = 10 * time.Second

// ensureKey sets the key that other VMs must present to call this one, and returns the
// completed entry. It uses the key of entry, which an earlier incarnation of this VM wrote, or
// else generates a new one.
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

// observeList records this VM's entry as found in a list of VMs; entry is empty if there is
// none. A different entry in a list that may be older than this VM's latest write is ignored.
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

// observeChange records this VM's entry after a change of the list; entry is empty if it was
// removed. If the entry is missing or different, ensureListed writes it again. The entry can be
// missing because a withdrawal by an earlier incarnation of this VM is carried out late, after
// this incarnation has announced itself.
func (a *announcer) observeChange(entry scatter.VM) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listed = entry == a.self
}

// ensureListed writes this VM's entry unless the list already has it. It returns errNotJoined
// before ensureKey has set a key, and errWithdrawn after withdraw.
func (a *announcer) ensureListed(ctx context.Context) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.withdrawn:
		return errWithdrawn
	case a.listed:
		return nil
	case a.self.Key == "":
		return errNotJoined
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(a.writing, cancel)()
	if err := a.store.Announce(ctx, a.self); err != nil {
		return err
	}
	if a.written.IsZero() {
		close(a.announced)
	}
	a.listed, a.written = true, time.Now()
	a.log.Info("announced to the other VMs", "address", a.self.Address)
	return nil
}

// withdraw removes this VM's entry, and lets no more be written. It waits for a write in progress, which
// would otherwise be carried out after the removal, and ends it with ctx.
func (a *announcer) withdraw(ctx context.Context) error {
	defer context.AfterFunc(ctx, a.stopWrites)()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.withdrawn = true
	return a.store.Withdraw(ctx, a.self.Name)
}
