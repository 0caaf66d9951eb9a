package once

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/platformsim"
)

// FuzzParseKey: each key has one canonical form. If two forms of one key were
// stored as two claims, a request that is repeated in the other form would run
// twice.
func FuzzParseKey(f *testing.F) {
	for _, text := range []string{"1700000000-abcdefgh", "007-abcdefgh", "7-abcdefgh", "-1-abcdefgh", "9999999999-________", "1-short", "1700000000-abcdéfgh"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		key, err := ParseKey(text)
		if err != nil {
			return
		}
		g := NewWithT(t)
		again, err := ParseKey(key.String())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again).To(Equal(key))
		g.Expect(len(key.String())).To(BeNumerically("<=", len(text)))
	})
}

// FuzzSegment: a segment that was written by another release, or damaged, is either
// rejected or decoded and encoded without change. If a claim were lost, its request
// could run again.
func FuzzSegment(f *testing.F) {
	for _, text := range append(foreignSegments, `{"entries":{}}`, `{"entries":{"k":{"op":"o","outcome":{"code":1}}}}`) {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := decodeSegment("d.1", data)
		if err != nil {
			return
		}
		g := NewWithT(t)
		encoded, err := s.encode()
		g.Expect(err).NotTo(HaveOccurred())
		again, err := decodeSegment("d.1", encoded)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again).To(Equal(s))
	})
}

// foreignSegments are values that no VM of this release writes.
var foreignSegments = []string{
	``, `null`, `[]`, `{}`, `{"claims":{"k":{"op":"o"}}}`, `{"entries":null}`,
	`{"entries":{"k":{"op":"o","part":1}}}`, `{"entries":{}} {"entries":{"k":{"op":"o"}}}`,
}

// TestForeignSegmentIsRefused: VMs of two releases run at the same time, and the
// newer release stores claims in another form. When the older release read them as
// an empty segment, it claimed the key of a request that had been run, and handed
// it to a target again.
func TestForeignSegmentIsRefused(t *testing.T) {
	for _, text := range foreignSegments {
		_, err := decodeSegment("d.1", []byte(text))
		NewWithT(t).Expect(err).To(HaveOccurred(), text)
	}
}

// TestForeignRecordOfClearedClaims: the record of removed claims was written in
// another form. When it was read as "none", a VM with a slow clock ran a key again
// whose claim had been removed long before.
func TestForeignRecordOfClearedClaims(t *testing.T) {
	for _, text := range []string{`null`, `{}`, `{"until":1700000000}`, `{"before":1700000000,"part":1}`} {
		g := NewWithT(t)
		store := platformsim.NewStore()
		_, err := store.Put(context.Background(), ClearedKind, "d", 0, []byte(text))
		g.Expect(err).NotTo(HaveOccurred())
		_, _, err = readClearedRecord(context.Background(), store, "d")
		g.Expect(err).To(HaveOccurred(), text)
	}
}
