package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/edgesim"
	"github.com/bramleybarrow/bramleybarrow/topk"
)

// callers send requests and check what they get. They keep using open connections until
// the process at the other end is gone.
type callers struct {
	deployment *deployment

	mu         sync.Mutex // guards the fields below
	violations []string   // promises that were broken
	reports    map[string]int
	served     int
}

// Requests of a caller's reports that must run once, by the status they were answered:
// 0 for none.
const noAnswer = 0

func (c *callers) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// run sends requests until ctx ends.
func (c *callers) run(ctx context.Context, number int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(number)))
	client := newClient()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%02d-%012d", number, n)
		vm := c.deployment.vms[rng.IntN(len(c.deployment.vms))]
		c.send(client, vm, id, rng.IntN(3))
		time.Sleep(time.Duration(5+rng.IntN(20)) * time.Millisecond)
	}
}

func (c *callers) send(client *http.Client, v *vm, id string, kind int) {
	method, path := "GET", [...]string{"/all/x", "/one/x", "/once/x"}[kind]
	if kind == 2 {
		method = "POST"
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.set.Listen.Callers+path, strings.NewReader("report"))
	if err != nil {
		c.addViolation("%s: %v", id, err)
		return
	}
	req.GetBody = nil // the client must not send a report again by itself
	req.Host = "h.example"
	req.Header.Set("Bramleybarrow-Attempt-Id", id)
	req.Header.Set("Bramleybarrow-Deadline-Ms", "700")
	status, header, body := do(client, req)
	c.mu.Lock()
	if kind == 2 {
		c.reports[id] = status
	}
	if status == http.StatusOK {
		c.served++
	}
	c.mu.Unlock()
	if status != http.StatusOK {
		return
	}
	if kind == 0 {
		c.checkGathered(id, header, body)
	} else {
		c.checkSingle(id, header, body)
	}
}

// do returns what came, noAnswer if the answer was not whole.
func do(client *http.Client, req *http.Request) (int, http.Header, []byte) {
	resp, err := client.Do(req)
	if err != nil {
		return noAnswer, nil, nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return noAnswer, nil, nil
	}
	return resp.StatusCode, resp.Header, body
}

func (c *callers) checkSingle(id string, header http.Header, body []byte) {
	receipt := header.Get("Bramleybarrow-Response-Stamp")
	l := c.deployment.leafs[strings.TrimSuffix(receipt, "."+id)]
	if l == nil || !bytes.Equal(body, l.Answer(id)) {
		c.addViolation("%s: an answer that is no leaf's: receipt %q, %d bytes", id, receipt, len(body))
	}
}

// checkGathered checks that each receipt is of another shard, that the count of missing
// ones is true, and that the body is the greatest records of just these parts.
func (c *callers) checkGathered(id string, header http.Header, body []byte) {
	seen := make(map[string]bool)
	var records [][]byte
	for _, receipt := range strings.Split(header.Get("Bramleybarrow-Part-Stamps"), ", ") {
		l := c.deployment.leafs[strings.TrimSuffix(receipt, "."+id)]
		if l == nil || seen[l.Service] {
			c.addViolation("%s: receipt %q is of no leaf, or of a shard that is in already", id, receipt)
			return
		}
		seen[l.Service] = true
		records = append(records, recordsOf(l, id)...)
	}
	if missing := header.Get("Bramleybarrow-Missing-Parts"); missing != fmt.Sprint(shardCount-len(seen)) {
		c.addViolation("%s: %s parts are said to be missing, %d are in", id, missing, len(seen))
	}
	sort.Slice(records, func(i, j int) bool { return bytes.Compare(records[i], records[j]) > 0 })
	if !bytes.Equal(body, bytes.Join(records[:min(5, len(records))], nil)) {
		c.addViolation("%s: the records are not the greatest of the parts named", id)
	}
}

func recordsOf(l *edgesim.Leaf, id string) [][]byte {
	var records [][]byte
	for body := l.Answer(id); len(body) > 0; body = body[topk.RecordBytes:] {
		records = append(records, body[:topk.RecordBytes])
	}
	return records
}

// checkReports checks, when all is over, that each report ran once at most, and not at
// all where its caller was told so.
func (c *callers) checkReports() {
	for id, status := range c.reports {
		runs := 0
		for _, l := range c.deployment.leafs {
			_, n := l.Counts(id)
			runs += n
		}
		if runs > 1 {
			c.addViolation("%s: a report ran %d times", id, runs)
		}
		if runs > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
			c.addViolation("%s: a report ran, and its caller was told %d", id, status)
		}
	}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
}
