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

// TestMain fixes the seed of the property tests and checks that no goroutine is left
// at the end.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

// rollOutAll rolls out the bundles with the given digests as asta, in order, and returns
// the signed head after each rollout.
func (env *testEnv) rollOutAll(digests ...string) [][]byte {
	env.t.Helper()
	var heads [][]byte
	for _, d := range digests {
		if _, err := env.client("asta", env.store).Rollout(context.Background(), d, Request{Reason: "test"}); err != nil {
			env.t.Fatal(err)
		}
		heads = append(heads, env.head().Value)
	}
	return heads
}

// head returns the head object in the store, which must exist.
func (env *testEnv) head() objstore.Object {
	env.t.Helper()
	obj, err := env.store.Get(context.Background(), KindHead, "vatnsleit")
	if err != nil {
		env.t.Fatal(err)
	}
	return obj
}

// fetchFrom returns a FetchFunc that reads from packages, which holds packaged bundles
// by digest, as if from a peer. It is not affected by faults of the store.
func (env *testEnv) fetchFrom(packages map[string][]byte) FetchFunc {
	return func(_ context.Context, digest string) ([]byte, error) {
		if raw, ok := packages[digest]; ok {
			return raw, nil
		}
		return nil, result.Errorf(result.BundleNotHeld, "%s", digest)
	}
}

// packages returns the packaged bundles of the given versions, by digest.
func (env *testEnv) packages(versions ...int) map[string][]byte {
	env.t.Helper()
	all := map[string][]byte{}
	for _, n := range versions {
		signed, err := bundle.Package(env.bundleVersion(n), env.priv["sigrun"])
		if err != nil {
			env.t.Fatal(err)
		}
		all[bundle.Digest(env.bundleVersion(n))] = signed.Bytes()
	}
	return all
}

// A VM gets the head of revision 2 from a slow peer and that of revision 3 from the
// platform. The bundle of revision 2 arrives after revision 3 came into force. If
// revisions were compared only before the fetch of the bundle, the VM would revert to
// revision 2.
func TestLateBundleDoesNotReplaceNewerOne(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	env := newTestEnv(t)
	heads := env.rollOutAll(env.pushSignedOff(1), env.pushSignedOff(2), env.pushSignedOff(3))
	f := NewFollower(Options{Deployment: "vatnsleit", Keys: env.keys, Store: env.store})
	fetch := env.fetchFrom(env.packages(1, 2, 3))
	started, finish := make(chan struct{}), make(chan struct{})
	slowErr := make(chan error)
	go func() {
		slowErr <- f.OfferHead(ctx, heads[1], func(ctx context.Context, digest string) ([]byte, error) {
			close(started)
			<-finish
			return fetch(ctx, digest)
		})
	}()
	<-started
	g.Expect(f.OfferHead(ctx, heads[2], fetch)).To(Succeed())
	close(finish)
	g.Expect(<-slowErr).To(Succeed())
	g.Expect(f.Revision()).To(Equal(uint64(3)))
	g.Expect(result.CodeOf(f.OfferHead(ctx, heads[0], fetch))).To(Equal(result.StaleExchange))
	g.Expect(f.Revision()).To(Equal(uint64(3)))
}

// The platform returns an old head from a lagging copy of its store. Or the store is
// restored from an old copy, and another change then gets the revision in force. The
// test guards against VMs that revert to an earlier revision, and against two VMs
// with different bundles under one revision.
func TestRevertedStoreDoesNotDowngradeVMs(t *testing.T) {
	g := NewWithT(t)
	env := newTestEnv(t)
	env.rollOutAll(env.pushSignedOff(1))
	old := env.head()
	store := &staleStore{Store: env.store}
	f := env.follower(store)
	env.rollOutAll(env.pushSignedOff(2))
	g.Eventually(f.Revision, eventTimeout).Should(Equal(uint64(2)))
	inForce := f.Current()

	store.setHead(&old)
	lastRead := f.PlatformContact()
	g.Eventually(func() bool { return f.PlatformContact().After(lastRead.Add(30 * time.Millisecond)) }, eventTimeout).Should(BeTrue())
	g.Expect(f.Current()).To(BeIdenticalTo(inForce))

	other := newTestEnv(t)
	other.keys, other.priv = env.keys, env.priv
	other.rollOutAll(other.pushSignedOff(3), other.pushSignedOff(4))
	forked := other.head()
	store.setHead(&forked)
	g.Eventually(func() result.Code { return result.CodeOf(f.LastRefusal()) }, eventTimeout).Should(Equal(result.BrokenAudit))
	g.Expect(f.Current()).To(BeIdenticalTo(inForce))
}

