// Command foreignentry has another writer write entries of leafs that lack a field.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/bramleybarrow/bramleybarrow/review/stand2/site"
)

const (
	heartbeat  = 1200 * time.Millisecond // heartbeat-interval-ms
	clients    = 20
	thinkTime  = 100 * time.Millisecond
	timeBudget = 2 * time.Second
	writes     = 3               // of the other writer
	pause      = 5 * time.Second // between them
	manifest   = `{"version":3,"routes":[
{"name":"fetch","host":"h.example","path-prefix":"/fetch/","kind":"idempotent","timeout-ms":2000,"target-latency-ms":400,"priority":2,"service":"viewer","max-attempts":2},
{"name":"old","host":"h.example","path-prefix":"/old/","kind":"idempotent","timeout-ms":2000,"target-latency-ms":400,"priority":2,"service":"catalogue","max-attempts":2}],
"services":[{"name":"viewer","health-path":"/health","max-connections":48,"protocol":"h1","tls":false},{"name":"catalogue","health-path":"/health","max-connections":48,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`
)

// allowed is the service of each path prefix in the only manifest.
var allowed = map[string]string{"/fetch/": "viewer", "/old/": "catalogue"}

func main() { os.Exit(site.Main(play)) }

func play(s *site.Site, trouble bool) (int, error) {
	s.Store.Put("config", "main", manifest)
	zones := []string{"zagreb-a", "split-a", "osijek-a"}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, service := range []string{"viewer", "catalogue"} {
		for n, zone := range zones {
			l := &site.Leaf{ID: fmt.Sprintf("i-%s-%d", service, n), Service: service, Zone: zone, Slots: 6, Queue: 8,
				Work: func() time.Duration { return 40 * time.Millisecond }}
			if err := s.AddLeaf(l); err != nil {
				return 0, err
			}
			go beat(ctx, s, l)
		}
	}
	for n, zone := range zones {
		if err := s.AddVM(fmt.Sprintf("edge-%d", n), zone, nil); err != nil {
			return 0, err
		}
	}
	if err := s.AwaitAllReady(ctx); err != nil {
		return 0, err
	}
	load := &site.Load{Site: s, ThinkTime: thinkTime, Wait: timeBudget, Next: func(client, n int) (string, string, []byte) {
		prefix := []string{"/fetch/", "/old/"}[(client+n)%2]
		return "GET", fmt.Sprintf("%s%d", prefix, n%40), nil
	}}
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	load.Run(loadCtx, clients)
	for n := range writes {
		time.Sleep(pause)
		l := s.Leafs[len(zones)+n] // of catalogue
		entry := fmt.Sprintf(`{"service":"viewer","address":%q,"zone":%q,"slots":6,"state":"ready","cold-left-ms":0,"sequence":1,"born":%d}`, l.Address(), l.Zone, l.Born)
		if trouble {
			s.Store.Put("servers", l.ID, entry)
			s.Printf("another writer: servers/%s %s", l.ID, entry)
		}
	}
	time.Sleep(pause)
	stop()
	ends := load.Ends()
	return judge(s, ends), nil
}

var sequence atomic.Int64

// beat writes a leaf's own entry each heartbeat.
func beat(ctx context.Context, s *site.Site, l *site.Leaf) {
	for ctx.Err() == nil {
		s.Store.Put("servers", l.ID, l.Entry("ready", int(sequence.Add(1))))
		time.Sleep(heartbeat)
	}
}

// judge counts the runs that ROUTE counts.
func judge(s *site.Site, ends []site.Answer) int {
	broken, served := 0, 0
	for _, ans := range ends {
		if ans.Status == 200 {
			served++
		}
		for _, r := range s.Ledger.Runs(ans.ID) {
			service := ""
			for prefix, name := range allowed {
				if strings.HasPrefix(r.Target, prefix) {
					service = name
				}
			}
			if r.Service == service {
				continue
			}
			if broken++; broken <= 20 {
				s.Printf("ROUTE: attempt %s for %s, sent at %.3f to %s, ran at %s of %s at %.3f; the client got %d with the receipt %q",
					ans.ID, r.Target, s.Since(ans.Sent), ans.VM.Name, r.Leaf, r.Service, s.Since(r.Began), ans.Status, ans.Header.Get("Bramleybarrow-Response-Stamp"))
			}
		}
	}
	s.WriteAll(ends)
	text := fmt.Sprintf("%d attempts, %d served; %d ran at a service that no manifest allows", len(ends), served, broken)
	s.Printf("%s", text)
	fmt.Println(text)
	switch {
	case broken > 0:
		return site.Broken
	case served < 500:
		return site.NotRun
	}
	return site.Held
}
