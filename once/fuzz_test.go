package once

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/platformsim"
)

// FuzzParseKey: a key has one spelling. If two spellings of one key were stored as
// two claims, a request that is sent again in the other would run twice.
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

// FuzzSegment: a segment that was written by another release, or damaged, is
// either refused or goes through unchanged. One that lost a claim on the way would
// let its request run again.
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

// TestForeignSegmentIsRefused: VMs of two releases run side by side, and the newer
// one writes claims in another form. The older one read them as no claims at all,
// entered the key of a request that had been run, and handed it to a target again.
func TestForeignSegmentIsRefused(t *testing.T) {
	for _, text := range foreignSegments {
		_, err := decodeSegment("d.1", []byte(text))
		NewWithT(t).Expect(err).To(HaveOccurred(), text)
	}
}

// TestForeignRecordOfClearedClaims: the record that says which claims were cleared
// was written in another form. Read as "none", it let a VM with a slow clock run a
// key again whose claim is long gone.
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
