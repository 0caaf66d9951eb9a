package topk

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// mergeBySorting merges by sorting everything.
func mergeBySorting(top int, parts [][]byte) []byte {
	var all [][]byte
	for _, part := range parts {
		for ; len(part) >= RecordBytes; part = part[RecordBytes:] {
			all = append(all, part[:RecordBytes])
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(all[:min(top, len(all))], nil)
}

// A page shows other records than the greatest, or misses one of two equal ones.
func TestMergeReturnsGreatestRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		// Few values, so that equal records are common, and rests that are no record.
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 100), 0, 6).Draw(t, "parts")
		top := rapid.IntRange(0, 20).Draw(t, "top")
		g.Expect(Merge(top, parts)).To(gomega.Equal(append([]byte{}, mergeBySorting(top, parts)...)))
	})
}

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
