package quarantine

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against requests of other content, or of other tenants, that share a fingerprint.
func TestFingerprintTellsContentsApart(t *testing.T) {
	g := gomega.NewWithT(t)
	seen := make(map[Fingerprint][]string)
	for _, r := range [][]string{
		{"", "GET", "h", "/a", ""}, {"t", "GET", "h", "/a", ""}, {"", "tGET", "h", "/a", ""},
		{"", "GET", "h", "/a", "b"}, {"", "GET", "h", "/ab", ""}, {"", "GET", "h/", "a", ""}, {"", "POST", "h", "/a", ""},
	} {
		f := FingerprintOf(r[0], r[1], r[2], r[3], []byte(r[4]))
		g.Expect(seen[f]).To(gomega.BeNil(), "%v", r)
		seen[f] = r
	}
	g.Expect(FingerprintOf("t", "GET", "h", "/a", nil)).To(gomega.Equal(FingerprintOf("t", "GET", "h", "/a", []byte{})))
}

// Guards against a fingerprint of the log that an operator can't use.
func TestFingerprintIsReadBack(t *testing.T) {
	g := gomega.NewWithT(t)
	f := FingerprintOf("", "GET", "h", "/a", nil)
	g.Expect(ParseFingerprint(f.String())).To(gomega.Equal(f))
	for _, bad := range []string{"", "zz", "00"} {
		_, err := ParseFingerprint(bad)
		g.Expect(err).To(gomega.HaveOccurred())
	}
}
