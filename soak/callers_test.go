package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/edgesim"
	"github.com/bramleybarrow/bramleybarrow/topk"
)

// callers send requests to the VMs and check the answers. They keep using their open
// connections until the process at the other end has exited.
type callers struct {
	deployment *deployment

	mu         sync.Mutex     // guards the fields below
	violations []string       // answers or runs that broke a guarantee
	reports    map[string]int // HTTP status of each report, or noAnswer, by request ID
	served     int            // answers with status 200
}

// lossSlack is after what time a VM that is told to stop must not break off a request, whether it has
// handed it to a leaf or not.
const lossSlack = 200 * time.Millisecond

// noAnswer stands for the status of a request whose answer was not received completely.
const noAnswer = 0

// addViolation records a description of an answer or a run that broke a guarantee.
func (c *callers) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// callerRequest is what all requests of one kind have in common.
type callerRequest struct{ method, path, body string }

// requestKinds is the number of kinds of requests. They are numbered as their routes in the manifest: 0
// gathers from all shards, 1 asks one leaf, 2 sends a report, which must run at most once, to one leaf.
const requestKinds = 3

// requestOf returns the request of a kind.
func requestOf(kind int) callerRequest {
	r := callerRequest{method: "GET", path: [...]string{"/all/x", "/one/x", "/once/x"}[kind], body: "report"}
	if kind == 2 {
		r.method = "POST"
	}
	return r
}

// Some callers pause between their requests for longer than a VM that is told to stop goes on taking them.
const (
	pausingCallers = 2
	maxPause       = 900 * time.Millisecond
)

// run sends requests of random kinds to random VMs until ctx ends. number identifies the
// caller in request IDs; together with seed it determines the choices.
func (c *callers) run(ctx context.Context, number int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(number)))
	client := newClient()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%02d-%012d", number, n)
		vm := c.deployment.vms[rng.IntN(len(c.deployment.vms))]
		if tenants := c.deployment.tenants; tenants != nil {
			kind, key := tenants.choose(number, rng)
			tenants.check(c, vm, id, key, func() int { return c.send(client, vm, id, kind, key.text) })
		} else {
			c.send(client, vm, id, rng.IntN(requestKinds), "")
		}
		pause := time.Duration(5+rng.IntN(20)) * time.Millisecond
		if number >= callerCount-pausingCallers {
			pause = time.Duration(rng.Int64N(int64(maxPause)))
		}
		time.Sleep(pause)
	}
}

// send sends one request to the VM, records its status and checks the answer if that is
// 200. kind is the number of the request's kind. key is
// the caller's API key; if it is empty, none is sent. send returns the status.
func (c *callers) send(client *http.Client, v *vm, id string, kind int, key string) int {
	sent := requestOf(kind)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, sent.method, "http://"+v.set.Listen.Callers+sent.path, strings.NewReader(sent.body))
	if err != nil {
		c.addViolation("%s: %v", id, err)
		return noAnswer
	}
	req.GetBody = nil // without it the client can't repeat a report by itself
	req.Host = "h.example"
	req.Header.Set("Bramleybarrow-Attempt-Id", id)
	req.Header.Set("Bramleybarrow-Deadline-Ms", "700")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
		req.Header["Bramleybarrow-Tenant"], req.Header["Bramleybarrow_tenant"] = []string{forgedName}, []string{forgedName}
	}
	sentAt := time.Now()
	status, header, body, err := do(client, req)
	if err != nil && ctx.Err() == nil {
		c.checkBrokenOff(v, id, time.Since(sentAt), err)
	}
	// A tenant with a limit may have to wait longer, with status 429 or 503.
	if seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err == nil && c.deployment.tenants == nil && seconds > longestUsualRetry.Seconds() {
		c.addViolation("%s: %s took a request to %s for one that ends leafs", id, v.set.Name, sent.path)
	}
	c.mu.Lock()
	if kind == 2 {
		c.reports[id] = status
	}
	if status == http.StatusOK {
		c.served++
	}
	c.mu.Unlock()
	if status != http.StatusOK {
		return status
	}
	if kind == 0 {
		c.checkGathered(id, header, body)
	} else {
		c.checkSingle(id, header, body)
	}
	return status
}

