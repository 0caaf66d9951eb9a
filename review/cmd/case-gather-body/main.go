// Command case-gather-body plays searches with a body over 20 shards while some leafs of one zone
// crash. It exits with 1 if a leaf ran a search with another body than the client's, with 0 if none
// did, and with 2 if the case could not be played.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/bramleybarrow/bramleybarrow/review/lab"
)

// Sizes and times of the case.
const (
	shardCount   = 20
	crashedLeafs = 5 // of 40: a share of 0.125
	work         = 28 * time.Millisecond
	calmTime     = 5 * time.Second
	troubleTime  = 5 * time.Second
	lapseTime    = 3600 * time.Millisecond // after which the entry of a silent leaf is removed
	pause        = 50 * time.Millisecond   // between two requests of a client
)

func main() { lab.Main(play) }

// manifest returns the manifest, with one route that gathers from all shards.
func manifest() string {
	var names, services []string
	for i := range shardCount {
		names = append(names, fmt.Sprintf("%q", shard(i)))
		services = append(services, fmt.Sprintf(`{"name":%q,"health-path":"/health","max-connections":26}`, shard(i)))
	}
	return fmt.Sprintf(`{"version":1,"routes":[
	{"name":"grade","host":"h.example","path-prefix":"/grade/","kind":"idempotent","timeout-ms":3000,"target-latency-ms":200,"priority":1,"gather":[%s],"max-attempts":2,"top-k":20,"min-share":0.75}],
	"services":[%s],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`,
		strings.Join(names, ","), strings.Join(services, ","))
}

// shard returns the name of a shard's service.
func shard(i int) string { return fmt.Sprintf("shard-%02d", i) }

// bodyOf returns the body of the request with an id.
func bodyOf(id string) string { return `{"search":"` + id + `"}` }

// runs counts what leafs ran.
type runs struct {
	record *lab.Record

	mu             sync.Mutex
	total, changed int
	requests       map[string]bool // ids of the requests with a changed body
}

// observe checks the body of a request that runs.
func (r *runs) observe(leaf, id, method string, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if string(body) == bodyOf(id) {
		return
	}
	r.changed++
	r.requests[id] = true
	r.record.Printf("UNASKED leaf %s runs %s %s with the body %q, sent was %q", leaf, method, id, body, bodyOf(id))
}

// play plays the case and reports whether the rule was broken.
func play(lc *lab.Case) (bool, error) {
	d, err := lc.NewDeployment()
	if err != nil {
		return false, err
	}
	defer d.Close()
	record := lc.Record
	seen := &runs{record: record, requests: make(map[string]bool)}
	leafs := make(map[string]*lab.Leaf)
	for i := range shardCount {
		for _, zone := range []string{"a", "b"} {
			l := &lab.Leaf{ID: fmt.Sprintf("i-%02d-%s", i, zone), Service: shard(i), Zone: zone, Slots: 2, Queue: 12, Work: work, Record: record, Observe: seen.observe}
			if err := l.Start(); err != nil {
				return false, err
			}
			defer l.Stop()
			leafs[l.ID] = l
			d.Store.Put("servers", l.ID, l.Entry("ready"))
		}
	}
	d.Store.Put("config", "main", manifest())
	for i, zone := range []string{"a", "a", "b", "b"} {
		if _, err := d.AddVM(fmt.Sprintf("vm-%s-%d", zone, i), zone, d.Store.Address()); err != nil {
			return false, err
		}
	}
	if err := d.AwaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second) // until the daemons know each other
	c := &callers{record: record, ends: make(map[int]int)}
	end := time.Now().Add(calmTime + troubleTime)
	var running sync.WaitGroup
	for n, vm := range d.VMs {
		running.Go(func() { c.run(n, vm.Settings.Listen.Callers, end) })
	}
	time.Sleep(calmTime)
	if lc.Trouble {
		crash(d, leafs, record)
	}
	running.Wait()
	lc.Conclude("requests by status %v; runs at leafs %d, with another body %d, of %d requests", c.ends, seen.total, seen.changed, len(seen.requests))
	return seen.changed > 0, nil
}

// crash ends some leafs of zone a for good. Their entries lapse.
func crash(d *lab.Deployment, leafs map[string]*lab.Leaf, record *lab.Record) {
	for i := range crashedLeafs {
		id := fmt.Sprintf("i-%02d-a", i)
		leafs[id].Stop()
		record.Printf("leaf %s crashes", id)
		time.AfterFunc(lapseTime, func() { d.Store.Remove("servers", id) })
	}
}

// callers send searches.
type callers struct {
	record *lab.Record

	mu   sync.Mutex
	ends map[int]int // answers by status; 0 for none
}

// run sends searches one after the other until end.
func (c *callers) run(n int, address string, end time.Time) {
	client := &http.Client{Transport: &http.Transport{}}
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("c%d-%05d", n, i)
		c.record.Printf("client sends %s", id)
		status := send(client, address, id)
		c.record.Printf("client gets %d for %s", status, id)
		c.mu.Lock()
		c.ends[status]++
		c.mu.Unlock()
		time.Sleep(pause)
	}
}

// send sends a search and returns the status of the answer, 0 if there was none.
func send(client *http.Client, address, id string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/grade/x", strings.NewReader(bodyOf(id)))
	if err != nil {
		return 0
	}
	req.Host = "h.example"
	req.Header.Set("Bramleybarrow-Attempt-Id", id)
	req.Header.Set("Bramleybarrow-Deadline-Ms", "3000")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
