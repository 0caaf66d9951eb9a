package rollout

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// Jon's key is replaced. While both are valid, either signs; a VM that starts
// after the old one was retired must refuse what only the old one vouches for,
// and take it once the new one does. Done in another order than the runbook's,
// a user would see new VMs that never get ready.
func TestKeyRotation(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	o := newTestEnv(t)
	digest := o.pushSignedOff(1)
	byOldKey := o.rollOutAll(digest)[0]
	next, err := bundle.NewPrivateKey("jon-2", "jon")
	g.Expect(err).NotTo(HaveOccurred())
	both, err := bundle.NewKeyring(append(o.keys.Keys(), next.Public())...)
	g.Expect(err).NotTo(HaveOccurred())
	retired := both.Keys()
	for i := range retired {
		retired[i].Retired = retired[i].Retired || retired[i].ID == "jon-1"
	}
	after, err := bundle.NewKeyring(retired...)
	g.Expect(err).NotTo(HaveOccurred())

	o.keys = both
	_, err = o.client("jon", o.store).SignOff(ctx, digest, "old key, still valid")
	g.Expect(err).NotTo(HaveOccurred())
	o.priv["jon"] = next
	_, err = o.client("jon", o.store).SignOff(ctx, digest, "new key")
	g.Expect(err).NotTo(HaveOccurred())

	k := NewFollower(Options{Deployment: "vatnsleit", Keys: after, Store: o.store})
	all := o.fetch(o.packages(1))
	g.Expect(result.Of(k.OfferHead(ctx, byOldKey, all))).To(Equal(result.UnknownKey))
	o.keys = after
	byNewKey := o.rollOutAll(digest)[0]
	g.Expect(k.OfferHead(ctx, byNewKey, all)).To(Succeed())
	audit, err := o.client("asta", o.store).Audit(ctx)
	g.Expect(err).NotTo(HaveOccurred(), "the trail is still verified with the retired key")
	g.Expect(audit.Entries).To(HaveLen(2))
}

// In a large fleet most VMs are told by peers. If they read the platform as
// often as the watchers, 950 of them would take half of its reads.
func TestIdleFollowerDoesNotRereadOften(t *testing.T) {
	g := NewWithT(t)
	o := newTestEnv(t)
	o.rollOutAll(o.pushSignedOff(1))
	k := NewFollower(Options{
		Deployment: "vatnsleit", Keys: o.keys, Store: o.store,
		RereadInterval: 5 * time.Millisecond, IdleInterval: time.Hour,
	})
	k.Start()
	defer func() { g.Expect(k.Stop(context.Background())).To(Succeed()) }()
	g.Eventually(k.Revision, eventTimeout).Should(Equal(uint64(1)))
	before := o.store.Counters()
	k.SetWatching(true)
	g.Eventually(func() int { return o.store.Counters().Get - before.Get }, eventTimeout).Should(BeNumerically(">", 3))
	k.SetWatching(false)
	// One read may be under way and the change of mode makes one.
	g.Eventually(func() bool {
		calls := o.store.Counters().Get
		time.Sleep(50 * time.Millisecond)
		return o.store.Counters().Get == calls
	}, eventTimeout).Should(BeTrue())
}
