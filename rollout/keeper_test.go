package rollout

import (
	"context"
	"flag"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/platformsim"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
)

func TestMain(m *testing.M) {
	// The same random sequences in every run.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

// rollOutAll rolls digests out in order and returns the signed heads.
func (o *testEnv) rollOutAll(digests ...string) [][]byte {
	o.t.Helper()
	var heads [][]byte
	for _, d := range digests {
		if _, err := o.client("asta", o.store).Rollout(context.Background(), d, Request{Reason: "test"}); err != nil {
			o.t.Fatal(err)
		}
		heads = append(heads, o.head().Value)
	}
	return heads
}

func (o *testEnv) head() objstore.Object {
	o.t.Helper()
	obj, err := o.store.Get(context.Background(), KindHead, "vatnsleit")
	if err != nil {
		o.t.Fatal(err)
	}
	return obj
}

// fetch reads packaged bundles around all faults, as from a peer.
func (o *testEnv) fetch(packages map[string][]byte) FetchFunc {
	return func(_ context.Context, digest string) ([]byte, error) {
		if raw, ok := packages[digest]; ok {
			return raw, nil
		}
		return nil, result.Errorf(result.BundleNotHeld, "%s", digest)
	}
}

func (o *testEnv) packages(versions ...int) map[string][]byte {
	o.t.Helper()
	all := map[string][]byte{}
	for _, n := range versions {
		signed, err := bundle.Package(o.version(n), o.priv["sigrun"])
		if err != nil {
			o.t.Fatal(err)
		}
		all[bundle.Digest(o.version(n))] = signed.Bytes()
	}
	return all
}

// A VM hears of revision 2 from a slow peer and of revision 3 from the
// platform. The bundle of 2 arrives after 3 is in force. A user would see the
// VM fall back to 2; the cause would be a comparison made before the fetch only.
func TestLateBundleDoesNotReplaceNewerOne(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	o := newTestEnv(t)
	heads := o.rollOutAll(o.pushSignedOff(1), o.pushSignedOff(2), o.pushSignedOff(3))
	k := NewFollower(Options{Deployment: "vatnsleit", Keys: o.keys, Store: o.store})
	all := o.fetch(o.packages(1, 2, 3))
	started, finish := make(chan struct{}), make(chan struct{})
	slow := make(chan error)
	go func() {
		slow <- k.OfferHead(ctx, heads[1], func(ctx context.Context, digest string) ([]byte, error) {
			close(started)
			<-finish
			return all(ctx, digest)
		})
	}()
	<-started
	g.Expect(k.OfferHead(ctx, heads[2], all)).To(Succeed())
	close(finish)
	g.Expect(<-slow).To(Succeed())
	g.Expect(k.Revision()).To(Equal(uint64(3)))
	g.Expect(result.Of(k.OfferHead(ctx, heads[0], all))).To(Equal(result.StaleExchange))
	g.Expect(k.Revision()).To(Equal(uint64(3)))
}

// The platform answers from a copy that lags, or its store is restored from an
// old one, and then holds another entry under the revision in force. A user
// would see VMs go back, or two VMs with different bundles under one revision.
func TestRevertedStoreDoesNotDowngradeVMs(t *testing.T) {
	g := NewWithT(t)
	o := newTestEnv(t)
	o.rollOutAll(o.pushSignedOff(1))
	old := o.head()
	store := &staleStore{Store: o.store}
	k := o.follower(store)
	o.rollOutAll(o.pushSignedOff(2))
	g.Eventually(k.Revision, eventTimeout).Should(Equal(uint64(2)))
	inForce := k.Current()

	store.setHead(&old)
	read := k.PlatformContact()
	g.Eventually(func() bool { return k.PlatformContact().After(read.Add(30 * time.Millisecond)) }, eventTimeout).Should(BeTrue())
	g.Expect(k.Current()).To(BeIdenticalTo(inForce))

	other := newTestEnv(t)
	other.keys, other.priv = o.keys, o.priv
	other.rollOutAll(other.pushSignedOff(3), other.pushSignedOff(4))
	fork := other.head()
	store.setHead(&fork)
	g.Eventually(func() result.Code { return result.Of(k.LastRefusal()) }, eventTimeout).Should(Equal(result.BrokenAudit))
	g.Expect(k.Current()).To(BeIdenticalTo(inForce))
}

// Operators build on a restored store whose chain is past its head. What they
// roll out would never come into force, since VMs are at a higher revision; so
// they must be told instead of "accepted".
func TestRolloutOnRevertedStoreIsRefused(t *testing.T) {
	g := NewWithT(t)
	o := newTestEnv(t)
	first, second := o.pushSignedOff(1), o.pushSignedOff(2)
	o.rollOutAll(first)
	old := o.head()
	o.rollOutAll(second)
	now := o.head()
	_, err := o.store.Put(context.Background(), KindHead, "vatnsleit", now.Version, old.Value)
	g.Expect(err).NotTo(HaveOccurred())
	asta := o.client("asta", o.store)
	_, err = asta.Rollout(context.Background(), second, Request{Reason: "again"})
	g.Expect(result.Of(err)).To(Equal(result.BrokenAudit))

	version := o.head().Version
	_, err = o.store.Put(context.Background(), KindHead, "vatnsleit", version, []byte("{}"))
	g.Expect(err).NotTo(HaveOccurred(), "overwritten with what is no head")
	for range 2 {
		restored, err := asta.RestoreHead(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(restored.Revision).To(Equal(uint64(2)))
		g.Expect(o.head().Value).To(Equal(now.Value))
	}
	e, err := asta.Rollout(context.Background(), second, Request{Reason: "again"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.Revision).To(Equal(uint64(3)))
}

// A head or bundle is handed to a VM that was changed after its sign-off, that
// an unknown or retired key signed, that its author signed off, that was
// recalled, or that is no bundle at all. A user would see a bundle in force
// that nobody vouched for. The old one must stay, and the VM must say why.
func TestVMRejectsInvalidHeadsAndBundles(t *testing.T) {
	o := newTestEnv(t)
	digest := o.pushSignedOff(1)
	head := o.rollOutAll(digest)[0]
	next, bytesOf := bundle.Digest(o.version(2)), o.packages(1, 2)
	stranger, err := bundle.NewPrivateKey("eve-1", "eve")
	if err != nil {
		t.Fatal(err)
	}
	good := bundle.SignOff{Deployment: "vatnsleit", Digest: next, Person: "jon", After: 1}
	bySelf, byOther := good, good
	bySelf.Person, byOther.Deployment = "sigrun", "pletenica"
	changed := good.Sign(o.priv["jon"])
	changed.Payload = []byte(strings.Replace(string(changed.Payload), `"after":1`, `"after":9`, 1))
	entry := Entry{
		Deployment: "vatnsleit", Revision: 2, Action: ActionRollout, Digest: next,
		Person: "asta", SignOff: good.Sign(o.priv["jon"]),
	}
	with := func(edit func(e *Entry)) Entry {
		e := entry
		edit(&e)
		return e
	}
	notJSON := bundle.Sign(bundle.PurposeBundle, []byte("{"), o.priv["sigrun"])
	cases := []struct {
		name  string
		entry Entry
		key   *bundle.PrivateKey
		raw   []byte
		code  result.Code
	}{
		{"good", entry, o.priv["asta"], bytesOf[next], result.Complete},
		{"entry by an unknown key", entry, stranger, bytesOf[next], result.UnknownKey},
		{"entry by a retired key", with(func(e *Entry) { e.Person = "olaf" }), o.priv["olaf"], bytesOf[next], result.UnknownKey},
		{"entry in another's name", entry, o.priv["jon"], bytesOf[next], result.NotSigned},
		{"another deployment", with(func(e *Entry) { e.Deployment = "pletenica" }), o.priv["asta"], bytesOf[next], result.NotSigned},
		{"no sign-off", with(func(e *Entry) { e.SignOff = bundle.Signed{} }), o.priv["asta"], bytesOf[next], result.NotSigned},
		{"sign-off by the author", with(func(e *Entry) { e.SignOff = bySelf.Sign(o.priv["sigrun"]) }), o.priv["asta"], bytesOf[next], result.SelfSigned},
		{"sign-off for elsewhere", with(func(e *Entry) { e.SignOff = byOther.Sign(o.priv["jon"]) }), o.priv["asta"], bytesOf[next], result.NotSigned},
		{"sign-off changed", with(func(e *Entry) { e.SignOff = changed }), o.priv["asta"], bytesOf[next], result.NotSigned},
		{"sign-off by a retired key", with(func(e *Entry) { e.SignOff = good.Sign(o.priv["olaf"]) }), o.priv["asta"], bytesOf[next], result.UnknownKey},
		{"recalled since", with(func(e *Entry) { e.Recalls = []Recall{{Digest: next, Revision: 2}} }), o.priv["asta"], bytesOf[next], result.Recalled},
		{"recalls forgotten since", with(func(e *Entry) { e.RecallFloor = 2 }), o.priv["asta"], bytesOf[next], result.Recalled},
		{"other bytes than signed", entry, o.priv["asta"], bytesOf[digest], result.NotSigned},
		{"malformed", with(func(e *Entry) { e.Digest = bundle.Digest([]byte("{")) }), o.priv["asta"], notJSON.Bytes(), result.BadBundle},
		{"too large", entry, o.priv["asta"], make([]byte, objstore.MaxValue+1), result.BundleTooLarge},
	}
	for _, c := range cases {
		g := NewWithT(t)
		k := NewFollower(Options{Deployment: "vatnsleit", Keys: o.keys, Store: o.store})
		g.Expect(k.OfferHead(context.Background(), head, o.fetch(bytesOf))).To(Succeed())
		fetch := func(context.Context, string) ([]byte, error) { return c.raw, nil }
		err := k.OfferHead(context.Background(), signEntry(c.entry, c.key).Bytes(), fetch)
		g.Expect(result.Of(err)).To(Equal(c.code), c.name)
		if c.code != result.Complete {
			g.Expect(k.Revision()).To(Equal(uint64(1)), c.name)
			g.Expect(result.Of(k.LastRefusal())).To(Equal(c.code), c.name)
		}
	}
}

// At the moment of acceptance the platform's watches fall silent, or it answers
// slowly. A user would see VMs that go on with the old bundle until the watch
// ends by itself. Re-reads don't wait for watches and bring it.
func TestRolloutReachesVMWhilePlatformSlowOrWatchesSilent(t *testing.T) {
	for name, faults := range map[string]platformsim.Faults{
		"silent watches": {WatchesSilent: true},
		"slow":           {SlowMS: 300}, // head and bundle together take longer than one read may
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			o := newTestEnv(t)
			first, second := o.pushSignedOff(1), o.pushSignedOff(2)
			o.rollOutAll(first)
			k := o.followerWith(Options{Store: o.store, Watch: true, RereadInterval: 10 * time.Millisecond, ReadTimeout: 500 * time.Millisecond})
			g.Eventually(k.Revision, eventTimeout).Should(Equal(uint64(1)))
			o.store.SetFaults(faults)
			o.rollOutAll(second)
			g.Eventually(k.Revision, eventTimeout).Should(Equal(uint64(2)))
		})
	}
}

// A faulty bundle is recalled while VMs can hear of it but not fetch bundles. A
// user would see the faulty bundle stay in force. VMs still hold the one before.
func TestRecallUsesPreviousBundleHeldByVM(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	o := newTestEnv(t)
	heads := o.rollOutAll(o.pushSignedOff(1), o.pushSignedOff(2))
	_, err := o.client("asta", o.store).Recall(ctx, bundle.Digest(o.version(2)), Request{Reason: "faulty"})
	g.Expect(err).NotTo(HaveOccurred())
	k := NewFollower(Options{Deployment: "vatnsleit", Keys: o.keys, Store: o.store})
	for _, head := range heads {
		g.Expect(k.OfferHead(ctx, head, o.fetch(o.packages(1, 2)))).To(Succeed())
	}
	g.Expect(k.OfferHead(ctx, o.head().Value, o.fetch(nil))).To(Succeed())
	g.Expect(k.Current().Digest).To(Equal(bundle.Digest(o.version(1))))
}

// The platform goes down. One VM has revision 2, one was cut off before it and
// has 1, one starts only now. Those that reach a peer must get 2 from it, and
// the one that reaches nobody must go on with 1 and show how old its contact is.
func TestPeersForwardHeadDuringOutage(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	o := newTestEnv(t)
	o.rollOutAll(o.pushSignedOff(1))
	store := &staleStore{Store: o.store}
	cutOff, alone := o.follower(store), o.follower(store)
	g.Eventually(cutOff.Revision, eventTimeout).Should(Equal(uint64(1)))
	g.Eventually(alone.Revision, eventTimeout).Should(Equal(uint64(1)))
	old := o.head()
	store.setHead(&old)
	ahead := o.follower(o.store)
	o.rollOutAll(o.pushSignedOff(2))
	g.Eventually(ahead.Revision, eventTimeout).Should(Equal(uint64(2)))
	o.store.SetFaults(platformsim.Faults{Outage: true})
	started := o.follower(o.store)

	fromPeer := func(_ context.Context, digest string) ([]byte, error) {
		raw, ok := ahead.RawBundle(digest)
		g.Expect(ok).To(BeTrue())
		return raw, nil
	}
	for _, k := range []*Follower{cutOff, started} {
		changed := k.Changed()
		g.Expect(k.OfferHead(ctx, ahead.Head(), fromPeer)).To(Succeed())
		g.Expect(k.Revision()).To(Equal(uint64(2)))
		g.Expect(changed).To(BeClosed())
	}
	g.Expect(started.PlatformContact()).To(BeZero())
	g.Expect(alone.Revision()).To(Equal(uint64(1)))
}
