// Command bornback has a leaf start again while the clock of its machine jumps back, and leave later.
package main

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/bramleybarrow/bramleybarrow/review/stand2/site"
)

const (
	heartbeat  = 1200 * time.Millisecond // heartbeat-interval-ms
	drain      = 3 * time.Second         // drain-ms
	longer     = 3 * time.Second         // how much longer the leaf serves
	jump       = 2 * time.Second         // of the clock
	down       = time.Second             // from the end of the leaf to its next start
	clients    = 20
	thinkTime  = 100 * time.Millisecond
	timeBudget = 2 * time.Second
	manifest   = `{"version":3,"routes":[{"name":"fetch","host":"h.example","path-prefix":"/fetch/","kind":"idempotent","timeout-ms":2000,"target-latency-ms":400,"priority":2,"service":"viewer","max-attempts":2}],
"services":[{"name":"viewer","health-path":"/health","max-connections":48,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`
)

func main() { os.Exit(site.Main(play)) }

// clock is the time of day of the leaf's machine.
type clock struct{ ahead atomic.Int64 }

func (c *clock) unixMilli() int64 { return time.Now().UnixMilli() + c.ahead.Load() }

func play(s *site.Site, trouble bool) (int, error) {
	s.Store.Put("config", "main", manifest)
	zones := []string{"zagreb-a", "split-a", "osijek-a"}
	work := func() time.Duration { return 40 * time.Millisecond }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for n, zone := range zones[1:] {
		if err := s.AddLeaf(&site.Leaf{ID: fmt.Sprintf("i-%d", n+1), Service: "viewer", Zone: zone, Slots: 6, Queue: 8, Work: work}); err != nil {
			return 0, err
		}
	}
	var machine clock
	if trouble {
		machine.ahead.Store(jump.Milliseconds())
	}
	newLeaf := func() *site.Leaf {
		return &site.Leaf{ID: "i-0", Service: "viewer", Zone: zones[0], Slots: 6, Queue: 8, Work: work, Ledger: s.Ledger, Born: machine.unixMilli()}
	}
	for n, zone := range zones {
		if err := s.AddVM(fmt.Sprintf("edge-%d", n), zone, nil); err != nil {
			return 0, err
		}
	}
	if err := s.AwaitAllReady(ctx); err != nil {
		return 0, err
	}
	load := &site.Load{Site: s, ThinkTime: thinkTime, Wait: timeBudget, Next: func(_, n int) (string, string, []byte) {
		return "GET", fmt.Sprintf("/fetch/%d", n%40), nil
	}}
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	load.Run(loadCtx, clients)

	first := newLeaf()
	if err := first.Start(); err != nil {
		return 0, err
	}
	address := first.Address()
	write := func(l *site.Leaf, state string, sequence int) {
		entry := l.Entry(state, sequence)
		s.Store.Put("servers", l.ID, entry)
		s.Printf("leaf %s: %s", l.ID, entry)
	}
	write(first, "ready", 1)
	time.Sleep(300 * time.Millisecond)
	if trouble {
		s.Printf("the clock of the machine of %s jumps back by %s", first.ID, jump)
	}
	machine.ahead.Store(0)
	first.End()
	s.Printf("leaf %s ends", first.ID)
	time.Sleep(down)
	second := newLeaf()
	if err := second.StartAt(address); err != nil {
		return 0, err
	}
	s.Leafs = append(s.Leafs, second)
	s.Printf("leaf %s starts again at %s", second.ID, address)
	sequence := 1
	for range 6 {
		write(second, "ready", sequence)
		sequence++
		time.Sleep(heartbeat)
	}
	write(second, "draining", sequence)
	acked := time.Now()
	s.Printf("the store has acknowledged that %s is draining", second.ID)
	time.Sleep(drain + longer)
	second.End()
	s.Store.Remove("servers", second.ID)
	s.Printf("leaf %s has left", second.ID)
	time.Sleep(2 * time.Second)
	stop()
	ends := load.Ends()
	return judge(s, ends, acked), nil
}

// judge counts the arrivals that DRAIN counts.
func judge(s *site.Site, ends []site.Answer, acked time.Time) int {
	late := 0
	sent := make(map[string]site.Answer)
	for _, ans := range ends {
		sent[ans.ID] = ans
	}
	for _, a := range s.Ledger.Arrivals() {
		if a.Leaf != "i-0" || !a.At.After(acked.Add(drain)) {
			continue
		}
		if late++; late <= 20 {
			s.Printf("DRAIN: attempt %s, sent at %.3f, reached leaf %s at %.3f, %.3f s after the ack", a.ID, s.Since(sent[a.ID].Sent), a.Leaf, s.Since(a.At), a.At.Sub(acked).Seconds())
		}
	}
	served := site.Count(ends, 200)
	s.WriteAll(ends)
	text := fmt.Sprintf("%d attempts, %d served; %d arrivals at the leaf later than %s after the ack of its draining", len(ends), served, late, drain)
	s.Printf("%s", text)
	fmt.Println(text)
	switch {
	case late > 0:
		return site.Broken
	case served < 500:
		return site.NotRun
	}
	return site.Held
}
