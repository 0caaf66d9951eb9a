package edge

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/quarantine"
)

// Guards against memory that grows with each content that was ever requested.
func TestContentsWithoutOpenRequestsAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	c, content := make(copies), quarantine.FingerprintOf("", "GET", "h", "/x", nil)
	c.begin(content)
	c.begin(content)
	c.end(content)
	g.Expect(c).To(gomega.HaveKeyWithValue(content, 1))
	c.end(content)
	g.Expect(c).To(gomega.BeEmpty())
}
