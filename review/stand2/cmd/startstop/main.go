// Command startstop stops machines in turn, and once more while they start again.
package main

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/bramleybarrow/bramleybarrow/review/stand2/site"
)

const (
	work       = 90 * time.Millisecond // of a leaf, as work-fetch of Pletenica
	timeBudget = 2 * time.Second
	clients    = 24
	thinkTime  = 110 * time.Millisecond
	limit      = 85 * time.Second
	manifest   = `{"version":3,"routes":[{"name":"fetch","host":"h.example","path-prefix":"/fetch/","kind":"idempotent","timeout-ms":2000,"target-latency-ms":400,"priority":2,"service":"viewer","max-attempts":2}],
"services":[{"name":"viewer","health-path":"/health","max-connections":48,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`
)

func main() { os.Exit(site.Main(play)) }

// Times of the operator.
const (
	// firstDelay is the time from the start of a process to the second SIGTERM of its machine. It is adjusted in steps
	// until the signal meets a process that has begun to catch it and does not serve yet.
	firstDelay   = 1500 * time.Microsecond
	laterStep    = 100 * time.Microsecond // after a process that the signal has ended
	earlierStep  = 400 * time.Microsecond // after a process that has stopped as it should
	restartPause = 100 * time.Millisecond // from the end of a process to its next start
	calmDelay    = 3 * time.Second        // instead of firstDelay without trouble
)

// operator stops machines in turn.
type operator struct {
	s          *site.Site
	trouble    bool
	delay      time.Duration
	stops      []stop
	unanswered int
}

// stopTwice stops a machine and starts it again, and stops it once more while its process starts.
func (o *operator) stopTwice(ctx context.Context, v *site.VM) error {
	o.stops = append(o.stops, halt(o.s, v, site.Grace))
	for ended := false; !ended; {
		time.Sleep(restartPause)
		if err := v.Start(); err != nil {
			return err
		}
		began := time.Now()
		if o.trouble {
			for time.Since(began) < o.delay { // a sleep may be longer
			}
		} else {
			time.Sleep(calmDelay)
		}
		second := halt(o.s, v, site.Grace)
		o.stops = append(o.stops, second)
		ended = true
		switch {
		case second.killed:
			o.unanswered++
		case v.EndedBySignal(): // before it caught the signal
			o.delay += laterStep
			ended = ctx.Err() != nil
		default:
			o.delay -= earlierStep
		}
	}
	time.Sleep(restartPause)
	if err := v.Start(); err != nil {
		return err
	}
	return v.AwaitReady(10 * time.Second)
}

// stop is one SIGTERM of a machine.
type stop struct {
	v      *site.VM
	at     time.Time
	killed bool // the platform had to send SIGKILL after the grace time
}

func play(s *site.Site, trouble bool) (int, error) {
	s.Store.Put("config", "main", manifest)
	zones := []string{"zagreb-a", "split-a", "osijek-a"}
	for n, zone := range zones {
		leaf := &site.Leaf{ID: fmt.Sprintf("i-%d", n), Service: "viewer", Zone: zone, Slots: 6, Queue: 8, Work: func() time.Duration { return work }}
		if err := s.AddLeaf(leaf); err != nil {
			return 0, err
		}
	}
	for n, zone := range zones {
		if err := s.AddVM(fmt.Sprintf("edge-%d", n), zone, nil); err != nil {
			return 0, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := s.AwaitAllReady(ctx); err != nil {
		return 0, err
	}
	load := &site.Load{Site: s, ThinkTime: thinkTime, Wait: timeBudget, Next: func(_, n int) (string, string, []byte) {
		return "GET", fmt.Sprintf("/fetch/%d", n%40), nil
	}}
	load.Run(ctx, clients)
	time.Sleep(site.StableWindow)
	o := &operator{s: s, trouble: trouble, delay: firstDelay}
	for turn := 0; ctx.Err() == nil && o.unanswered < 2 && (trouble || turn < 3); turn++ {
		if err := o.stopTwice(ctx, s.VMs[turn%len(s.VMs)]); err != nil {
			return 0, err
		}
	}
	time.Sleep(time.Second)
	cancel()
	return judge(s, load.Ends(), o.stops), nil
}

// halt sends SIGTERM, and SIGKILL after the grace time.
func halt(s *site.Site, v *site.VM, grace time.Duration) stop {
	st := stop{v: v, at: time.Now()}
	v.Signal(syscall.SIGTERM)
	s.Printf("operator: SIGTERM to %s", v.Name)
	if !v.AwaitExit(grace) {
		st.killed = true
		ready := v.IsReady()
		v.Signal(syscall.SIGKILL)
		s.Printf("platform: SIGKILL to %s, which still runs after %s; it says that it is ready: %v", v.Name, grace, ready)
		v.AwaitExit(2 * time.Second)
	}
	s.Printf("%s has ended", v.Name)
	return st
}

// judge counts the attempts that LOST counts.
func judge(s *site.Site, ends []site.Answer, stops []stop) int {
	lost, served := 0, site.Count(ends, 200)
	for _, ans := range ends {
		if !ans.Cut {
			continue
		}
		runs := s.Ledger.Runs(ans.ID)
		for _, st := range stops {
			end := st.at.Add(site.Grace + time.Second)
			if ans.VM != st.v || ans.Sent.After(end) || ans.Ended.Before(st.at) || ans.Ended.After(end) {
				continue
			}
			if len(runs) == 0 {
				continue // it was not passed on; whether the process has read it is not known
			}
			last := runs[len(runs)-1]
			lastSixth := st.at.Add(site.Grace - site.Grace/6)
			if ans.Sent.Before(st.at.Add(3*time.Second)) && (last.Ended.IsZero() || last.Ended.After(lastSixth)) {
				continue // excused
			}
			lost++
			s.Printf("LOST: attempt %s, sent at %.3f to %s, %.3f s after its SIGTERM, reached leaf %s at %.3f; the connection ended at %.3f without an answer",
				ans.ID, s.Since(ans.Sent), ans.VM.Name, ans.Sent.Sub(st.at).Seconds(), last.Leaf, s.Since(last.Began), s.Since(ans.Ended))
			break
		}
	}
	unanswered := 0
	for _, st := range stops {
		if st.killed {
			unanswered++
		}
	}
	s.WriteAll(ends)
	text := fmt.Sprintf("%d attempts, %d served; %d SIGTERMs, %d of them without effect until SIGKILL; %d attempts LOST", len(ends), served, len(stops), unanswered, lost)
	s.Printf("%s", text)
	fmt.Println(text)
	switch {
	case lost > 0:
		return site.Broken
	case served < 500:
		return site.NotRun
	}
	return site.Held
}
