package once

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleybarrow/bramleybarrow/platform"
	"github.com/bramleybarrow/bramleybarrow/result"
)

func drawOp(t *rapid.T) op {
	kind := opKind(rapid.IntRange(int(opClaim), int(opRelease)).Draw(t, "kind"))
	o := op{kind: kind, id: fmt.Sprintf("report/1700000000-key%05d", rapid.IntRange(0, 4).Draw(t, "id"))}
	o.entry.Op = fmt.Sprintf("op%d", rapid.IntRange(0, 9).Draw(t, "op"))
	o.entry.Digest = "d"
	if kind == opSettle {
		size := rapid.SampledFrom([]int{2, 16 << 10, 200 << 10}).Draw(t, "size")
		o.entry.Outcome = &kept{Code: result.Accepted, Result: []byte(fmt.Sprintf(`"%0*d"`, size, 1))}
	}
	return o
}

// TestSegmentProperties drives segments through random batches. A key has one
// holder at a time, a settled key never changes again, sending a batch a second
// time with no release in it changes nothing, and the stored form reads back
// and fits into a value.
func TestSegmentProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var s segment
		for range rapid.IntRange(1, 12).Draw(t, "batches") {
			batch := rapid.SliceOfN(rapid.Custom(drawOp), 1, 6).Draw(t, "batch")
			// A settle is sent after its claim has been delivered, so never before
			// it in a batch.
			slices.SortStableFunc(batch, func(a, b op) int { return cmp.Compare(a.kind, b.kind) })
			next, replies, changed := s.apply(batch)
			hasRelease := false
			for i, o := range batch {
				hasRelease = hasRelease || o.kind == opRelease
				if o.kind == opClaim && replies[i].verdict == verdictHeld {
					g.Expect(replies[i].held.Op).NotTo(Equal(o.entry.Op))
				}
			}
			for id, before := range s.Entries {
				if before.Outcome != nil {
					g.Expect(next.Entries[id]).To(Equal(before), "a settled key changed")
				}
				if after, ok := next.Entries[id]; ok && !hasRelease {
					g.Expect(after.Op).To(Equal(before.Op), "a key changed its holder")
				}
			}
			if !hasRelease {
				_, _, again := next.apply(batch)
				g.Expect(again).To(BeFalse(), "a batch has an effect twice")
			}
			if !changed {
				g.Expect(next.Entries).To(HaveLen(len(s.Entries)))
			}
			value, err := next.encode()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(len(value)).To(And(BeNumerically("<=", next.size+entryOverhead), BeNumerically("<=", platform.MaxValue)))
			back, err := decodeSegment(value)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(back).To(Equal(next))
			s = next
		}
	})
}

func TestFullSegmentKeepsRoomForOutcomes(t *testing.T) {
	g := NewWithT(t)
	var s segment
	var claims []op
	for i := 0; ; i++ {
		o := op{id: fmt.Sprintf("report/1700000000-key%08d", i), entry: entry{Op: fmt.Sprint(i), Holder: "a/1", Digest: fmt.Sprintf("%064d", i)}}
		next, replies, _ := s.apply([]op{o})
		if replies[0].verdict == verdictFull {
			break
		}
		s = next
		claims = append(claims, o)
	}
	for i := range claims {
		claims[i].kind = opSettle
		claims[i].entry.Outcome = &kept{Code: result.Accepted, Result: []byte(fmt.Sprintf(`"%0*d"`, 1<<10, i))}
	}
	s, replies, _ := s.apply(claims)
	g.Expect(replies).To(HaveEach(reply{verdict: verdictDone}))
	value, err := s.encode()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(value)).To(BeNumerically("<=", platform.MaxValue))
}
