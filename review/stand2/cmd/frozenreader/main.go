// Command frozenreader cuts a daemon off from the store and freezes it, while leafs leave.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/bramleybarrow/bramleybarrow/review/stand2/site"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

const (
	drain       = 3 * time.Second // drain-ms
	longer      = 3 * time.Second // how much longer a leaf serves
	rounds      = 4
	cutAfter    = 150 * time.Millisecond  // from a change that the daemons learn to the cut
	leaveAfter  = 50 * time.Millisecond   // from the cut to the leave of a leaf
	freezeAfter = 2050 * time.Millisecond // from the cut to the freeze
	freezeFor   = 3500 * time.Millisecond // node_freeze of the site
	cutFor      = 5500 * time.Millisecond // core_cut of the site
	calm        = 7 * time.Second         // between two rounds
	clients     = 30
	thinkTime   = 40 * time.Millisecond
	timeBudget  = 2 * time.Second
	manifest    = `{"version":%d,"routes":[{"name":"fetch","host":"h.example","path-prefix":"/fetch/","kind":"idempotent","timeout-ms":2000,"target-latency-ms":400,"priority":2,"service":"ledger","max-attempts":2}],
"services":[{"name":"ledger","health-path":"/health","max-connections":100,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`
)

func main() { os.Exit(site.Main(play)) }

// beating is a leaf that writes its entry.
type beating struct {
	*site.Leaf
	mu       sync.Mutex
	state    string
	sequence int
	gone     bool
}

// write writes the entry.
func (b *beating) write(s *site.Site) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.gone {
		s.Store.Put("servers", b.ID, b.Entry(b.state, b.sequence))
	}
}

// leave reports that the leaf drains. It serves on for drain and longer.
func (b *beating) leave(s *site.Site) time.Time {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.write(s)
	acked := time.Now()
	s.Printf("the store has acknowledged that %s is draining", b.ID)
	time.AfterFunc(drain+longer, func() {
		b.mu.Lock()
		b.gone = true
		b.mu.Unlock()
		s.Store.Remove("servers", b.ID)
		b.End()
	})
	return acked
}

func play(s *site.Site, trouble bool) (int, error) {
	version := 0
	writeManifest := func() {
		version += 2
		s.Store.Put("config", "main", fmt.Sprintf(manifest, version))
		s.Printf("operator: manifest %d", version)
	}
	writeManifest()
	const zone = "qc-sud-a"
	number := 0
	add := func() (*beating, error) {
		number++
		l := &site.Leaf{ID: fmt.Sprintf("i-%d", number), Service: "ledger", Zone: zone, Slots: 3, Queue: 8, Work: func() time.Duration { return 20 * time.Millisecond }}
		b := &beating{Leaf: l, state: "ready", sequence: 1}
		return b, s.AddLeaf(l)
	}
	var leafs []*beating
	for range 3 {
		b, err := add()
		if err != nil {
			return 0, err
		}
		leafs = append(leafs, b)
	}
	proxies := make(map[*site.VM]*site.Proxy)
	for n := range 3 {
		proxy, err := site.NewProxy(s.Store.Address())
		if err != nil {
			return 0, err
		}
		if err := s.AddVM(fmt.Sprintf("edge-%s-%d", zone, n+1), zone, func(set map[string]any) { set["store"] = proxy.Address() }); err != nil {
			return 0, err
		}
		proxies[s.VMs[n]] = proxy
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := s.AwaitAllReady(ctx); err != nil {
		return 0, err
	}
	followed, follower := roles(s.VMs)
	s.Printf("%s follows %s", follower.Name, followed.Name)
	load := &site.Load{Site: s, ThinkTime: thinkTime, Wait: timeBudget, Fixed: true, Next: func(_, n int) (string, string, []byte) {
		return "GET", fmt.Sprintf("/fetch/%d", n%40), nil
	}}
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	load.Run(loadCtx, clients)
	acked := make(map[string]time.Time) // by leaf: the ack of its draining
	for round := range rounds {
		time.Sleep(calm)
		b, err := add() // a change that all learn, as the next one
		if err != nil {
			return 0, err
		}
		leafs = append(leafs, b)
		writeManifest()
		time.Sleep(cutAfter)
		if trouble {
			proxies[followed].Cut()
			s.Printf("%s is cut off from the store", followed.Name)
		}
		time.Sleep(leaveAfter)
		leaf := leafs[round]
		acked[leaf.ID] = leaf.leave(s)
		time.Sleep(freezeAfter - leaveAfter)
		if trouble {
			followed.Signal(syscall.SIGSTOP)
			s.Printf("%s is frozen", followed.Name)
		}
		time.Sleep(cutFor - freezeAfter)
		if trouble {
			proxies[followed].Heal()
			s.Printf("the cut of %s is healed", followed.Name)
		}
		time.Sleep(freezeAfter + freezeFor - cutFor)
		if trouble {
			followed.Signal(syscall.SIGCONT)
			s.Printf("%s wakes", followed.Name)
		}
	}
	time.Sleep(drain)
	stop()
	return judge(s, load.Ends(), acked, followed), nil
}

// roles returns the daemon that another one of its zone follows, and that other one, as package scatter chooses them.
func roles(vms []*site.VM) (followed, follower *site.VM) {
	for _, v := range vms {
		table := scatter.NewTable(scatter.VM{Name: v.Name, Zone: v.Zone, Power: 0.4}, scatter.BudgetConfig{Ratio: 0.2, Floor: 58, Window: 10 * time.Second}, time.Now(), rand.New(rand.NewPCG(1, 1)))
		var others []scatter.VM
		for _, o := range vms {
			if o != v {
				others = append(others, scatter.VM{Name: o.Name, Zone: o.Zone, Address: o.Peers, Power: 0.4})
			}
		}
		table.SetVMs(time.Now(), others)
		readers := table.StoreReaders(time.Now())
		if readers.Self {
			continue
		}
		for _, o := range vms {
			if o.Name == readers.Others[0].Name {
				return o, v
			}
		}
	}
	return vms[0], vms[1]
}

// judge counts the arrivals that DRAIN counts: those that daemons in touch have taken and sent on.
func judge(s *site.Site, ends []site.Answer, acked map[string]time.Time, followed *site.VM) int {
	late, latest := 0, time.Duration(0)
	sent := make(map[string]site.Answer)
	for _, ans := range ends {
		sent[ans.ID] = ans
	}
	s.WriteAll(ends)
	for _, a := range s.Ledger.Arrivals() {
		at, leaving := acked[a.Leaf]
		ans, known := sent[a.ID]
		if !leaving || !known || ans.VM == followed || !a.At.After(at.Add(drain)) {
			continue
		}
		latest = max(latest, a.At.Sub(at))
		if late++; late <= 40 {
			s.Printf("DRAIN: attempt %s, sent at %.3f to %s, reached leaf %s at %.3f, %.3f s after the ack", a.ID, s.Since(ans.Sent), ans.VM.Name, a.Leaf, s.Since(a.At), a.At.Sub(at).Seconds())
		}
	}
	served := site.Count(ends, 200)
	text := fmt.Sprintf("%d attempts, %d served; %d arrivals from daemons in touch later than %s after the ack of the draining, the last one %.2f s after it", len(ends), served, late, drain, latest.Seconds())
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
