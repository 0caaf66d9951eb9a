package routing

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// newDocument returns a document with these routes, and without services and limits.
func newDocument(version int64, routes ...*Route) Document {
	return Document{Version: version, Routes: routes}
}

// Guards against a match that depends on the order of the routes: a shorter prefix that
// is found first must not hide a longer one.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewManifest(newDocument(1,
		&Route{Name: "short", Host: "a.example", Prefix: "/x/"},
		&Route{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		&Route{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	))
	g.Expect(m.Match("a.example", "/x/y/z/1").Name).To(gomega.Equal("long"))
	g.Expect(m.Match("A.example:8080", "/x/1").Name).To(gomega.Equal("short"))
	g.Expect(m.Match("a.example", "/x")).To(gomega.BeNil())
	g.Expect(m.Match("c.example", "/x/")).To(gomega.BeNil())
}

// Guards against a removed route that is served again because a slow read of an old
// manifest ends after the read of a newer one.
func TestInForceVersionOnlyIncreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		var f InForce
		var highest int64
		for _, v := range rapid.SliceOfN(rapid.Int64Range(1, 20), 1, 30).Draw(t, "versions") {
			g.Expect(f.Offer(NewManifest(newDocument(v)))).To(gomega.Equal(v > highest))
			highest = max(highest, v)
			g.Expect(f.Get().Version).To(gomega.Equal(highest))
		}
	})
}

// Guards against shares that hold only over many requests. If a tenth of the requests
// should go to a new release, a VM that receives few requests would send it none, or half
// of them.
func TestSplitMatchesWeightsInShortRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		weights := rapid.SliceOfN(rapid.Float64Range(1, 100), 2, 4).Draw(t, "weights")
		route := &Route{Name: "r"}
		total := 0.0
		for i, w := range weights {
			route.Split = append(route.Split, WeightedService{Service: string(rune('a' + i)), Weight: w})
			total += w
		}
		s := NewSplitter()
		counts := make(map[string]float64)
		for n := 1; n <= 200; n++ {
			counts[s.Next(route)]++
			for _, part := range route.Split {
				g.Expect(counts[part.Service]).To(gomega.BeNumerically("~", part.Weight/total*float64(n), float64(len(weights))))
			}
		}
	})
}

// Guards against a service of a split that gets the first request after each new manifest:
// a split that is the same in the new manifest must keep its round-robin state. Also guards
// against a leak: the state of a removed route must be deleted.
func TestSplitterPrunesRemovedRoutes(t *testing.T) {
	g := gomega.NewWithT(t)
	split := []WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}
	route := &Route{Name: "r", Split: split}
	s := NewSplitter()
	first := s.Next(route)
	s.Prune(NewManifest(newDocument(2, &Route{Name: "r", Split: split})))
	g.Expect(s.Next(route)).NotTo(gomega.Equal(first))
	s.Prune(NewManifest(newDocument(3)))
	g.Expect(s.routes).To(gomega.BeEmpty())
}
