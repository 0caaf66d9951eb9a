package edge

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/routing"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// slowAnnounceStore is a store that takes the time d for an announcement, and fails all reads of other
// resources than the list of VMs.
type slowAnnounceStore struct {
	Store
	d     time.Duration
	begun chan struct{} // closed when the first announcement begins
	once  sync.Once

	mu     sync.Mutex // guards the field below
	listed bool
}

func (s *slowAnnounceStore) setListed(listed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = listed
}

func (s *slowAnnounceStore) isListed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed
}

func (s *slowAnnounceStore) Announce(ctx context.Context, _ scatter.VM) error {
	s.once.Do(func() { close(s.begun) })
	sleep(ctx, s.d)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s.setListed(true)
	return nil
}

func (s *slowAnnounceStore) Withdraw(context.Context, string) error {
	s.setListed(false)
	return nil
}

func (s *slowAnnounceStore) VMs(context.Context) ([]scatter.VM, Revision, error) { return nil, 1, nil }

func (s *slowAnnounceStore) WatchVMs(ctx context.Context, _ Revision, wait time.Duration) (VMChanges, error) {
	sleep(ctx, wait)
	return VMChanges{Revision: 1}, ctx.Err()
}

func (s *slowAnnounceStore) Leafs(context.Context) (LeafList, error) { return LeafList{}, errNoAnswer }

func (s *slowAnnounceStore) Manifest(context.Context) (*routing.Manifest, Revision, error) {
	return nil, 0, errNoAnswer
}

// Guards against the entry of a VM that has ended: the VM is told to stop while it announces itself.
func TestVMToldToStopWhileItAnnouncesItselfLeavesNoEntry(t *testing.T) {
	for name, d := range map[string]time.Duration{"slow": 300 * time.Millisecond, "silent": time.Minute} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			store := &slowAnnounceStore{d: d, begun: make(chan struct{})}
			n := NewNode(Options{
				Settings: &Settings{
					Name: "vm-1", Zone: "z", FirstStart: true, GraceS: 2, Power: 1, MemoryMB: 4096,
					Listen: ListenSettings{Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", VMs: "127.0.0.1:0", Metrics: "127.0.0.1:0"},
					Bounds: BoundSettings{ManifestMS: 3000, DrainMS: 3000},
					Budget: BudgetSettings{WindowS: 1},
				},
				Store: store, HeaderCodec: plainCodec{}, ReadyPath: "/ready", Log: logging.Discard(),
			})
			g.Expect(n.Start()).To(gomega.Succeed())
			g.Eventually(store.begun, "5s").Should(gomega.BeClosed())
			left := make(chan struct{})
			go func() {
				n.Leave()
				close(left)
			}()
			g.Eventually(left, "20s").Should(gomega.BeClosed())
			g.Expect(store.isListed()).To(gomega.BeFalse())
		})
	}
}