// An operator makes a change after the head was restored from an old copy, so that the
// audit chain is ahead of the head. VMs would refuse the change, since its revision is
// in force there with other content. So the operator must get an error instead of
// "accepted". RestoreHead must repair the head, also if it is not a valid entry. After
// that, the change must be accepted.
func TestRolloutOnRevertedStoreIsRefusedUntilRestore(t *testing.T) {
	g := NewWithT(t)
	env := newTestEnv(t)
	first, second := env.pushSignedOff(1), env.pushSignedOff(2)
	env.rollOutAll(first)
	old := env.head()
	env.rollOutAll(second)
	current := env.head()
	_, err := env.store.Put(context.Background(), KindHead, "vatnsleit", current.Version, old.Value)
	g.Expect(err).NotTo(HaveOccurred())
	asta := env.client("asta", env.store)
	_, err = asta.Rollout(context.Background(), second, Request{Reason: "again"})
	g.Expect(result.CodeOf(err)).To(Equal(result.BrokenAudit))

	version := env.head().Version
	_, err = env.store.Put(context.Background(), KindHead, "vatnsleit", version, []byte("{}"))
	g.Expect(err).NotTo(HaveOccurred(), "the head is overwritten with an invalid object")
	for range 2 {
		restored, err := asta.RestoreHead(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(restored.Revision).To(Equal(uint64(2)))
		g.Expect(env.head().Value).To(Equal(current.Value))
	}
	e, err := asta.Rollout(context.Background(), second, Request{Reason: "again"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.Revision).To(Equal(uint64(3)))
}

// A VM gets a head or bundle that was changed after its sign-off, was signed with
// an unknown or retired key, was signed off by its author, was recalled, or is not
// a valid bundle. The VM must refuse it, keep the bundle in force and report the
// reason.
func TestVMRejectsInvalidHeadsAndBundles(t *testing.T) {
	env := newTestEnv(t)
	digest := env.pushSignedOff(1)
	head := env.rollOutAll(digest)[0]
	nextDigest, packages := bundle.Digest(env.bundleVersion(2)), env.packages(1, 2)
	stranger, err := bundle.NewPrivateKey("eve-1", "eve")
	if err != nil {
		t.Fatal(err)
	}
	good := bundle.SignOff{Deployment: "vatnsleit", Digest: nextDigest, Person: "jon", After: 1}
	bySelf, otherDeployment := good, good
	bySelf.Person, otherDeployment.Deployment = "sigrun", "pletenica"
	changed := good.Sign(env.priv["jon"])
	changed.Payload = []byte(strings.Replace(string(changed.Payload), `"after":1`, `"after":9`, 1))
	entry := Entry{
		Deployment: "vatnsleit", Revision: 2, Action: ActionRollout, Digest: nextDigest,
		Person: "asta", SignOff: good.Sign(env.priv["jon"]),
	}
	edited := func(edit func(e *Entry)) Entry {
		e := entry
		edit(&e)
		return e
	}
	notJSON := bundle.Sign(bundle.PurposeBundle, []byte("{"), env.priv["sigrun"])
	cases := []struct {
		name  string
		entry Entry
		key   *bundle.PrivateKey
		raw   []byte
		code  result.Code
	}{
		{"good", entry, env.priv["asta"], packages[nextDigest], result.Complete},
		{"entry by an unknown key", entry, stranger, packages[nextDigest], result.UnknownKey},
		{"entry by a retired key", edited(func(e *Entry) { e.Person = "olaf" }), env.priv["olaf"], packages[nextDigest], result.UnknownKey},
		{"entry in another's name", entry, env.priv["jon"], packages[nextDigest], result.NotSigned},
		{"another deployment", edited(func(e *Entry) { e.Deployment = "pletenica" }), env.priv["asta"], packages[nextDigest], result.NotSigned},
		{"no sign-off", edited(func(e *Entry) { e.SignOff = bundle.Signed{} }), env.priv["asta"], packages[nextDigest], result.NotSigned},
		{"sign-off by the author", edited(func(e *Entry) { e.SignOff = bySelf.Sign(env.priv["sigrun"]) }), env.priv["asta"], packages[nextDigest], result.SelfSigned},
		{"sign-off for another deployment", edited(func(e *Entry) { e.SignOff = otherDeployment.Sign(env.priv["jon"]) }), env.priv["asta"], packages[nextDigest], result.NotSigned},
		{"sign-off changed", edited(func(e *Entry) { e.SignOff = changed }), env.priv["asta"], packages[nextDigest], result.NotSigned},
		{"sign-off by a retired key", edited(func(e *Entry) { e.SignOff = good.Sign(env.priv["olaf"]) }), env.priv["asta"], packages[nextDigest], result.UnknownKey},
		{"recalled since", edited(func(e *Entry) { e.Recalls = []Recall{{Digest: nextDigest, Revision: 2}} }), env.priv["asta"], packages[nextDigest], result.Recalled},
		{"recalls no longer listed", edited(func(e *Entry) { e.RecallFloor = 2 }), env.priv["asta"], packages[nextDigest], result.Recalled},
		{"other bytes than signed", entry, env.priv["asta"], packages[digest], result.NotSigned},
		{"malformed", edited(func(e *Entry) { e.Digest = bundle.Digest([]byte("{")) }), env.priv["asta"], notJSON.Bytes(), result.BadBundle},
		{"too large", entry, env.priv["asta"], make([]byte, objstore.MaxValue+1), result.BundleTooLarge},
	}
	for _, c := range cases {
		g := NewWithT(t)
		f := NewFollower(Options{Deployment: "vatnsleit", Keys: env.keys, Store: env.store})
		g.Expect(f.OfferHead(context.Background(), head, env.fetchFrom(packages))).To(Succeed())
		fetch := func(context.Context, string) ([]byte, error) { return c.raw, nil }
		err := f.OfferHead(context.Background(), signEntry(c.entry, c.key).Bytes(), fetch)
		g.Expect(result.CodeOf(err)).To(Equal(c.code), c.name)
		if c.code != result.Complete {
			g.Expect(f.Revision()).To(Equal(uint64(1)), c.name)
			g.Expect(result.CodeOf(f.LastRefusal())).To(Equal(c.code), c.name)
		}
	}
}

// While a bundle is rolled out, the platform's watches deliver no events, or the
// platform answers slowly. A VM that relied on watches would keep the old bundle until
// its watch times out. Its periodic reads of the head must bring the new bundle.
func TestRolloutReachesVMWhilePlatformSlowOrWatchesSilent(t *testing.T) {
	for name, faults := range map[string]platformsim.Faults{
		"silent watches": {WatchesSilent: true},
		"slow":           {SlowMS: 300}, // head and bundle together take longer than ReadTimeout
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			env := newTestEnv(t)
			first, second := env.pushSignedOff(1), env.pushSignedOff(2)
			env.rollOutAll(first)
			f := env.followerWith(Options{Store: env.store, Watch: true, RereadInterval: 10 * time.Millisecond, ReadTimeout: 500 * time.Millisecond})
			g.Eventually(f.Revision, eventTimeout).Should(Equal(uint64(1)))
			env.store.SetFaults(faults)
			env.rollOutAll(second)
			g.Eventually(f.Revision, eventTimeout).Should(Equal(uint64(2)))
		})
	}
}

