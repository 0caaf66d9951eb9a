package objstore_test

import (
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/faultproxy"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/platformsim"
	"github.com/bramleybarrow/bramleybarrow/objstore"
)

// testTimeout bounds each wait for an event that must happen.
const testTimeout = 20 * time.Second

// TestMain checks that no goroutine is left at the end.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newProxiedClient returns a client, a store, and the fault proxy through which the
// client is connected to the store.
func newProxiedClient(t *testing.T, opts objstore.ClientOptions) (*objstore.Client, *platformsim.Store, *faultproxy.Proxy) {
	store := platformsim.NewStore()
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	proxy, err := faultproxy.Start(faultproxy.Options{Target: server.Listener.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { proxy.Close() })
	client := objstore.NewClient(proxy.Address(), opts)
	t.Cleanup(client.Close)
	return client, store, proxy
}

// Guards against a rollout that hangs because calls to the platform time out one
// after another. A device between a VM and the platform has lost the state of all
// open connections: they stay open, but nothing arrives over them. The first call on
// one of them times out. Later calls must not use the other idle connections.
func TestTimeoutClosesAllIdleConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	client, store, proxy := newProxiedClient(t, objstore.ClientOptions{CallTimeout: time.Second})
	var wg sync.WaitGroup
	for range 4 { // leaves four idle connections
		wg.Go(func() { client.Watch(t.Context(), "k", 0) })
	}
	g.Eventually(func() int { return store.Counters().Watch }, testTimeout).Should(gomega.Equal(4))
	_, err := store.Put(t.Context(), "k", "a", 0, []byte(`1`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	wg.Wait()
	proxy.Silence()
	_, err = client.VMs(t.Context())
	g.Expect(err).To(gomega.HaveOccurred())
	_, err = client.VMs(t.Context())
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// Guards against a VM that stays on an old bundle permanently. Its watch waits on a
// connection over which nothing arrives anymore, which looks like a platform on
// which nothing changes. The watch must time out.
func TestSilentWatchTimesOut(t *testing.T) {
	g := gomega.NewWithT(t)
	client, store, _ := newProxiedClient(t, objstore.ClientOptions{WatchTimeout: 100 * time.Millisecond})
	store.SetFaults(platformsim.Faults{WatchesSilent: true})
	_, err := client.Watch(t.Context(), "k", 0)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(t.Context().Err()).NotTo(gomega.HaveOccurred())
}

// Guards against a VM that reports that another VM holds a claim, although the VM
// holds the claim itself. This happens if the connection breaks after the platform
// has executed a write, net/http sends the write again, and the second write conflicts
// with the first.
func TestWriteOnBrokenConnectionIsSentOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	client, store, _ := newProxiedClient(t, objstore.ClientOptions{})
	version, err := client.Put(t.Context(), "k", "a", 0, []byte(`1`)) // its connection is reused
	g.Expect(err).NotTo(gomega.HaveOccurred())
	store.SetFaults(platformsim.Faults{LoseAnswers: 2})
	_, err = client.Put(t.Context(), "k", "a", version, []byte(`2`))
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(err).NotTo(gomega.MatchError(objstore.ErrConflict))
	g.Expect(store.Counters().Put).To(gomega.Equal(2))
	obj, err := client.Get(t.Context(), "k", "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(client.Delete(t.Context(), "k", "a", obj.Version)).NotTo(gomega.Succeed())
	g.Expect(store.Counters().Delete).To(gomega.Equal(1))
}
