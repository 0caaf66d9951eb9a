package policy

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestAdmissionInvariants drives admission through random arrivals, ends and
// departures.
func TestAdmissionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAdmission(8)
		ms, running := 0, 0
		waiting := map[TicketID]time.Time{}
		settle := func(list []Verdict) {
			for _, v := range list {
				if _, ok := waiting[v.Ticket]; !ok {
					t.Fatalf("verdict on ticket %d, which does not wait", v.Ticket)
				}
				delete(waiting, v.Ticket)
				if v.Decision == Admit {
					running++
				}
			}
		}
		for range 200 {
			ms += rapid.IntRange(0, 10).Draw(t, "ms")
			switch rapid.SampledFrom([]string{"arrive", "done", "leave", "sweep"}).Draw(t, "event") {
			case "arrive":
				deadline := at(ms + rapid.IntRange(1, 200).Draw(t, "limit"))
				switch v := a.Arrive(at(ms), deadline); v.Decision {
				case Admit:
					running++
				case Wait:
					waiting[v.Ticket] = deadline
				case Refuse:
					if v.RetryAfter <= 0 {
						t.Fatal("a refusal without a time to come back")
					}
				}
			case "done":
				if running > 0 {
					running--
					settle(a.Done(at(ms), QueryEnd{Took: time.Duration(rapid.IntRange(1, 50).Draw(t, "took")) * time.Millisecond, Overloaded: rapid.Bool().Draw(t, "over")}))
				}
			case "leave":
				for id := range waiting {
					if !a.Leave(id) {
						t.Fatal("a waiting ticket was not found")
					}
					delete(waiting, id)
					break
				}
			case "sweep":
				settle(a.Sweep(at(ms)))
			}
			if running != a.running {
				t.Fatalf("running is %d, want %d", a.running, running)
			}
			if float64(running) > 9 {
				t.Fatalf("%d running above the ceiling", running)
			}
			if len(a.queue) != len(waiting) {
				t.Fatalf("queue holds %d, want %d", len(a.queue), len(waiting))
			}
		}
	})
}

// A caller waits in a queue until its time is over, though it was clear from
// the start that its turn would come too late. It has to be refused on arrival.
func TestHopelessQueryIsRefusedOnArrival(t *testing.T) {
	g := NewWithT(t)
	a := NewAdmission(1)
	g.Expect(a.Arrive(at(0), at(1000)).Decision).To(Equal(Admit))
	for range 5 {
		a.Arrive(at(0), at(1000))
	}
	v := a.Arrive(at(1), at(40))
	g.Expect(v.Decision).To(Equal(Refuse))
	g.Expect(v.RetryAfter).To(BeNumerically(">", 0))
}
