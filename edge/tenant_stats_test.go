package edge

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/tenant"
)

// Guards against metrics that grow with the number of tenants, requests that are lost from the counts,
// and a name that breaks the text format.
func TestMetricsOfTenantsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTenantStats()
	now := time.Unix(1000, 0)
	s.count(now, origin{}, tenantServed) // an anonymous request
	const odd = "a\"b\\c\u00e9"
	for i := range 20000 {
		now = now.Add(10 * time.Millisecond)
		s.count(now, origin{tenant: &tenant.Tenant{Name: fmt.Sprint("tenant-", i/2)}}, tenantOverLimit)
		s.count(now, origin{tenant: &tenant.Tenant{Name: odd}}, tenantServed)
	}
	var out bytes.Buffer
	s.write(&out)
	g.Expect(strings.Count(out.String(), "\n")).To(gomega.Equal((namedTenants + 1) * int(tenantEnds)))
	g.Expect(out.String()).To(gomega.ContainSubstring(`bramley_edge_tenant_requests_total{tenant="a\"b\\c` + "\u00e9" + `",end="served"} 20000`))
	sum := s.others[tenantOverLimit]
	for _, counts := range s.named {
		sum += counts[tenantOverLimit]
	}
	g.Expect(sum).To(gomega.BeEquivalentTo(20000))
}
