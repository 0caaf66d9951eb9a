package policy

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkQuery measures the decisions of one query, by its number of shards.
func BenchmarkQuery(b *testing.B) {
	for _, shards := range []int{10, 40, 320} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			f := newFleet(shards, 4, 1)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := at(i)
				q := NewQuery(Spec{Deadline: now.Add(time.Second), MinCoverage: 1, HedgeQuantile: 0.95, MaxAttempts: 3}, f.table)
				for _, s := range sends(q.Start(now)) {
					q.HandleAnswer(now.Add(time.Millisecond), s.Attempt, answer(s))
					q.NextTick()
				}
			}
		})
	}
}
