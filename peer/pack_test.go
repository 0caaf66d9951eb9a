package peer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/peer/facts"
)

// TestPackedFactsAreBounded: packed facts must unpack unchanged. Data that isn't packed
// facts, too many facts, and data that unpacks to more than the bound must be refused,
// and must not take more memory than the bound.
func TestPackedFactsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var list []facts.Fact
	for i := range maxFactsPerMessage {
		list = append(list, facts.Fact{Drain: &facts.Drain{Target: fmt.Sprint(i), Incarnation: "i", Since: 1}})
	}
	sent := factPayload{Packed: packFacts(list)}
	got, err := sent.decode(maxFactsPerMessage)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(list))
	_, err = sent.decode(maxFactsPerMessage - 1)
	g.Expect(err).To(HaveOccurred())

	_, err = factPayload{Packed: []byte("no facts")}.decode(maxFactsPerMessage)
	g.Expect(err).To(HaveOccurred())
	var bomb bytes.Buffer
	w, err := flate.NewWriter(&bomb, flate.BestSpeed)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = w.Write(append([]byte("["), bytes.Repeat([]byte(" "), maxUnpackedBytes+1)...))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Close()).To(Succeed())
	_, err = factPayload{Packed: bomb.Bytes()}.decode(maxFactsPerMessage)
	g.Expect(err).To(MatchError(ContainSubstring("more than")))
}
