package intake

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// start is the time at which tests begin.
var start = time.Unix(1_000_000, 0)

// after returns the time so long after start.
func after(d time.Duration) time.Time { return start.Add(d) }

// open opens a connection that fits, and fails the test otherwise.
func open(g *gomega.WithT, a *Account, at time.Time) *Conn {
	c, evicted := a.Open(at, nil)
	g.Expect(c).NotTo(gomega.BeNil())
	g.Expect(evicted).To(gomega.BeEmpty())
	return c
}

// conns returns the connections of evictions.
func conns(evicted []Eviction) []*Conn {
	var list []*Conn
	for _, ev := range evicted {
		list = append(list, ev.Conn)
	}
	return list
}

// Guards against stopped bodies that leave no memory to a body which has just begun to arrive: the one that has
// held most for longest gives way, and its caller gets an answer.
func TestStoppedBodyGivesWayToNewOne(t *testing.T) {
	g := gomega.NewWithT(t)
	const size = 100 << 10
	a := NewAccount(Limits{Bytes: 3*ConnBytes + 2*size, LargeBodies: 10 * size})
	large, older, newcomer := open(g, a, start), open(g, a, start), open(g, a, after(time.Second))
	ok, _ := a.Body(after(0), older, size/2)
	g.Expect(ok).To(gomega.BeTrue())
	ok, _ = a.Body(after(time.Second), large, size)
	g.Expect(ok).To(gomega.BeTrue())
	ok, evicted := a.Body(after(10*time.Second), newcomer, size)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(evicted).To(gomega.Equal([]Eviction{{Conn: large, Phase: Arriving}}))
	ok, _ = a.Body(after(10*time.Second), large, size)
	g.Expect(ok).To(gomega.BeFalse(), "its request is refused")
	_, ok = a.Run(after(10*time.Second), large)
	g.Expect(ok).To(gomega.BeFalse())
}

// Guards against a body that makes others give way although it has cost more than they have.
func TestBodyThatHasCostMostGivesWayItself(t *testing.T) {
	g := gomega.NewWithT(t)
	const size = 100 << 10
	a := NewAccount(Limits{Bytes: 2*ConnBytes + 2*size})
	slow, recent := open(g, a, start), open(g, a, after(9*time.Second))
	ok, _ := a.Body(start, slow, size)
	g.Expect(ok).To(gomega.BeTrue())
	ok, _ = a.Body(after(9*time.Second), recent, size)
	g.Expect(ok).To(gomega.BeTrue())
	ok, evicted := a.Body(after(10*time.Second), slow, 2*size)
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(conns(evicted)).To(gomega.Equal([]*Conn{slow}))
}

// Guards against whole large bodies that leave no memory to requests with small ones, or without any.
func TestLargeBodiesLeaveMemoryToOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	a := NewAccount(Limits{Bytes: 1 << 20, LargeBodies: 512 << 10})
	for range 2 {
		c := open(g, a, start)
		ok, _ := a.Body(start, c, 256<<10)
		g.Expect(ok).To(gomega.BeTrue())
		_, ok = a.Run(start, c)
		g.Expect(ok).To(gomega.BeTrue())
	}
	c := open(g, a, start)
	ok, evicted := a.Body(start, c, SmallBody)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(evicted).To(gomega.BeEmpty())
	ok, evicted = a.Body(start, c, SmallBody+1)
	g.Expect(ok).To(gomega.BeFalse(), "those that run don't give way")
	g.Expect(evicted).To(gomega.BeEmpty())
	ok, _ = a.Reserve(start, SmallBody+1)
	g.Expect(ok).To(gomega.BeFalse())
}

// Guards against connections that use up the descriptors: the one that has been silent for longest gives way, before
// those that were used, and requests that run never do.
func TestSilentConnectionGivesWayToNewOne(t *testing.T) {
	g := gomega.NewWithT(t)
	a := NewAccount(Limits{Conns: 5})
	kept, silent, running := open(g, a, start), open(g, a, after(time.Second)), open(g, a, after(time.Second))
	a.Header(start, kept, 100)
	a.Wait(after(time.Second), kept)
	_, ok := a.Run(after(time.Second), running)
	g.Expect(ok).To(gomega.BeTrue())
	a.Run(after(2*time.Second), open(g, a, after(2*time.Second)))
	for _, want := range []*Conn{silent, kept} {
		c, evicted := a.Open(after(3*time.Second), nil)
		g.Expect(c).NotTo(gomega.BeNil())
		g.Expect(evicted).To(gomega.HaveLen(1))
		g.Expect(evicted[0].Conn).To(gomega.BeIdenticalTo(want))
		g.Expect(evicted[0].Close).To(gomega.BeTrue())
		a.Run(after(3*time.Second), c)
		a.Close(want)
	}
}

