// Command case-late-refusal plays requests that may run once at most against a leaf that is full at
// times and sends some of its answers a second time, late. It exits with 1 if a request ran twice, with
// 0 if none did, and with 2 if the case could not be played.
package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/bramleybarrow/bramleybarrow/review/lab"
)

// Sizes of the case.
const (
	vmCount     = 5               // each with one client, which keeps its connection
	extraShare  = 0.04            // of answers
	troubleTime = 5 * time.Second // of each disruption
	calmTime    = 1 * time.Second // between two disruptions
	playTime    = 90 * time.Second
)

const manifest = `{"version":1,"routes":[
	{"name":"report","host":"h.example","path-prefix":"/report/","kind":"non_idempotent","timeout-ms":15000,"target-latency-ms":800,"priority":2,"service":"ledger","max-attempts":2}],
	"services":[{"name":"ledger","health-path":"/health","max-connections":100}],
	"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

func main() { lab.Main(play) }

// play plays the case and reports whether the rule was broken.
func play(lc *lab.Case) (bool, error) {
	d, err := lc.NewDeployment()
	if err != nil {
		return false, err
	}
	defer d.Close()
	record := lc.Record
	leaf := &lab.Leaf{ID: "i-ready", Service: "ledger", Zone: "a", Slots: 2, Queue: 1, Work: 20 * time.Millisecond, Record: record}
	leaving := &lab.Leaf{ID: "i-leaving", Service: "ledger", Zone: "a", Slots: 2, Queue: 1, Work: 20 * time.Millisecond, Record: record}
	for l, state := range map[*lab.Leaf]string{leaf: "ready", leaving: "draining"} {
		if err := l.Start(); err != nil {
			return false, err
		}
		defer l.Stop()
		d.Store.Put("servers", l.ID, l.Entry(state))
	}
	d.Store.Put("config", "main", manifest)
	for i := range vmCount {
		if _, err := d.AddVM(fmt.Sprintf("vm-%d", i), "a", d.Store.Address()); err != nil {
			return false, err
		}
	}
	if err := d.AwaitReady(10 * time.Second); err != nil {
		return false, err
	}
	c := &callers{d: d, record: record, statuses: make(map[string]int)}
	var running sync.WaitGroup
	end := time.Now().Add(playTime)
	for n := range vmCount {
		running.Go(func() { c.run(n, end) })
	}
	for lc.Trouble && time.Until(end) > troubleTime {
		setExtra(leaf, record, extraShare)
		time.Sleep(troubleTime)
		setExtra(leaf, record, 0)
		time.Sleep(calmTime)
	}
	running.Wait()
	return judge(lc, []*lab.Leaf{leaf, leaving}, c), nil
}

// setExtra sets the share of answers that a leaf sends twice.
func setExtra(leaf *lab.Leaf, record *lab.Record, share float64) {
	record.Printf("leaf %s sends a share of %.2f of its answers again, late", leaf.ID, share)
	leaf.SetExtra(share)
}

// callers send requests.
type callers struct {
	d      *lab.Deployment
	record *lab.Record

	mu       sync.Mutex
	statuses map[string]int // by request id; 0 for a closed connection
}

// run sends requests one after the other until end. A refused request is sent again, as a new one,
// after the time that the refusal states.
func (c *callers) run(n int, end time.Time) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("c%02d-%06d", n, i)
		status, retryAfter := c.send(client, c.d.VMs[n].Settings.Listen.Callers, id)
		c.record.Printf("client gets %d for %s", status, id)
		c.mu.Lock()
		c.statuses[id] = status
		c.mu.Unlock()
		time.Sleep(retryAfter)
	}
}

// send sends a request and returns the status of the answer and its Retry-After.
func (c *callers) send(client *http.Client, address, id string) (int, time.Duration) {
	// GetBody is left out, so that net/http sends the request once.
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/report/x", io.NopCloser(bytes.NewReader([]byte("report "+id))))
	if err != nil {
		return 0, 0
	}
	req.Host, req.ContentLength = "h.example", int64(len("report "+id))
	req.Header.Set("Bramleybarrow-Attempt-Id", id)
	req.Header.Set("Bramleybarrow-Deadline-Ms", "15000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}

// judge reports whether a request ran twice. It also counts those that ran although they were answered
// 429 or 503, which breaks REFUSED.
func judge(lc *lab.Case, leafs []*lab.Leaf, c *callers) bool {
	total, where := make(map[string]int), make(map[string]string)
	rejects, extras := 0, 0
	for _, l := range leafs {
		runs, rejected, again := l.Runs()
		rejects, extras = rejects+rejected, extras+again
		for id, n := range runs {
			total[id] += n
			where[id] += fmt.Sprintf(" %s:%d", l.ID, n)
		}
	}
	twice, refused, ends := 0, 0, make(map[int]int)
	for id, status := range c.statuses {
		ends[status]++
		if total[id] > 1 {
			twice++
			lc.Record.Printf("TWICE %s ran at%s, client got %d", id, where[id], status)
		}
		if (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && total[id] > 0 {
			refused++
			lc.Record.Printf("REFUSED %s was answered %d and ran at%s", id, status, where[id])
		}
	}
	lc.Conclude("requests %d, answers by status %v, rejected by leafs %d, extra answers %d; ran twice %d, answered as not run and ran %d",
		len(c.statuses), ends, rejects, extras, twice, refused)
	return twice > 0
}
