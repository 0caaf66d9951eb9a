// Command unreadable has another writer write an entry that can't be read, and kills all processes some time later.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/bramleybarrow/bramleybarrow/review/stand2/site"
)

const (
	heartbeat    = 1200 * time.Millisecond // heartbeat-interval-ms
	recover12    = 12 * time.Second        // recover-s
	restartDelay = 500 * time.Millisecond  // from the end of a process to its next start
	depth        = 20000                   // of the arrays in the entry: 40 kB, of the 1,048,576 bytes that an object may have
	clients      = 20
	thinkTime    = 100 * time.Millisecond
	timeBudget   = 2 * time.Second
	manifest     = `{"version":%d,"routes":[{"name":"fetch","host":"h.example","path-prefix":"/fetch/","kind":"idempotent","timeout-ms":2000,"target-latency-ms":400,"priority":2,"service":"viewer","max-attempts":2}],
"services":[{"name":"viewer","health-path":"/health","max-connections":48,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`
)

func main() { os.Exit(site.Main(play)) }

func play(s *site.Site, trouble bool) (int, error) {
	s.Store.Put("config", "main", fmt.Sprintf(manifest, 3))
	zones := []string{"zagreb-a", "split-a", "osijek-a"}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for n, zone := range zones {
		l := &site.Leaf{ID: fmt.Sprintf("i-%d", n), Service: "viewer", Zone: zone, Slots: 6, Queue: 8, Work: func() time.Duration { return 40 * time.Millisecond }}
		if err := s.AddLeaf(l); err != nil {
			return 0, err
		}
		go func() {
			for sequence := 2; ctx.Err() == nil; sequence++ {
				time.Sleep(heartbeat)
				s.Store.Put("servers", l.ID, l.Entry("ready", sequence))
			}
		}()
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
	time.Sleep(5 * time.Second)
	if trouble {
		s.Store.Put("servers", "x-1", strings.Repeat("[", depth)+strings.Repeat("]", depth))
		s.Printf("another writer: servers/x-1, %d arrays, one in the other", depth)
	}
	time.Sleep(5 * time.Second)
	s.Store.Put("config", "main", fmt.Sprintf(manifest, 5))
	s.Printf("the store has acknowledged manifest 5")
	fault := time.Now()
	s.Printf("all processes are killed")
	for _, v := range s.VMs {
		v.Signal(syscall.SIGKILL)
	}
	for _, v := range s.VMs {
		v.AwaitExit(2 * time.Second)
	}
	time.Sleep(restartDelay)
	for _, v := range s.VMs {
		if err := v.Start(); err != nil {
			return 0, err
		}
	}
	back := time.Now()
	s.Printf("all processes are started again")
	time.Sleep(recover12 + 12*time.Second)
	stop()
	return judge(s, load.Ends(), fault, back), nil
}

// judge compares what is served before the fault with what is served later than recover-s after the processes are back.
func judge(s *site.Site, ends []site.Answer, fault, back time.Time) int {
	var before, servedBefore, after, servedAfter int
	statuses := make(map[string]int)
	for _, ans := range ends {
		served := ans.Status == 200
		switch {
		case ans.Sent.Before(fault):
			before++
			if served {
				servedBefore++
			}
		case ans.Sent.After(back.Add(recover12)):
			after++
			if served {
				servedAfter++
			}
			statuses[fmt.Sprint(ans.Status)]++
		}
	}
	s.WriteAll(ends)
	ready := 0
	for _, v := range s.VMs {
		if v.IsReady() {
			ready++
		}
	}
	text := fmt.Sprintf("before the fault %d of %d attempts served; later than %s after the processes were back %d of %d, by status %v; %d of %d machines say that they are ready",
		servedBefore, before, recover12, servedAfter, after, statuses, ready, len(s.VMs))
	s.Printf("%s", text)
	fmt.Println(text)
	switch {
	case before < 500 || 4*servedBefore < before || after < 100:
		return site.NotRun
	case 4*servedAfter < after:
		return site.Broken
	}
	return site.Held
}
