package scatter

import (
	"testing"
	"time"
)

// BenchmarkGatheredQuery measures the time and the allocations of the decisions for one request
// over 90 shards with three leafs each, where all answers arrive one after another. A VM with a
// fifth of a core has about 16 ms of processor time within the latency objective for everything
// that it does.
func BenchmarkGatheredQuery(b *testing.B) {
	w := newWorld(b)
	names := w.shards(90, homeZone, "other", "third")
	spec := w.gathered(names)
	b.ReportAllocs()
	for b.Loop() {
		spec.AnswerBy, spec.Deadline = w.now.Add(90*time.Millisecond), w.now.Add(400*time.Millisecond)
		q := NewQuery(spec, w.table)
		first := sends(q.Start(w.now))
		q.Wake(w.now)
		for _, s := range first {
			w.wait(100 * time.Microsecond)
			w.table.AttemptEnded(w.now, s.Leaf, s.SentAt, EndAnswered)
			q.Reply(w.now, s.Attempt, false)
			q.Wake(w.now)
		}
	}
}
