package once

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/platformsim"
)

// FuzzParseKey guards against a request that runs twice because its key was sent in
// two forms, which were stored as two claims. Each key has one canonical form, which
// parses to the same key.
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

// FuzzSegment guards against a claim that is lost when its segment is read and
// written, so that its request could run again. A segment that was written by another
// release, or is damaged, must be rejected, or decoded and encoded without change.
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

// foreignSegments are values of segments that no VM of this release writes.
// decodeSegment must reject them.
var foreignSegments = []string{
	``, `null`, `[]`, `{}`, `{"claims":{"k":{"op":"o"}}}`, `{"entries":null}`,
	`{"entries":{"k":{"op":"o","part":1}}}`, `{"entries":{}} {"entries":{"k":{"op":"o"}}}`,
}

// TestForeignSegmentIsRefused guards against a second run while VMs of two releases
// run at the same time and the newer release stores claims in another form. If the
// older release read them as an empty segment, it could claim the key of a request
// that was run, and hand the request to a target again.
func TestForeignSegmentIsRefused(t *testing.T) {
	for _, text := range foreignSegments {
		_, err := decodeSegment("d.1", []byte(text))
		NewWithT(t).Expect(err).To(HaveOccurred(), text)
	}
}

// TestForeignRecordOfClearedClaims guards against a second run after the record of
// removed claims was written in another form. If it were read as "nothing was
// removed", a VM with a slow clock could run a request again whose claim was removed.
// The read must fail instead.
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
