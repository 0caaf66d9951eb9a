package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// dayLog holds requests of two daemons, as a log collector writes them into one file.
const dayLog = `1.0 vm-a {"msg":"started","time":"2026-01-01T00:00:00Z","zone":"za"}
1.0 vm-b {"msg":"started","time":"2026-01-01T00:00:00Z","zone":"zb"}
1.1 vm-a {"msg":"request","time":"2026-01-01T00:00:01Z","route":"sweep","verdict":"answered","shards":10,"missing":0,"gaps":"","late_ms":0}
1.1 vm-a {"msg":"request","time":"2026-01-01T00:00:01Z","route":"sweep","verdict":"answered","shards":10,"missing":1,"gaps":"slow 1: s3","late_ms":0}
1.1 vm-b {"msg":"request","time":"2026-01-01T00:00:02Z","route":"sweep","verdict":"answered","shards":10,"missing":0,"gaps":"","late_ms":7}
2.9 vm-b {"msg":"request","time":"2026-01-01T00:00:04Z","route":"one","verdict":"timed_out","shards":0,"gaps":""}
2.9 vm-b {"msg":"request","time":"2026-01-01T00:00:04Z","route":"sweep","verdict":"short","shards":10,"gaps":"budget 2: s1 s2; silent 5: s3 s4 s5"}
2.9 vm-b {"msg":"request","time":"2026-01-01T00:00:04Z","route":"sweep","verdict":"not_run","shards":10,"gaps":"forecast 10: s1 s2 s3"}
2.9 vm-b {"msg":"request","time":"2026-01-01T00:00:04Z","route":"sweep","verdict":"abandoned","shards":10,"gaps":""}
2.9 vm-b {"msg":"request refused","time":"2026-01-01T00:00:04Z","why":"no_manifest","status":503}
2.9 vm-b {"msg":"request refused","time":"2026-01-01T00:00:04Z","why":"no_route","status":404}
2.9 vm-b {"msg":"request refused","time":"2026-01-01T00:00:04Z","why":"key_unknown","status":401}
2.9 vm-b {"msg":"request","time":"2026-01-01T00:00:04Z","route":"probe","verdict":"short","shards":10,"gaps":""}
not a line of ours
`

// Guards against an account that doesn't add up: what was lost by cause, in windows, by route and by
// zone each makes up what was not earned of what was owed.
func TestAccountOfADayAddsUp(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewDayReader(DayOptions{LateCredit: 0.1, Weights: map[string]float64{"sweep": 2, "probe": 0}})
	g.Expect(r.Read(strings.NewReader(dayLog))).To(gomega.Succeed())
	day := r.Day()
	g.Expect(day.Unread).To(gomega.Equal(1))
	total := day.Total
	g.Expect([]int{total.Asked, total.InTime, total.Late, total.Refused, total.Failed}).To(gomega.Equal([]int{7, 2, 1, 2, 2}))
	g.Expect(total.Owed).To(gomega.BeNumerically("~", 12))
	g.Expect(total.Earned).To(gomega.BeNumerically("~", 2+2*0.81+2*0.1))
	g.Expect(total.Lost).To(gomega.HaveLen(6))
	g.Expect(total.Lost["left out: slow"]).To(gomega.BeNumerically("~", 2*0.19))
	g.Expect(total.Lost["short: silent"]).To(gomega.BeNumerically("~", 2))
	g.Expect(total.NotOwed).To(gomega.Equal(map[string]int{reasonNoRoute: 1, reasonKey: 1}))
	for _, group := range [][]Account{{total}, day.Windows, day.Routes, day.Zones} {
		owed, earned, lost := 0.0, 0.0, 0.0
		for _, a := range group {
			owed, earned = owed+a.Owed, earned+a.Earned
			for _, credit := range a.Lost {
				lost += credit
			}
		}
		g.Expect(owed).To(gomega.BeNumerically("~", total.Owed))
		g.Expect(earned + lost).To(gomega.BeNumerically("~", owed))
	}
	g.Expect(day.Windows).To(gomega.HaveLen(2))
	g.Expect(day.Windows[1].Name).To(gomega.Equal((2 * time.Second).String()))
	g.Expect(day.Zones).To(gomega.HaveLen(2))
}

// Guards against a report on nothing that divides by zero or fails.
func TestAccountOfNoRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(NewDayReader(DayOptions{}).Day().Total.Asked).To(gomega.BeZero())
}

// Guards against a request without a readable time that counts as one of the year 1, so that the
// windows of all others begin from there.
func TestLineWithoutATimeIsUnread(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewDayReader(DayOptions{})
	g.Expect(r.Read(strings.NewReader(`{"msg":"request","time":"noon","route":"one","verdict":"answered"}
{"msg":"request","time":"2026-01-01T00:00:01Z","route":"one","verdict":"answered"}
`))).To(gomega.Succeed())
	day := r.Day()
	g.Expect(day.Unread).To(gomega.Equal(1))
	g.Expect(day.Windows).To(gomega.HaveLen(1))
	g.Expect(day.Windows[0].Name).To(gomega.Equal("0s"))
}

// Guards against a share of credit that is counted of a whole request where less is owed.
func TestShareOfCreditOfLightRoutes(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect((&Account{Owed: 0.5, Earned: 0.25}).Share(0.25)).To(gomega.Equal(0.5))
	g.Expect((&Account{}).Share(0)).To(gomega.BeZero())
}

// notOwedLog holds requests that the manifest or the tenant's limit forbids, and checks of a route
// whose service has no leafs, beside a request that is refused for want of a leaf.
const notOwedLog = `{"msg":"request refused","time":"2026-01-01T00:00:01Z","why":"unknown_key","status":401}
{"msg":"request refused","time":"2026-01-01T00:00:01Z","why":"limit","status":429,"tenant":"acme"}
{"msg":"request","time":"2026-01-01T00:00:01Z","route":"idle","verdict":"not_run","shards":0,"gaps":"no_leaf 1: s","tenant":"acme","rank":2}
{"msg":"request","time":"2026-01-01T00:00:01Z","route":"one","verdict":"not_run","shards":0,"gaps":"no_leaf 1: s","tenant":"acme","rank":2}
{"msg":"request","time":"2026-01-01T00:00:01Z","route":"one","verdict":"answered","shards":0,"gaps":"","tenant":"bolt","rank":0}
{"msg":"request","time":"2026-01-01T00:00:01Z","route":"one","verdict":"timed_out","shards":0,"gaps":"","sent":1,"tenant":"bolt","rank":0}
`

// Guards against losses that no caller had: requests to which no answer is owed must not count as
// asked, and an outcome without a gap keeps its own name.
func TestWhatIsNotOwedStandsApart(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewDayReader(DayOptions{})
	g.Expect(r.Read(strings.NewReader(notOwedLog))).To(gomega.Succeed())
	day := r.Day()
	g.Expect(day.Total.NotOwed).To(gomega.Equal(map[string]int{reasonKey: 1, reasonLimit: 1, reasonUnserved: 1}))
	g.Expect(day.Total.Asked).To(gomega.Equal(3))
	g.Expect(day.Total.Lost).To(gomega.Equal(map[string]float64{"refused: no_leaf": 1, "timed_out": 1}))
	g.Expect(day.Tenants).To(gomega.HaveLen(2))
	g.Expect(day.Tenants[0].NotOwed[reasonLimit]).To(gomega.Equal(1))
	g.Expect(day.Ranks[0].Name).To(gomega.Equal("rank 0"))
	g.Expect(day.Ranks[0].Asked).To(gomega.Equal(2))
}
