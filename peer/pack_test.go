package peer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/peer/facts"
)

// TestPackedFactsAreBounded: packed facts come back as they were; what is no
// facts, too many, or unpacks to more than the bound is refused and costs no more
// memory than that.
func TestPackedFactsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var list []facts.Fact
	for i := range maxFacts {
		list = append(list, facts.Fact{Drain: &facts.Drain{Target: fmt.Sprint(i), Incarnation: "i", Since: 1}})
	}
	sent := factPayload{Packed: packFacts(list)}
	got, err := sent.decode(maxFacts)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(list))
	_, err = sent.decode(maxFacts - 1)
	g.Expect(err).To(HaveOccurred())

	_, err = factPayload{Packed: []byte("no facts")}.decode(maxFacts)
	g.Expect(err).To(HaveOccurred())
	var bomb bytes.Buffer
	w, err := flate.NewWriter(&bomb, flate.BestSpeed)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = w.Write(append([]byte("["), bytes.Repeat([]byte(" "), maxUnpackedBytes+1)...))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Close()).To(Succeed())
	_, err = factPayload{Packed: bomb.Bytes()}.decode(maxFacts)
	g.Expect(err).To(MatchError(ContainSubstring("more than")))
}
