package rollout

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// Jon's key is replaced. While both keys are active, either can sign. A VM that
// starts after the old key was retired must refuse a bundle that only the old key
// signed off, and accept it with a sign-off by the new key. So if the old key is
// retired before the bundle in force is signed off with the new one, VMs that start
// after that never become ready.
func TestVMRefusesSignOffByRetiredKey(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	env := newTestEnv(t)
	digest := env.pushSignedOff(1)
	byOldKey := env.rollOutAll(digest)[0]
	newKey, err := bundle.NewPrivateKey("jon-2", "jon")
	g.Expect(err).NotTo(HaveOccurred())
	bothActive, err := bundle.NewKeyring(append(env.keys.Keys(), newKey.Public())...)
	g.Expect(err).NotTo(HaveOccurred())
	keys := bothActive.Keys()
	for i := range keys {
		keys[i].Retired = keys[i].Retired || keys[i].ID == "jon-1"
	}
	oldRetired, err := bundle.NewKeyring(keys...)
	g.Expect(err).NotTo(HaveOccurred())

	env.keys = bothActive
	_, err = env.client("jon", env.store).SignOff(ctx, digest, "old key, still valid")
	g.Expect(err).NotTo(HaveOccurred())
	env.priv["jon"] = newKey
	_, err = env.client("jon", env.store).SignOff(ctx, digest, "new key")
	g.Expect(err).NotTo(HaveOccurred())

	f := NewFollower(Options{Deployment: "vatnsleit", Keys: oldRetired, Store: env.store})
	fetch := env.fetchFrom(env.packages(1))
	g.Expect(result.CodeOf(f.OfferHead(ctx, byOldKey, fetch))).To(Equal(result.UnknownKey))
	env.keys = oldRetired
	byNewKey := env.rollOutAll(digest)[0]
	g.Expect(f.OfferHead(ctx, byNewKey, fetch)).To(Succeed())
	audit, err := env.client("asta", env.store).Audit(ctx)
	g.Expect(err).NotTo(HaveOccurred(), "the audit chain is still verified with the retired key")
	g.Expect(audit.Entries).To(HaveLen(2))
}

// In a large fleet most VMs get heads from peers and must read the head rarely. If they
// read it as often as the VMs that watch the platform, 950 of them would use half
// of the platform's reads.
func TestIdleFollowerDoesNotRereadOften(t *testing.T) {
	g := NewWithT(t)
	env := newTestEnv(t)
	env.rollOutAll(env.pushSignedOff(1))
	f := NewFollower(Options{
		Deployment: "vatnsleit", Keys: env.keys, Store: env.store,
		RereadInterval: 5 * time.Millisecond, IdleInterval: time.Hour,
	})
	f.Start()
	defer func() { g.Expect(f.Stop(context.Background())).To(Succeed()) }()
	g.Eventually(f.Revision, eventTimeout).Should(Equal(uint64(1)))
	before := env.store.Counters()
	f.SetWatching(true)
	g.Eventually(func() int { return env.store.Counters().Get - before.Get }, eventTimeout).Should(BeNumerically(">", 3))
	f.SetWatching(false)
	// One read may be in progress, and the change of mode causes one more.
	g.Eventually(func() bool {
		calls := env.store.Counters().Get
		time.Sleep(50 * time.Millisecond)
		return env.store.Counters().Get == calls
	}, eventTimeout).Should(BeTrue())
}
