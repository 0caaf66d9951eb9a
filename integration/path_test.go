package integration

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/gateway"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/target"
)

func searchBody(query string) gateway.SearchBody { return gateway.SearchBody{Query: query} }

// expectCompleteAnswer expects that the answer is from the snapshot of index, that it
// states full coverage, and that its items are those that the simulated targets hold for
// body.
func (c *cluster) expectCompleteAnswer(a gateway.Answer, index targetsim.Index, kind target.Kind, body gateway.SearchBody) {
	c.t.Helper()
	const maxItems = 1000 // max_items of the test bundle
	limit := body.Limit
	if limit == 0 {
		limit = maxItems
	}
	items, more, records := index.ExpectedAnswer(kind, body.Query, "", limit)
	c.Expect(a.Snapshot).To(gomega.Equal(index.Snapshot))
	c.Expect(a.Items).To(gomega.Equal(items))
	c.Expect(a.More).To(gomega.Equal(more))
	c.Expect(a.Coverage).To(gomega.Equal(&gateway.Coverage{
		Ratio: 1, Shards: index.Shards, ShardsAnswered: index.Shards, Records: records,
	}))
}

// Covers the end-to-end path without faults: a caller queries each of two daemons, which
// fan out to the leaves of three targets under a bundle that was rolled out through the
// platform, and gets every matching record. A non-idempotent request that is sent to both
// daemons with the same key runs once.
func TestWholePath(t *testing.T) {
	c := start(t, clusterConfig{})
	for _, d := range c.Daemons {
		for _, body := range []gateway.SearchBody{searchBody("well"), {Query: "well", Limit: 5}, searchBody("")} {
			a, status, err := d.Search(c.ctx, findSearch, body)
			c.ok(err)
			c.Expect(status).To(gomega.Equal(http.StatusOK))
			c.Expect(a.Code).To(gomega.Equal(int(result.Complete)))
			c.expectCompleteAnswer(a, c.Index, target.KindSearch, body)
		}
		a, _, err := d.Browse(c.ctx, browseSearch, gateway.SearchBody{Limit: 7})
		c.ok(err)
		c.expectCompleteAnswer(a, c.Index, target.KindBrowse, gateway.SearchBody{Limit: 7})
	}
	key := newKey("path")
	for _, d := range c.Daemons {
		a, _, err := d.Submit(c.ctx, fileSearch, key, map[string]int{"m3": 12})
		c.ok(err)
		c.Expect(a.Code).To(gomega.Equal(int(result.Accepted)), a.Detail)
	}
	c.Expect(c.submitRuns()).To(gomega.Equal(map[string]int{key: 1}))
}
