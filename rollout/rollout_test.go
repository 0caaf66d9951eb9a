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

// eventTimeout bounds waits that end on an event.
const eventTimeout = 20 * time.Second

// testEnv holds the people, keys and store that the tests share.
type testEnv struct {
	t     *testing.T
	store *platformsim.Store
	keys  *bundle.Keyring
	priv  map[string]*bundle.PrivateKey
	data  []byte // of a bundle by sigrun
}

// newTestEnv has sigrun, the author, and jon and asta; each has one key, and
// olaf's is retired.
func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	data, err := os.ReadFile("../examples/vatnsleit.json")
	if err != nil {
		t.Fatal(err)
	}
	o := &testEnv{t: t, store: platformsim.NewStore(), priv: map[string]*bundle.PrivateKey{}, data: data}
	var public []bundle.PublicKey
	for _, person := range []string{"sigrun", "jon", "asta", "olaf"} {
		key, err := bundle.NewPrivateKey(person+"-1", person)
		if err != nil {
			t.Fatal(err)
		}
		o.priv[person] = key
		pub := key.Public()
		pub.Retired = person == "olaf"
		public = append(public, pub)
	}
	o.keys, err = bundle.NewKeyring(public...)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

func (o *testEnv) client(person string, store objstore.Store) *Client {
	return NewClient(ClientOptions{
		Deployment: "vatnsleit", Keys: o.keys, Store: store, Key: o.priv[person],
		Patience: eventTimeout, Backoff: func(context.Context, int) { time.Sleep(time.Millisecond) },
	})
}

// version returns the bundle under another name.
func (o *testEnv) version(n int) []byte {
	return []byte(strings.Replace(string(o.data), "vatnsleit-2026-12", fmt.Sprintf("version-%d", n), 1))
}

// pushSignedOff pushes version n and has jon sign it off.
func (o *testEnv) pushSignedOff(n int) string {
	o.t.Helper()
	digest, err := o.client("sigrun", o.store).Push(context.Background(), o.version(n))
	if err != nil {
		o.t.Fatal(err)
	}
	o.signOff(digest)
	return digest
}

func (o *testEnv) signOff(digest string) {
	o.t.Helper()
	if _, err := o.client("jon", o.store).SignOff(context.Background(), digest, "checked"); err != nil {
		o.t.Fatal(err)
	}
}

func (o *testEnv) follower(store objstore.Store) *Follower {
	o.t.Helper()
	return o.followerWith(Options{Store: store, Watch: true, RereadInterval: 10 * time.Millisecond})
}

// followerWith starts a keeper that stops with the test.
func (o *testEnv) followerWith(opts Options) *Follower {
	o.t.Helper()
	opts.Deployment, opts.Keys = "vatnsleit", o.keys
	k := NewFollower(opts)
	k.Start()
	o.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
		defer cancel()
		if err := k.Stop(ctx); err != nil {
			o.t.Error(err)
		}
	})
	return k
}

func TestRolloutAndRecallReachFollower(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	o := newTestEnv(t)
	first, second := o.pushSignedOff(1), o.pushSignedOff(2)
	asta := o.client("asta", o.store)
	k := o.follower(o.store)
	g.Expect(k.Current()).To(BeNil())

	_, err := asta.Rollout(ctx, first, Request{Reason: "begin"})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = asta.Rollout(ctx, second, Request{Reason: "more targets"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(k.Revision, eventTimeout).Should(Equal(uint64(2)))
	g.Expect(k.Current().Digest).To(Equal(second))

	e, err := asta.Recall(ctx, second, Request{Reason: "half the targets are wrong"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.Revision).To(Equal(uint64(3)))
	g.Eventually(k.Revision, eventTimeout).Should(Equal(uint64(3)))
	g.Expect(k.Current().Digest).To(Equal(first))

	_, err = asta.Rollout(ctx, second, Request{Reason: "again"})
	g.Expect(result.Of(err)).To(Equal(result.Recalled))
	o.signOff(second)
	_, err = asta.Rollout(ctx, second, Request{Reason: "checked again"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(k.Revision, eventTimeout).Should(Equal(uint64(4)))

	audit, err := asta.Audit(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(audit.Entries).To(HaveLen(4))
	refused, err := asta.Refusals(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Code).To(Equal(result.Recalled))
}
