package site

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"
)

// Load are clients that send attempts and keep what they saw.
type Load struct {
	Site *Site
	// Next returns the method, the path and the body of an attempt.
	Next      func(client, n int) (method, target string, body []byte)
	ThinkTime time.Duration
	Wait      time.Duration // the client's time budget
	// Fixed has the balancer give each client the same machine every time, as by a hash of the client.
	Fixed bool

	mu   sync.Mutex
	ends []Answer
	wg   sync.WaitGroup
}

// attemptsPerConn is how many attempts a client sends on one connection.
const attemptsPerConn = 5

// Run starts the clients, which send until ctx ends.
func (l *Load) Run(ctx context.Context, clients int) {
	for number := range clients {
		l.wg.Go(func() { l.client(ctx, number) })
	}
}

// Ends waits for the clients, and returns what they saw.
func (l *Load) Ends() []Answer {
	l.wg.Wait()
	return l.ends
}

// client sends attempts until ctx ends.
func (l *Load) client(ctx context.Context, number int) {
	var conn *Conn
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(l.ThinkTime)
		if conn == nil || n%attemptsPerConn == 0 {
			if conn != nil {
				_ = conn.Close()
			}
			conn = nil
			turn := n / attemptsPerConn
			if l.Fixed {
				turn = 0
			}
			c, err := Dial(l.Site.Pick(number + turn))
			if err != nil {
				continue
			}
			conn = c
		}
		id := fmt.Sprintf("%02d%08d", number, n)
		method, target, body := l.Next(number, n)
		ans, open := conn.Do(id, method, target, "", body, l.Wait)
		l.mu.Lock()
		l.ends = append(l.ends, ans)
		l.mu.Unlock()
		if ans.Cut {
			l.Site.Printf("client: attempt %s to %s, sent at %.3f, was cut: %v", id, ans.VM.Name, l.Site.Since(ans.Sent), ans.Err)
		}
		if !open {
			_ = conn.Close()
			conn = nil
		}
	}
}

// Count returns how many attempts ended with a status.
func Count(ends []Answer, status int) int {
	n := 0
	for _, ans := range ends {
		if ans.Status == status {
			n++
		}
	}
	return n
}

// AwaitAllReady waits until all VMs are ready, and starts the balancer.
func (s *Site) AwaitAllReady(ctx context.Context) error {
	for _, v := range s.VMs {
		if err := v.AwaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	s.Balance(ctx)
	// The daemons count as in touch after stable-window-ms.
	time.Sleep(StableWindow)
	return nil
}

// StableWindow is stable-window-ms of the small sites.
const StableWindow = 4 * time.Second

// WriteAll writes all attempts, in the order in which they ended, and all runs to the record.
func (s *Site) WriteAll(ends []Answer) {
	s.Printf("attempts: id, method and path, machine, sent, ended, status or how it ended; behind each its runs: leaf, service, began, ended, status, receipt")
	for _, ans := range ends {
		result := strconv.Itoa(ans.Status)
		switch {
		case ans.Cut:
			result = "cut"
		case ans.TimedOut:
			result = "time over"
		}
		s.Printf("%s %s %s %s %.3f %.3f %s", ans.ID, ans.Method, ans.Route, ans.VM.Name, s.Since(ans.Sent), s.Since(ans.Ended), result)
		for _, r := range s.Ledger.Runs(ans.ID) {
			ended := "at work"
			if !r.Ended.IsZero() {
				ended = fmt.Sprintf("%.3f", s.Since(r.Ended))
			}
			s.Printf("    %s %s %.3f %s %d %s", r.Leaf, r.Service, s.Since(r.Began), ended, r.Status, r.Stamp)
		}
	}
}
