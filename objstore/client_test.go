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

// testTimeout bounds each wait for something that is bound to happen.
const testTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newProxiedClient returns a client that reaches a store through a fault proxy.
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

// Operators see rollouts hang for one timeout after another: something between
// a VM and the platform has lost track of all its open connections, which stay
// open and say nothing. The first call to meet one times out; the calls after
// it must not meet the others one by one.
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

// A VM stays on an old bundle for good: its watch waits on a connection that
// has gone silent, which looks just like a platform where nothing changes. The
// watch has to end by itself.
func TestSilentWatchTimesOut(t *testing.T) {
	g := gomega.NewWithT(t)
	client, store, _ := newProxiedClient(t, objstore.ClientOptions{WatchTimeout: 100 * time.Millisecond})
	store.SetFaults(platformsim.Faults{WatchesSilent: true})
	_, err := client.Watch(t.Context(), "k", 0)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(t.Context().Err()).NotTo(gomega.HaveOccurred())
}

// A VM tells a caller that another VM holds its claim, although it holds it
// itself: the connection broke after the write was carried out, and the write
// was sent a second time by the HTTP library, which conflicts with the first.
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
