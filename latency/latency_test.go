package latency

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against quantiles that still hold samples of dropped windows, or lack new ones: latencies
// rise and fall over a minute, and at each merge the quantiles are those of a recorder that sums all
// windows at once.
func TestQuantilesAreThoseOfAllWindows(t *testing.T) {
	type sample struct {
		at time.Time
		d  time.Duration
	}
	g := gomega.NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1_000_000, 0)
	var samples []sample
	kept := New()
	for step := range 60 {
		for range rng.IntN(30) {
			now = now.Add(time.Duration(rng.Int64N(int64(60 * time.Millisecond))))
			s := sample{at: now, d: time.Duration(rng.Int64N(int64((step%20 + 1) * int(5*time.Millisecond))))}
			samples = append(samples, s)
			kept.Add(s.at, s.d)
		}
		now = now.Add(mergeInterval)
		whole := New()
		for _, s := range samples {
			whole.Add(s.at, s.d)
		}
		for _, q := range []float64{0.5, 0.9} {
			d, known := kept.Quantile(now, q)
			want, wantKnown := whole.Quantile(now, q)
			g.Expect(known).To(gomega.Equal(wantKnown))
			g.Expect(d).To(gomega.Equal(want))
		}
	}
}
