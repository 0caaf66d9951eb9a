package platformsim

import (
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/objstore/objstoretest"
)

// Tests use the store in place of the platform. If it did not behave as objstore.Store requires,
// they would fail although the code that they test has no fault.
func TestStoreConforms(t *testing.T) {
	objstoretest.Run(t, func(*testing.T) objstore.Store { return NewStore() })
}

// Tests also use the store over HTTP. If the client and the handler together did not behave as
// objstore.Store requires, such tests would fail although the code that they test has no fault.
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

// A write takes effect and its answer is lost, so that the writer, for example of a claim, gets an
// error. If the client retried the write by itself, it would report a conflict with its own write.
func TestLostAnswerIsNotRetried(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewStore()
	client := startClient(t, s, objstore.ClientOptions{})
	_, err := client.Put(t.Context(), "k", "warm", 0, []byte(`1`)) // opens the connection that the next call reuses
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s.SetFaults(Faults{LoseAnswers: 1})

	_, err = client.Put(t.Context(), "k", "a", 0, []byte(`1`))

	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(err).NotTo(gomega.MatchError(objstore.ErrConflict))
	g.Expect(s.Counters().Put).To(gomega.Equal(2))
	_, err = client.Get(t.Context(), "k", "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// Tests hold a write to stop its writer before the write takes effect. If the write did not wait,
// or another kind's did, these tests would stop the writer at another point.
func TestHeldWriteTakesEffectWhenFaultsAreReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewStore()
	s.SetFaults(Faults{HoldWrites: 1, WriteKind: "k"})
	_, err := s.Put(t.Context(), "other", "a", 0, []byte(`1`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	put := make(chan error, 1)
	go func() {
		_, err := s.Put(t.Context(), "k", "a", 0, []byte(`1`))
		put <- err
	}()
	g.Eventually(func() int { return s.Counters().Held }).Should(gomega.Equal(1))
	_, err = s.Get(t.Context(), "k", "a")
	g.Expect(err).To(gomega.MatchError(objstore.ErrNotFound))

	s.SetFaults(Faults{})

	g.Eventually(put).Should(gomega.Receive(gomega.BeNil()))
	_, err = s.Get(t.Context(), "k", "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Counters().Held).To(gomega.Equal(1))
}

// Tests use LateWrites for writes that take effect after the writer received an error. If such a
// write did not take effect, these tests would pass without testing that case.
func TestLateWriteTakesEffectAfterError(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewStore()
	s.SetFaults(Faults{LateWrites: 1, LateMS: 50})
	_, err := s.Put(t.Context(), "k", "a", 0, []byte(`1`))
	g.Expect(err).To(gomega.HaveOccurred())
	g.Eventually(func() error { _, err := s.Get(t.Context(), "k", "a"); return err }, "20s").Should(gomega.Succeed())
}

// A call that fails because of a fault must not return ErrNotFound, and a lost write must not take
// effect. Otherwise a test could not tell a fault of the platform from a missing object, or a lost
// write from one that took effect.
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