// Guards against callers that don't read their answers until other answers or requests have no memory.
func TestUnreadAnswersGiveWay(t *testing.T) {
	g := gomega.NewWithT(t)
	a := NewAccount(Limits{Bytes: 1 << 20})
	unread := open(g, a, start)
	a.Run(start, unread)
	g.Expect(a.Answer(start, unread, 700<<10)).To(gomega.BeEmpty())
	c := open(g, a, after(time.Second))
	a.Run(after(time.Second), c)
	evicted := a.Answer(after(time.Second), c, 700<<10)
	g.Expect(evicted).To(gomega.Equal([]Eviction{{Conn: unread, Phase: Answering, Close: true}}))
	a.Wait(after(time.Second), c)
	held, _ := a.Held()
	g.Expect(held).To(gomega.BeEquivalentTo(ConnBytes))
}

// Guards against descriptors that are exceeded while connections that have given way are still open.
func TestConnectionsThatGiveWayCountUntilTheyAreClosed(t *testing.T) {
	g := gomega.NewWithT(t)
	a := NewAccount(Limits{Conns: 32})
	for i := range 1000 {
		a.Open(after(time.Duration(i)*time.Millisecond), nil)
		_, n := a.Held()
		g.Expect(n).To(gomega.BeNumerically("<=", 32))
	}
}

// Guards against counts that are wrong, or bytes that stay counted, after any order of events.
func TestCountsHoldInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Bytes: 1 << 20, LargeBodies: 600 << 10, Conns: 12}
		a := NewAccount(limits)
		now := start
		var open []*Conn
		var detached []int64 // bodies of requests that run, and copies
		pick := func() *Conn {
			if len(open) == 0 {
				return nil
			}
			return open[rapid.IntRange(0, len(open)-1).Draw(t, "conn")]
		}
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			var evicted []Eviction
			c := pick()
			switch kind := rapid.IntRange(0, 9).Draw(t, "kind"); {
			case c == nil || kind < 3:
				var opened *Conn
				if opened, evicted = a.Open(now, nil); opened != nil {
					open = append(open, opened)
				}
			case kind == 3:
				_, evicted = a.Header(now, c, rapid.IntRange(1, 16<<10).Draw(t, "header"))
			case kind == 4:
				if c.phase == Waiting || c.phase == Arriving {
					_, evicted = a.Body(now, c, c.body+int64(rapid.IntRange(1, 300<<10).Draw(t, "body")))
				}
			case kind == 5:
				if body, ok := a.Run(now, c); ok && body > 0 {
					detached = append(detached, body)
				}
			case kind == 6:
				size := int64(rapid.IntRange(1, 400<<10).Draw(t, "answer"))
				evicted = a.Answer(now, c, size)
			case kind == 7:
				if rapid.Bool().Draw(t, "refuse") {
					a.Refuse(now, c)
				} else {
					a.Wait(now, c)
				}
			case kind == 8:
				a.Close(c)
				open = slices.DeleteFunc(open, func(o *Conn) bool { return o == c })
			default:
				if n := len(detached); n > 0 && rapid.Bool().Draw(t, "free") {
					a.Free(detached[n-1])
					detached = detached[:n-1]
				} else if size := int64(rapid.IntRange(1, 300<<10).Draw(t, "copy")); true {
					var ok bool
					if ok, evicted = a.Reserve(now, size); ok {
						detached = append(detached, size)
					}
				}
			}
			for _, ev := range evicted {
				if ev.Phase == Running || ev.Phase == Ended {
					t.Fatalf("a connection gave way while it was %v", ev.Phase)
				}
			}
			var bytes, large, answers, atWork int64
			ended := 0
			for _, c := range open {
				bytes += c.bytes()
				answers += c.answer
				large += largePart(c.body)
				if c.phase == Ended {
					ended++
				}
			}
			for _, size := range detached {
				atWork += size
				large += largePart(size)
			}
			held, n := a.Held()
			switch {
			case held != bytes+atWork || n != len(open) || a.large != large || a.ended != ended:
				t.Fatalf("counted %d bytes, %d large, %d connections, %d ended; are %d, %d, %d, %d", held, a.large, n, a.ended, bytes+atWork, large, len(open), ended)
			case n > limits.Conns || large > limits.LargeBodies:
				t.Fatalf("%d connections, %d bytes of large bodies", n, large)
			case held-answers > limits.Bytes: // answers are counted in any case
				t.Fatalf("%d bytes held, %d of them answers", held, answers)
			}
		}
		for _, c := range open {
			a.Close(c)
			a.Close(c) // has no effect
		}
		for _, size := range detached {
			a.Free(size)
		}
		if held, n := a.Held(); held != 0 || n != 0 || a.large != 0 || a.ended != 0 {
			t.Fatalf("%d bytes, %d large, %d connections and %d ended are left", held, a.large, n, a.ended)
		}
	})
}
