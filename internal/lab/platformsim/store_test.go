package platformsim

import (
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/platform"
	"github.com/bramleybarrow/bramleybarrow/platform/platformtest"
)

func TestStoreConforms(t *testing.T) {
	platformtest.Run(t, func(*testing.T) platform.Store { return NewStore() })
}

func TestClientAndHandlerConform(t *testing.T) {
	platformtest.Run(t, func(t *testing.T) platform.Store {
		return serve(t, NewStore(), platform.ClientOptions{})
	})
}

func serve(t *testing.T, s *Store, opts platform.ClientOptions) *platform.Client {
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	client := platform.NewClient(srv.Listener.Addr().String(), opts)
	t.Cleanup(client.Close)
	return client
}

// A claim's writer sees an error although its write took effect: the platform
// carries the write out and its answer is lost on the way. A client that sent
// the write again by itself would then report a conflict with its own write.
func TestLostAnswerIsUnknownAndNotRepeated(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewStore()
	client := serve(t, s, platform.ClientOptions{})
	_, err := client.Put(t.Context(), "k", "warm", 0, []byte(`1`)) // the connection is reused below
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s.SetFaults(Faults{LoseAnswers: 1})

	_, err = client.Put(t.Context(), "k", "a", 0, []byte(`1`))

	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(err).NotTo(gomega.MatchError(platform.ErrConflict))
	g.Expect(s.Counters().Put).To(gomega.Equal(2))
	_, err = client.Get(t.Context(), "k", "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

func TestLateWriteLandsAfterItFailed(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewStore()
	s.SetFaults(Faults{LateWrites: 1, LateMS: 50})
	_, err := s.Put(t.Context(), "k", "a", 0, []byte(`1`))
	g.Expect(err).To(gomega.HaveOccurred())
	g.Eventually(func() error { _, err := s.Get(t.Context(), "k", "a"); return err }, "20s").Should(gomega.Succeed())
}

func TestLimitsAndOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewStore()
	client := serve(t, s, platform.ClientOptions{})
	s.SetFaults(Faults{WritesPerSecond: 0.001})
	_, err := client.Put(t.Context(), "k", "a", 0, []byte(`1`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = client.Put(t.Context(), "k", "b", 0, []byte(`1`))
	g.Expect(err).To(gomega.MatchError(platform.ErrBusy))
	s.SetFaults(Faults{Outage: true})
	_, err = client.Get(t.Context(), "k", "a")
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(err).NotTo(gomega.MatchError(platform.ErrNotFound))
	s.SetFaults(Faults{LoseWrites: 1})
	_, err = client.Put(t.Context(), "k", "c", 0, []byte(`1`))
	g.Expect(err).To(gomega.HaveOccurred())
	s.SetFaults(Faults{})
	_, err = client.Get(t.Context(), "k", "c")
	g.Expect(err).To(gomega.MatchError(platform.ErrNotFound))
}