// A faulty bundle is recalled while VMs can get the new head but can't fetch
// bundles. They must fall back to the previous bundle, which they still hold, or
// the faulty one would stay in force.
func TestRecallUsesPreviousBundleHeldByVM(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	env := newTestEnv(t)
	heads := env.rollOutAll(env.pushSignedOff(1), env.pushSignedOff(2))
	_, err := env.client("asta", env.store).Recall(ctx, bundle.Digest(env.bundleVersion(2)), Request{Reason: "faulty"})
	g.Expect(err).NotTo(HaveOccurred())
	f := NewFollower(Options{Deployment: "vatnsleit", Keys: env.keys, Store: env.store})
	for _, head := range heads {
		g.Expect(f.OfferHead(ctx, head, env.fetchFrom(env.packages(1, 2)))).To(Succeed())
	}
	g.Expect(f.OfferHead(ctx, env.head().Value, env.fetchFrom(nil))).To(Succeed())
	g.Expect(f.Current().Digest).To(Equal(bundle.Digest(env.bundleVersion(1))))
}

// The platform goes down while one VM has revision 2, two VMs have revision 1, and one
// VM is just starting. A VM that reaches a peer with revision 2 must get this revision
// from the peer, or it would have no bundle or an old one until the platform is back. A
// VM without a peer must continue with revision 1. A VM that never reached the platform
// must report no contact.
func TestPeersForwardHeadDuringOutage(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	env := newTestEnv(t)
	env.rollOutAll(env.pushSignedOff(1))
	store := &staleStore{Store: env.store}
	cutOff, alone := env.follower(store), env.follower(store)
	g.Eventually(cutOff.Revision, eventTimeout).Should(Equal(uint64(1)))
	g.Eventually(alone.Revision, eventTimeout).Should(Equal(uint64(1)))
	old := env.head()
	store.setHead(&old)
	ahead := env.follower(env.store)
	env.rollOutAll(env.pushSignedOff(2))
	g.Eventually(ahead.Revision, eventTimeout).Should(Equal(uint64(2)))
	env.store.SetFaults(platformsim.Faults{Outage: true})
	started := env.follower(env.store)

	fromPeer := func(_ context.Context, digest string) ([]byte, error) {
		raw, ok := ahead.RawBundle(digest)
		g.Expect(ok).To(BeTrue())
		return raw, nil
	}
	for _, f := range []*Follower{cutOff, started} {
		changed := f.Changed()
		g.Expect(f.OfferHead(ctx, ahead.Head(), fromPeer)).To(Succeed())
		g.Expect(f.Revision()).To(Equal(uint64(2)))
		g.Expect(changed).To(BeClosed())
	}
	g.Expect(started.PlatformContact()).To(BeZero())
	g.Expect(alone.Revision()).To(Equal(uint64(1)))
}
