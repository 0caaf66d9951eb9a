package platformsim

import (
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/objstore/objstoretest"
)

// Tests use the store directly and over HTTP. Both must behave as objstore.Store requires, so that
// a test fails only for faults of the code that it tests.
func TestStoreConforms(t *testing.T) {
	objstoretest.Run(t, func(*testing.T) objstore.Store { return NewStore() })
}

func TestClientAndHandlerConform(t *testing.T) {
	objstoretest.Run(t, func(t *testing.T) objstore.Store {
		return startClient(t, NewStore(), objstore.ClientOptions{})
	})
}

// startClient serves the store over HTTP and returns a client of it.
func startClient(t *testing.T, s *Store, opts objstore.ClientOptions) *objstore.Client {
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	client := objstore.NewClient(srv.Listener.Addr().String(), opts)
	t.Cleanup(client.Close)
	return client
}

// The platform carries a write out and its answer is lost, so that the writer of a claim gets an
// error although the write took effect. A client that retried the write by itself would then
// report a conflict with its own write.
func TestLostAnswerIsNotRetried(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewStore()
	client := startClient(t, s, objstore.ClientOptions{})
	_, err := client.Put(t.Context(), "k", "warm", 0, []byte(`1`)) // the connection is reused below
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s.SetFaults(Faults{LoseAnswers: 1})

	_, err = client.Put(t.Context(), "k", "a", 0, []byte(`1`))

	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(err).NotTo(gomega.MatchError(objstore.ErrConflict))
	g.Expect(s.Counters().Put).To(gomega.Equal(2))
	_, err = client.Get(t.Context(), "k", "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// A write that failed with an error can still take effect after the writer received the error.
func TestLateWriteTakesEffectAfterError(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewStore()
	s.SetFaults(Faults{LateWrites: 1, LateMS: 50})
	_, err := s.Put(t.Context(), "k", "a", 0, []byte(`1`))
	g.Expect(err).To(gomega.HaveOccurred())
	g.Eventually(func() error { _, err := s.Get(t.Context(), "k", "a"); return err }, "20s").Should(gomega.Succeed())
}

// A call that fails because of a fault must not look like one that found no object, and a lost
// write must not take effect.
func TestRateLimitsOutageAndLostWrites(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewStore()
	client := startClient(t, s, objstore.ClientOptions{})
	s.SetFaults(Faults{WritesPerSecond: 0.001})
	_, err := client.Put(t.Context(), "k", "a", 0, []byte(`1`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = client.Put(t.Context(), "k", "b", 0, []byte(`1`))
	g.Expect(err).To(gomega.MatchError(objstore.ErrBusy))
	s.SetFaults(Faults{Outage: true})
	_, err = client.Get(t.Context(), "k", "a")
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(err).NotTo(gomega.MatchError(objstore.ErrNotFound))
	s.SetFaults(Faults{LoseWrites: 1})
	_, err = client.Put(t.Context(), "k", "c", 0, []byte(`1`))
	g.Expect(err).To(gomega.HaveOccurred())
	s.SetFaults(Faults{})
	_, err = client.Get(t.Context(), "k", "c")
	g.Expect(err).To(gomega.MatchError(objstore.ErrNotFound))
}
