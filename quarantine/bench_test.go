package quarantine

import (
	"testing"
	"time"
)

// BenchmarkFingerprint measures what each request costs, whether any is suspect or not.
func BenchmarkFingerprint(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		FingerprintOf("tenant", "GET", "pupu76.example", "/ziti980/ti38/2f", nil)
	}
}

// BenchmarkDecideUnderStorm measures a decision while the guard remembers as many suspect contents as it may.
func BenchmarkDecideUnderStorm(b *testing.B) {
	g, now := New(), time.Unix(1_000_000, 0)
	for i := range maxContents - 1 {
		f := FingerprintOf("", "GET", "h", string(rune(i)), nil)
		for _, leaf := range []string{"a", "b", "c"} {
			g.Lost(now, f, leaf, now)
			g.Checked(now, f, leaf, true)
		}
		g.Decide(now, f, Evidence{Sent: true, Lost: 3})
	}
	f := FingerprintOf("", "GET", "h", string(rune(0)), nil)
	b.ReportAllocs()
	for b.Loop() {
		g.Decide(now, f, Evidence{})
	}
}
