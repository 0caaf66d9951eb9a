package once

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// drawOp draws an operation on one of a few keys. The result of a completion is small,
// as large as the default limit, or larger.
func drawOp(t *rapid.T) op {
	kind := opKind(rapid.IntRange(int(opClaim), int(opRelease)).Draw(t, "kind"))
	o := op{kind: kind, id: fmt.Sprintf("report/1700000000-key%05d", rapid.IntRange(0, 4).Draw(t, "id"))}
	o.entry.Op = fmt.Sprintf("op%d", rapid.IntRange(0, 9).Draw(t, "op"))
	o.entry.Digest = "d"
	if kind == opComplete {
		size := rapid.SampledFrom([]int{2, 16 << 10, 200 << 10}).Draw(t, "size")
		o.entry.Outcome = &storedOutcome{Code: result.Accepted, Result: []byte(fmt.Sprintf(`"%0*d"`, size, 1))}
	}
	return o
}

// TestSegmentProperties guards against a key that two operations hold, an outcome that
// is lost or replaced, and a segment that cannot be stored. It applies random batches
// to a segment. A key has one holder at a time; a key with an outcome never changes
// again; a batch without a release changes nothing when it is applied a second time;
// the encoded form decodes to the same segment and fits into an object's value.
func TestSegmentProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var s segment
		for range rapid.IntRange(1, 12).Draw(t, "batches") {
			batch := rapid.SliceOfN(rapid.Custom(drawOp), 1, 6).Draw(t, "batch")
			// A completion is sent after its claim has been delivered, so it never
			// precedes the claim in a batch.
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
					g.Expect(next.Entries[id]).To(Equal(before), "a completed key changed")
				}
				if after, ok := next.Entries[id]; ok && !hasRelease {
					g.Expect(after.Op).To(Equal(before.Op), "a key changed its holder")
				}
			}
			if !hasRelease {
				_, _, changedAgain := next.apply(batch)
				g.Expect(changedAgain).To(BeFalse(), "applying a batch a second time changed the segment")
			}
			if !changed {
				g.Expect(next.Entries).To(HaveLen(len(s.Entries)))
			}
			value, err := next.encode()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(len(value)).To(And(BeNumerically("<=", next.size+entryOverhead), BeNumerically("<=", objstore.MaxValue)))
			decoded, err := decodeSegment("d.1", value)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(decoded).To(Equal(next))
			s = next
		}
	})
}

// Guards against an outcome that cannot be stored because claims have used up the
// space of its segment. In a segment that is filled with claims, all of them must get
// an outcome.
func TestFullSegmentReservesSpaceForOutcomes(t *testing.T) {
	g := NewWithT(t)
	var s segment
	var claims []op
	for i := 0; ; i++ {
		o := op{id: fmt.Sprintf("report/1700000000-key%08d", i), entry: entry{Op: fmt.Sprint(i), Holder: "a/1", Digest: fmt.Sprintf("%064d", i)}}
		next, replies, _ := s.apply([]op{o})
		if replies[0].verdict == verdictMoved {
			break
		}
		s = next
		claims = append(claims, o)
	}
	for i := range claims {
		claims[i].kind = opComplete
		claims[i].entry.Outcome = &storedOutcome{Code: result.Accepted, Result: []byte(fmt.Sprintf(`"%0*d"`, 1<<10, i))}
	}
	s, replies, _ := s.apply(claims)
	g.Expect(replies).To(HaveEach(reply{verdict: verdictDone}))
	value, err := s.encode()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(value)).To(BeNumerically("<=", objstore.MaxValue))
}

// drawLargeOp draws a claim or a release on one of a few keys. A claim is either small
// or takes more than half of a segment's space for claims.
func drawLargeOp(t *rapid.T) op {
	o := op{kind: rapid.SampledFrom([]opKind{opClaim, opClaim, opRelease}).Draw(t, "kind")}
	o.id = fmt.Sprintf("report/1700000000-key%05d", rapid.IntRange(0, 3).Draw(t, "id"))
	o.entry.Op = fmt.Sprintf("op%d", rapid.IntRange(0, 5).Draw(t, "op"))
	o.entry.Digest = fmt.Sprintf("%0*d", rapid.SampledFrom([]int{1, maxSizeForClaims / 2}).Draw(t, "size"), 1)
	return o
}

// TestSealedSegmentAcceptsNoKeys guards against a request that runs twice. The
// segment of its second is full, so its key is claimed in its overflow segment.
// Then a release frees space, and a later request claims the key in the first segment
// too. A sealed segment must accept no keys, and a key with the verdict verdictMoved
// must never be claimed in it.
func TestSealedSegmentAcceptsNoKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var s segment
		moved := map[string]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			o := drawLargeOp(t)
			next, replies, changed := s.apply([]op{o})
			if replies[0].verdict == verdictMoved {
				g.Expect(next.Sealed).To(BeTrue())
				moved[o.id] = true
			}
			if s.Sealed && o.kind == opClaim {
				g.Expect(changed).To(BeFalse())
			}
			for id := range next.Entries {
				g.Expect(moved[id]).To(BeFalse(), "a key that moved is claimed in the segment")
			}
			s = next
		}
	})
}

// TestOverflowSegmentsTakeExcessKeys guards against requests that are refused when
// thousands arrive within one second: one segment holds about 1,800 claims. The other
// keys must be claimed in overflow segments, each key in one of them only.
func TestOverflowSegmentsTakeExcessKeys(t *testing.T) {
	g := NewWithT(t)
	store := newFaultStore(1)
	a, b := startRunner(t, store, "a"), startRunner(t, store, "b")
	connectPeers([]*Runner{a, b}, 1, false)
	filler := segment{Entries: map[string]entry{"x": {Op: "x", Digest: fmt.Sprintf("%0*d", maxSizeForClaims-2*entryOverhead, 1)}}}
	value, err := filler.encode()
	g.Expect(err).NotTo(HaveOccurred())
	req := request("d")
	name := segmentName(req.Deployment, req.Key.Created())
	_, err = store.Put(t.Context(), Kind, name, 0, value)
	g.Expect(err).NotTo(HaveOccurred())
	w := acceptedWork()
	const keys = 20
	for i := range keys {
		req.Search = fmt.Sprint("search", i)
		g.Expect(a.Run(t.Context(), req, w.run).Code).To(Equal(result.Accepted))
		g.Expect(b.Run(t.Context(), req, w.run).Replayed).To(BeTrue())
	}
	g.Expect(w.ran.Load()).To(BeEquivalentTo(keys))
	names := store.names(name)
	g.Expect(len(names)).To(And(BeNumerically(">", 2), BeNumerically("<=", 1+overflowSegments)))
	for _, part := range names {
		end, ok := windowEnd(req.Deployment, part)
		g.Expect(ok).To(BeTrue())
		g.Expect(end).To(Equal(req.Key.Created().Add(segmentWindow)))
	}
}