// checkBrokenOff checks that a request that ended with an error, some time after it was sent, was not
// broken off by a VM because it was told to stop. A VM may do so only at the end of its grace, while
// leafs are still at work on the request, and if it was sent soon after the VM was told to stop. A request
// whose connection was refused was read by no process.
func (c *callers) checkBrokenOff(v *vm, id string, age time.Duration, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) && !c.deployment.arrived(id) {
		return
	}
	stopping, told := v.stoppingFor()
	arrived := c.deployment.arrived(id)
	grace := time.Duration(v.set.GraceS * float64(time.Second))
	atWork := arrived && stopping > time.Duration(workGraceShare*float64(grace))
	sentEarly := stopping-age <= time.Duration(earlyGraceShare*float64(grace))
	if told && !(atWork && sentEarly) && (arrived || age > lossSlack) {
		c.addViolation("%s: %s broke off the request %v after it was told to stop, and %v after it was sent: %v", id, v.set.Name, stopping, age, err)
	}
}

// workGraceShare is the share of the time between SIGTERM and SIGKILL after which a VM that stops may
// break off requests on which leafs are still at work.
const workGraceShare = 5.0 / 6

// earlyGraceShare is the share of that time within which such a request was sent.
const earlyGraceShare = 1.0 / 2

// arrived reports whether the request with that ID has reached a leaf.
func (d *deployment) arrived(id string) bool {
	for _, l := range d.leafs {
		if n, _ := l.Counts(id); n > 0 {
			return true
		}
	}
	return false
}

// do sends the request and returns the status, header and body of the answer, or noAnswer
// and an error if the answer was not received completely.
func do(client *http.Client, req *http.Request) (int, http.Header, []byte, error) {
	resp, err := client.Do(req)
	if err != nil {
		return noAnswer, nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return noAnswer, nil, nil, err
	}
	return resp.StatusCode, resp.Header, body, nil
}

// checkSingle checks that the receipt names a leaf, and that the body is that leaf's
// answer to the request.
func (c *callers) checkSingle(id string, header http.Header, body []byte) {
	receipt := header.Get("Bramleybarrow-Response-Stamp")
	l := c.deployment.leafs[strings.TrimSuffix(receipt, "."+id)]
	if l == nil || !bytes.Equal(body, l.Answer(id)) {
		c.addViolation("%s: the answer is not that of the leaf in its receipt %q, or no such leaf exists; %d bytes", id, receipt, len(body))
	}
}

// checkGathered checks that each receipt is from a leaf of a different shard, that the
// stated number of missing shards is right, and that the body consists of the greatest
// records of the leafs that the receipts name.
func (c *callers) checkGathered(id string, header http.Header, body []byte) {
	seen := make(map[string]bool)
	var records [][]byte
	for _, receipt := range strings.Split(header.Get("Bramleybarrow-Part-Stamps"), ", ") {
		l := c.deployment.leafs[strings.TrimSuffix(receipt, "."+id)]
		if l == nil || seen[l.Service] {
			c.addViolation("%s: receipt %q is of no leaf, or of a shard that is already included", id, receipt)
			return
		}
		seen[l.Service] = true
		records = append(records, recordsOf(l, id)...)
	}
	if missing := header.Get("Bramleybarrow-Missing-Parts"); missing != fmt.Sprint(shardCount-len(seen)) {
		c.addViolation("%s: the answer says that %s shards are missing, but has receipts of %d", id, missing, len(seen))
	}
	sort.Slice(records, func(i, j int) bool { return bytes.Compare(records[i], records[j]) > 0 })
	if !bytes.Equal(body, bytes.Join(records[:min(5, len(records))], nil)) { // 5: top-k of the route
		c.addViolation("%s: the records are not the greatest of the shards that the receipts name", id)
	}
}

// recordsOf returns the records of the leaf's answer to the request.
func recordsOf(l *edgesim.Leaf, id string) [][]byte {
	var records [][]byte
	for body := l.Answer(id); len(body) > 0; body = body[topk.RecordBytes:] {
		records = append(records, body[:topk.RecordBytes])
	}
	return records
}

// checkReports checks, after all requests have ended, that each report ran at most once,
// and did not run if its caller was answered 401, 429 or 503. It also adds the requests that leafs got
// changed.
func (c *callers) checkReports() {
	c.deployment.mu.Lock()
	c.violations = append(c.violations, c.deployment.changed...)
	c.deployment.mu.Unlock()
	for id, status := range c.reports {
		runs := 0
		for _, l := range c.deployment.leafs {
			_, n := l.Counts(id)
			runs += n
		}
		if runs > 1 {
			c.addViolation("%s: a report ran %d times", id, runs)
		}
		if runs > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusUnauthorized) {
			c.addViolation("%s: a report ran, but its caller was answered %d", id, status)
		}
	}
}

// newClient returns a client with connections of its own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
}
