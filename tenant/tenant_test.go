package tenant

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// named returns a tenant with these keys.
func named(name string, keys ...string) Tenant {
	t := Tenant{Name: name}
	for _, key := range keys {
		t.Keys = append(t.Keys, DigestOf(key))
	}
	return t
}

// Guards against a key that finds another tenant, or a tenant that it was taken from.
func TestKeyFindsItsTenant(t *testing.T) {
	g := gomega.NewWithT(t)
	x := NewIndex([]Tenant{named("one", "k1", "k2"), named("two", "k3")})
	g.Expect(x.Find("k2").Name).To(gomega.Equal("one"))
	g.Expect(x.Find("k3").Name).To(gomega.Equal("two"))
	for _, key := range []string{"", "k", "K1", "k1 ", digestText("k1")} {
		g.Expect(x.Find(key)).To(gomega.BeNil(), key)
	}
}

// digestText returns the digest of a key as text.
func digestText(key string) string {
	text, _ := DigestOf(key).MarshalText()
	return string(text)
}

// Guards against a bad list of tenants that comes in force, and against an error that tells a key.
func TestBadTenantsAreNamed(t *testing.T) {
	g := gomega.NewWithT(t)
	limited := func(rate, burst float64) Tenant { return Tenant{Name: "a", Limit: Limit{RatePerS: rate, Burst: burst}} }
	for reason, tenants := range map[string][]Tenant{
		"no name":                     {named("", "secret")},
		"used twice":                  {named("a", "secret"), named("a")},
		"control characters":          {named("a\r\nb", "secret")},
		"key 0 is empty":              {named("a", "")},
		`also a key of tenant "a"`:    {named("a", "secret"), named("b", "other", "secret")},
		"rate -1 is not":              {limited(-1, 0)},
		"rate NaN is not":             {limited(math.NaN(), 0)},
		"burst +Inf is not a finite ": {limited(1, math.Inf(1))},
	} {
		err := Validate(tenants)
		var invalid *InvalidError
		g.Expect(errors.As(err, &invalid)).To(gomega.BeTrue(), reason)
		g.Expect(err.Error()).To(gomega.ContainSubstring(reason))
		g.Expect(err.Error()).NotTo(gomega.Or(gomega.ContainSubstring("secret"), gomega.ContainSubstring(digestText("secret"))))
	}
	g.Expect(Validate(nil)).To(gomega.Succeed())
	g.Expect(Validate([]Tenant{named("a", "k", "k"), limited(0, 0)})).NotTo(gomega.Succeed())
	g.Expect(Validate([]Tenant{named("b", "k", "k"), limited(3, 0.5)})).To(gomega.Succeed())
}

// Guards against a look-up that allocates, which each request would pay.
func TestFindDoesNotAllocate(t *testing.T) {
	g := gomega.NewWithT(t)
	long := strings.Repeat("k", 200)
	x := NewIndex([]Tenant{named("one", long)})
	g.Expect(testing.AllocsPerRun(100, func() { x.Find(long) })).To(gomega.BeZero())
}

// BenchmarkFind looks up a key among 10,000 tenants.
func BenchmarkFind(b *testing.B) {
	tenants := make([]Tenant, 10000)
	keys := make([]string, len(tenants))
	for i := range tenants {
		keys[i] = fmt.Sprintf("key-%032d", i)
		tenants[i] = named(fmt.Sprint("tenant-", i), keys[i])
	}
	x := NewIndex(tenants)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if x.Find(keys[i%len(keys)]) == nil {
			b.Fatal("not found")
		}
	}
}
