package rollout

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/platformsim"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// eventTimeout bounds each wait for an event that must happen.
const eventTimeout = 20 * time.Second

// testEnv holds the store, the people's keys and the bundle that one test uses.
type testEnv struct {
	t     *testing.T
	store *platformsim.Store
	keys  *bundle.Keyring               // the people's public keys
	priv  map[string]*bundle.PrivateKey // by person
	data  []byte                        // bundle written by sigrun
}

// newTestEnv returns an environment with four people who have one key each:
// sigrun, the author of the bundle, jon, asta, and olaf, whose key is retired.
func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	data, err := os.ReadFile("../examples/vatnsleit.json")
	if err != nil {
		t.Fatal(err)
	}
	env := &testEnv{t: t, store: platformsim.NewStore(), priv: map[string]*bundle.PrivateKey{}, data: data}
	var public []bundle.PublicKey
	for _, person := range []string{"sigrun", "jon", "asta", "olaf"} {
		key, err := bundle.NewPrivateKey(person+"-1", person)
		if err != nil {
			t.Fatal(err)
		}
		env.priv[person] = key
		pub := key.Public()
		pub.Retired = person == "olaf"
		public = append(public, pub)
	}
	env.keys, err = bundle.NewKeyring(public...)
	if err != nil {
		t.Fatal(err)
	}
	return env
}

// client returns the Client of a person on the given store. It retries failed calls
// after 1 ms.
func (env *testEnv) client(person string, store objstore.Store) *Client {
	return NewClient(ClientOptions{
		Deployment: "vatnsleit", Keys: env.keys, Store: store, Key: env.priv[person],
		Patience: eventTimeout, Backoff: func(context.Context, int) { time.Sleep(time.Millisecond) },
	})
}

// bundleVersion returns version n of the bundle: it differs in the name only.
func (env *testEnv) bundleVersion(n int) []byte {
	return []byte(strings.Replace(string(env.data), "vatnsleit-2026-12", fmt.Sprintf("version-%d", n), 1))
}

// pushSignedOff pushes version n, signs it off as jon and returns its digest.
func (env *testEnv) pushSignedOff(n int) string {
	env.t.Helper()
	digest, err := env.client("sigrun", env.store).Push(context.Background(), env.bundleVersion(n))
	if err != nil {
		env.t.Fatal(err)
	}
	env.signOff(digest)
	return digest
}

// signOff signs off the bundle with the given digest as jon.
func (env *testEnv) signOff(digest string) {
	env.t.Helper()
	if _, err := env.client("jon", env.store).SignOff(context.Background(), digest, "checked"); err != nil {
		env.t.Fatal(err)
	}
}

// follower starts a follower that watches the store and reads the head every 10 ms. It
// is stopped when the test ends.
func (env *testEnv) follower(store objstore.Store) *Follower {
	env.t.Helper()
	return env.followerWith(Options{Store: store, Watch: true, RereadInterval: 10 * time.Millisecond})
}

// followerWith starts a follower with the given options, to which it adds Deployment
// and Keys. The follower is stopped when the test ends.
func (env *testEnv) followerWith(opts Options) *Follower {
	env.t.Helper()
	opts.Deployment, opts.Keys = "vatnsleit", env.keys
	f := NewFollower(opts)
	f.Start()
	env.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
		defer cancel()
		if err := f.Stop(ctx); err != nil {
			env.t.Error(err)
		}
	})
	return f
}

// A rollout and a recall must come into force on a VM, and the recall must bring the
// earlier bundle back. The recalled bundle must not be rolled out again before it is
// signed off again.
func TestRolloutAndRecallReachFollower(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	env := newTestEnv(t)
	first, second := env.pushSignedOff(1), env.pushSignedOff(2)
	asta := env.client("asta", env.store)
	f := env.follower(env.store)
	g.Expect(f.Current()).To(BeNil())

	_, err := asta.Rollout(ctx, first, Request{Reason: "begin"})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = asta.Rollout(ctx, second, Request{Reason: "more targets"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(f.Revision, eventTimeout).Should(Equal(uint64(2)))
	g.Expect(f.Current().Digest).To(Equal(second))

	e, err := asta.Recall(ctx, second, Request{Reason: "half the targets are wrong"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.Revision).To(Equal(uint64(3)))
	g.Eventually(f.Revision, eventTimeout).Should(Equal(uint64(3)))
	g.Expect(f.Current().Digest).To(Equal(first))

	_, err = asta.Rollout(ctx, second, Request{Reason: "again"})
	g.Expect(result.CodeOf(err)).To(Equal(result.Recalled))
	env.signOff(second)
	_, err = asta.Rollout(ctx, second, Request{Reason: "checked again"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(f.Revision, eventTimeout).Should(Equal(uint64(4)))

	audit, err := asta.Audit(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(audit.Entries).To(HaveLen(4))
	refused, err := asta.Refusals(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Code).To(Equal(result.Recalled))
}
