package topk

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// mergeBySorting is a reference implementation of Merge that sorts all records. It returns up to
// limit of them, greatest first.
func mergeBySorting(limit int, parts [][]byte) []byte {
	var all [][]byte
	for _, part := range parts {
		for ; len(part) >= RecordBytes; part = part[RecordBytes:] {
			all = append(all, part[:RecordBytes])
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(all[:min(limit, len(all))], nil)
}

// Guards against an answer that lacks one of the greatest records, or one of two equal
// ones.
func TestMergeReturnsGreatestRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		// Few byte values, so that equal records are common, and lengths that leave an
		// incomplete record at the end.
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 100), 0, 6).Draw(t, "parts")
		top := rapid.IntRange(0, 20).Draw(t, "top")
		g.Expect(Merge(top, parts)).To(gomega.Equal(append([]byte{}, mergeBySorting(top, parts)...)))
	})
}

// BenchmarkMerge merges 20 parts of 62 random records each and keeps the 50 greatest.
func BenchmarkMerge(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 2))
	parts := make([][]byte, 20)
	for i := range parts {
		parts[i] = make([]byte, 62*RecordBytes)
		for j := range parts[i] {
			parts[i][j] = byte(rng.IntN(256))
		}
	}
	for b.Loop() {
		Merge(50, parts)
	}
}
