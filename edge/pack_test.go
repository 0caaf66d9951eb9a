package edge

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/registry"
	"github.com/bramleybarrow/bramleybarrow/routing"
)

// manifestWithRoutes returns a manifest with this number of routes.
func manifestWithRoutes(routes int) *routing.Manifest {
	doc := routing.Document{Version: 7, Services: map[string]routing.Service{}}
	for i := range routes {
		name := fmt.Sprintf("r-%04d", i)
		doc.Routes = append(doc.Routes, &routing.Route{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Service: fmt.Sprintf("svc-%d", i%200), MaxAttempts: 2,
		})
	}
	return routing.NewManifest(doc)
}

// Guards against manifests that are too large to send to many VMs at once. When all VMs start
// at the same time, they all request the manifest from the few VMs that read the store. With
// 1,900 routes and without compression, these calls time out, and callers are refused for two
// more seconds. The manifest is sent compressed, and is received unchanged.
func TestLargeManifestIsSentCompressed(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFeed()
	m := manifestWithRoutes(1900)
	f.setManifest(m)
	packed, err := f.document()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(packed)).To(gomega.BeNumerically("<", 50_000))
	received, err := (&manifestAnswer{Document: packed}).manifest()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(received.Document).To(gomega.Equal(m.Document))
}

// Guards against outdated packed bodies: if they were not rebuilt after a change, a VM that
// starts later would receive the previous leafs and manifest.
func TestPackedBodiesAreRebuiltAfterChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFeed()
	leafs := func() (list []registry.Leaf) {
		packed, _, err := f.list()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(unpack(packed, &list)).To(gomega.Succeed())
		return list
	}
	g.Expect(leafs()).To(gomega.BeEmpty())
	f.appendChanges([]registry.Change{{Leaf: registry.Leaf{ID: "leaf-1"}}})
	g.Expect(leafs()).To(gomega.HaveLen(1))
	f.appendChanges([]registry.Change{{Leaf: registry.Leaf{ID: "leaf-1"}, Gone: true}})
	g.Expect(leafs()).To(gomega.BeEmpty())

	f.setManifest(manifestWithRoutes(1))
	_, err := f.document()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	f.setManifest(manifestWithRoutes(2))
	packed, err := f.document()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	received, err := (&manifestAnswer{Document: packed}).manifest()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(received.Routes).To(gomega.HaveLen(2))
}

// Guards against an invalid packed body that is read as an empty list: unpack returns an error.
func TestUnpackRejectsInvalidBytes(t *testing.T) {
	g := gomega.NewWithT(t)
	var list []registry.Leaf
	g.Expect(unpack([]byte("not packed"), &list)).NotTo(gomega.Succeed())
	g.Expect(unpack(nil, &list)).NotTo(gomega.Succeed())
}
