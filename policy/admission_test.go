package policy

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestAdmissionInvariants checks the invariants of Admission over random sequences of
// arrivals, ends and disconnects.
func TestAdmissionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAdmission(rapid.Float64Range(0, 4).Draw(t, "share"))
		ms, running, refusalSeen := 0, 0, false
		waiting := map[TicketID]time.Time{}
		applyVerdicts := func(list []Verdict) {
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
						t.Fatal("a refusal without RetryAfter")
					}
				}
			case "done":
				if running > 0 {
					running--
					pressure := rapid.SampledFrom([]Pressure{NoPressure, TargetsQueueing, TargetsRefusing}).Draw(t, "pressure")
					refusalSeen = refusalSeen || pressure == TargetsRefusing
					took := time.Duration(rapid.IntRange(1, 50).Draw(t, "took")) * time.Millisecond
					applyVerdicts(a.Done(at(ms), QueryEnd{Took: took, Pressure: pressure}))
				}
			case "leave":
				for id := range waiting {
					if !a.Abandon(id) {
						t.Fatal("a waiting ticket was not found")
					}
					delete(waiting, id)
					break
				}
			case "sweep":
				applyVerdicts(a.ProcessQueue(at(ms)))
			}
			if running != a.running {
				t.Fatalf("running is %d, want %d", a.running, running)
			}
			if float64(running) > math.Ceil(a.ceiling) {
				t.Fatalf("%d queries run, more than the ceiling", running)
			}
			if a.limit < minQueryLimit || a.limit > a.ceiling {
				t.Fatalf("limit %v is outside of %v to %v", a.limit, minQueryLimit, a.ceiling)
			}
			if !refusalSeen && a.limit < a.floor {
				t.Fatalf("limit %v below its floor without a refusal", a.limit)
			}
			if len(a.queue) != len(waiting) {
				t.Fatalf("%d queries wait, want %d", len(a.queue), len(waiting))
			}
		}
	})
}

// Guards against queries that wait in the queue until their deadline although it was
// clear on arrival that they would be admitted too late. They must be refused on
// arrival.
func TestQueryThatWouldMissDeadlineIsRefusedOnArrival(t *testing.T) {
	g := NewWithT(t)
	a := NewAdmission(0)
	for range int(minLimitCeiling) {
		g.Expect(a.Arrive(at(0), at(1000)).Decision).To(Equal(Admit))
	}
	for range 5 {
		a.Arrive(at(0), at(1000))
	}
	v := a.Arrive(at(1), at(40))
	g.Expect(v.Decision).To(Equal(Refuse))
	g.Expect(v.RetryAfter).To(BeNumerically(">", 0))
}

// Guards against answers that lack shards because the limit stays too high. A floor
// calculated for too few VMs keeps the limit up while targets refuse attempts, and
// admitted queries are given up. Refusals must lower the limit below the floor.
func TestRefusalsLowerTheLimitBelowItsFloor(t *testing.T) {
	g := NewWithT(t)
	a := NewAdmission(1)
	end := func(ms int, p Pressure) {
		a.Arrive(at(ms), at(ms+1000))
		a.Done(at(ms), QueryEnd{Took: time.Millisecond, Pressure: p})
	}
	for i := range 50 {
		end(i*200, TargetsQueueing)
	}
	g.Expect(a.limit).To(Equal(limitFloorPerShare), "slow attempts alone would waste slots")
	for i := range 50 {
		end(10000+i*200, TargetsRefusing)
	}
	g.Expect(a.limit).To(Equal(minQueryLimit))
	end(30000, TargetsQueueing)
	g.Expect(a.limit).To(Equal(minQueryLimit), "a lower limit is not raised by queues")
}

// Guards against callers that wait for long under lasting overload: with a long queue,
// each of them waits as long as a query takes, and then for the query itself. A short
// queue keeps the slots busy too, because further callers arrive.
func TestAdmissionWaitIsShorterThanAQuery(t *testing.T) {
	g := NewWithT(t)
	a := NewAdmission(0)
	a.ceiling, a.limit = 2, 2
	a.Arrive(at(0), at(1000))
	a.Arrive(at(0), at(1000))
	for i := range 200 { // queries of 60 ms run two at a time, and more callers arrive than can run
		ms := i * 30
		a.Done(at(ms), QueryEnd{Took: 60 * time.Millisecond})
		for range 3 {
			a.Arrive(at(ms), at(ms+1000))
		}
	}
	g.Expect(a.durationBound()).To(BeNumerically("~", 60*time.Millisecond, 10*time.Millisecond))
	g.Expect(a.expectedWait(len(a.queue))).To(BeNumerically("<=", a.durationBound()*2/3))
}
