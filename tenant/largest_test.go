package tenant

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// play adds requests of tenants drawn by name, 100 a second for a time. It returns how many requests of
// the tenant "big" were counted under its name, and how often a tenant left its place.
func play(l *Largest, now *time.Time, length time.Duration, name func() string) (counted, left int) {
	for end := now.Add(length); now.Before(end); *now = now.Add(10 * time.Millisecond) {
		drawn := name()
		chosen, gone := l.Add(*now, drawn)
		if chosen && drawn == "big" {
			counted++
		}
		left += len(gone)
	}
	return counted, left
}

// Guards against state that grows with the number of tenants, a large tenant that is not found among
// many small ones, and small ones that take each other's place.
func TestLargestOfManyTenants(t *testing.T) {
	g := gomega.NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 1))
	small := func() string { return fmt.Sprint("small-", rng.IntN(10000)) }
	l := NewLargest(8)
	now := time.Unix(0, 0)
	_, left := play(l, &now, 10*time.Minute, small)
	g.Expect(left).To(gomega.BeZero())
	g.Expect(len(l.candidates)).To(gomega.BeNumerically("<=", 8*candidatesPerPlace))
	withBig := func() string {
		if rng.IntN(5) == 0 {
			return "big"
		}
		return small()
	}
	play(l, &now, 2*choicePeriod, withBig)
	counted, left := play(l, &now, 10*time.Minute, withBig)
	g.Expect(counted).To(gomega.BeNumerically(">", 11000), "of about 12,000")
	g.Expect(left).To(gomega.BeZero())
	g.Expect(len(l.candidates)).To(gomega.BeNumerically("<=", 8*candidatesPerPlace))
}

// Guards against names that alternate between tenants of similar size.
func TestSimilarTenantsKeepTheirPlaces(t *testing.T) {
	g := gomega.NewWithT(t)
	rng := rand.New(rand.NewPCG(2, 2))
	l := NewLargest(8)
	now := time.Unix(0, 0)
	_, left := play(l, &now, time.Hour, func() string { return fmt.Sprint("tenant-", rng.IntN(12)) })
	g.Expect(left).To(gomega.BeZero())
	// A tenant that stops leaves its place to one that goes on.
	_, left = play(l, &now, 10*time.Minute, func() string { return fmt.Sprint("tenant-", 6+rng.IntN(10)) })
	g.Expect(left).To(gomega.BeNumerically(">", 0))
	g.Expect(l.chosen).To(gomega.Equal(8))
}
