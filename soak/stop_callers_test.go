package soak

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Parameters of callers in a run with stops.
const (
	usualStopCallers    = 16
	pausingEvery        = 4 // one of so many callers pauses for longer than a VM that stops takes requests
	slowReaderEvery     = 4 // one of so many requests of the ledger has its answer read slowly
	slowReadBytes       = 1 << 10
	openRequests        = 8 // number of requests that a caller sends without waiting
	minBudget           = 1100 * time.Millisecond
	maxBudget           = 15 * time.Second
	patience            = 5 * time.Second // time for which a caller waits beyond the time budget
	maxViolationDetails = 5               // number of violations that come with the VMs' log lines
	maxLogLines         = 6               // number of these lines for each
)

// stopCallers send requests with time budgets of many lengths, and check those that end without an answer.
type stopCallers struct {
	*callers

	statuses  map[int]int    // number of answers by status; guarded by callers.mu, as brokenOff
	brokenOff []endedRequest // requests without a complete answer
	excused   int            // those of them that reached a leaf and that VMs may break off
}

// endedRequest is a request that ended without a complete answer.
type endedRequest struct {
	id      string
	vm      *vm
	kind    int
	budget  time.Duration
	written time.Time // when its last byte was sent
	ended   time.Time
	conn    httptrace.GotConnInfo // of the connection on which it was sent
	err     error
}

// newStopCallers returns the callers of a deployment.
func newStopCallers(d *deployment) *stopCallers {
	return &stopCallers{callers: &callers{deployment: d, reports: make(map[string]int)}, statuses: make(map[int]int)}
}

// run sends requests of random kinds until ctx ends, half of them to VMs that are told to stop, if there are
// any. number identifies the caller in request IDs; together with seed it determines the choices.
func (c *stopCallers) run(ctx context.Context, number int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(number)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: openRequests}}
	defer client.CloseIdleConnections()
	pauses := number%pausingEvery == 0
	places := make(chan struct{}, openRequests)
	var sending sync.WaitGroup
	defer sending.Wait()
	latest := c.choose(rng)
	for n := 0; ctx.Err() == nil; n++ {
		if !pauses || rng.IntN(4) == 0 {
			latest = c.choose(rng)
		}
		v := latest
		id := fmt.Sprintf("%02d-%012d", number, n)
		kind, budget, slowly := rng.IntN(requestKinds), drawBudget(rng), rng.IntN(slowReaderEvery) == 0
		select {
		case <-ctx.Done():
			return
		case places <- struct{}{}:
		}
		sending.Go(func() {
			defer func() { <-places }()
			c.send(ctx, client, v, id, kind, budget, slowly)
		})
		pause := time.Duration(30+rng.IntN(120)) * time.Millisecond
		if pauses {
			pause = time.Duration(rng.Int64N(int64(platformGrace)))
		}
		sleep(ctx, pause)
	}
}

// choose returns the VM of the next request.
func (c *stopCallers) choose(rng *rand.Rand) *vm {
	vms := c.deployment.vms
	if rng.IntN(2) == 0 {
		for _, i := range rng.Perm(len(vms)) {
			if _, told := vms[i].stoppingFor(); told {
				return vms[i]
			}
		}
	}
	return vms[rng.IntN(len(vms))]
}

// drawBudget returns a time budget. Short ones are as frequent as long ones on a logarithmic scale.
func drawBudget(rng *rand.Rand) time.Duration {
	return time.Duration(float64(minBudget) * math.Pow(float64(maxBudget)/float64(minBudget), rng.Float64()))
}

// send sends one request to the VM, records its status and checks the answer. The answer is read in small
// parts with pauses if slowly is set. An end of ctx means that the caller leaves.
func (c *stopCallers) send(ctx context.Context, client *http.Client, v *vm, id string, kind int, budget time.Duration, slowly bool) {
	sent := requestOf(kind)
	var mu sync.Mutex     // guards the variables below
	var written time.Time // zero if the request was not sent whole
	var conn httptrace.GotConnInfo
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		mu.Lock()
		defer mu.Unlock()
		if info.Err == nil {
			written = time.Now()
		}
	}, GotConn: func(info httptrace.GotConnInfo) {
		mu.Lock()
		defer mu.Unlock()
		conn = info
	}}
	reqCtx, cancel := context.WithTimeout(httptrace.WithClientTrace(ctx, trace), budget+patience)
	defer cancel()
	req, err := http.NewRequestWithContext(reqCtx, sent.method, "http://"+v.set.Listen.Callers+sent.path, strings.NewReader(sent.body))
	if err != nil {
		c.addViolation("%s: %v", id, err)
		return
	}
	req.GetBody = nil // without it the client can't repeat a report by itself
	req.Host = "h.example"
	req.Header.Set("Bramleybarrow-Attempt-Id", id)
	req.Header.Set("Bramleybarrow-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	if slowly {
		client = slowReaderOf(client)
	}
	began := time.Now()
	status, header, body, err := do(client, req)
	ended := time.Now()
	mu.Lock()
	lastByte, usedConn := written, conn
	mu.Unlock()
	sentWhole := !lastByte.IsZero()
	if !sentWhole {
		lastByte = began
	}
	c.mu.Lock()
	if kind == 2 {
		c.reports[id] = status
	}
	if err == nil {
		c.statuses[status]++
	} else if reqCtx.Err() == nil && (sentWhole || c.deployment.arrived(id)) {
		c.brokenOff = append(c.brokenOff, endedRequest{id, v, kind, budget, lastByte, ended, usedConn, err})
	}
	if status == http.StatusOK {
		c.served++
	}
	c.mu.Unlock()
	receipt := header.Get("Bramleybarrow-Response-Stamp")
	switch {
	case status == http.StatusOK && kind == 0:
		c.checkGathered(id, header, body)
	case status == http.StatusOK:
		c.checkSingle(id, header, body)
	case receipt != "" && status != http.StatusGatewayTimeout:
		c.addViolation("%s: answered %d with the receipt %q, but no leaf gave that status", id, status, receipt)
	case status >= 400 && status < 500 && status != http.StatusTooManyRequests:
		c.addViolation("%s: %s answered %d to a request that all manifests allow", id, v.set.Name, status)
	}
}

// slowReaderOf returns a client with the connections of another whose answers are read slowly.
func slowReaderOf(client *http.Client) *http.Client {
	return &http.Client{Transport: slowTransport{client.Transport}}
}

// slowTransport makes the bodies of answers slow to read.
type slowTransport struct{ http.RoundTripper }

func (t slowTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(req)
	if err == nil {
		resp.Body = slowBody{resp.Body}
	}
	return resp, err
}

// slowBody is a body that is read in small parts with pauses.
type slowBody struct{ io.ReadCloser }

func (b slowBody) Read(p []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	return b.ReadCloser.Read(p[:min(len(p), slowReadBytes)])
}

// checkStops checks, after all requests have ended, that VMs broke off none that they must answer, and that
// their processes exited by themselves before the end of their grace, unless they were frozen.
func (c *stopCallers) checkStops() {
	for _, v := range c.deployment.vms {
		for _, s := range v.stops {
			if s.frozenAt.IsZero() && s.status != exitedByItself {
				c.addViolation("%s did not exit by itself within %v of SIGTERM, but with %q; its threads: %s; end of its log:\n%s", v.set.Name, platformGrace, s.status, s.threads, v.logTail())
			}
		}
	}
	details := 0 // violations that come with log lines
	for _, r := range c.brokenOff {
		if c.mayBreakOff(r) {
			if c.deployment.arrived(r.id) {
				c.excused++
			}
			continue
		}
		lines := ""
		if details < maxViolationDetails {
			lines = "\n" + c.deployment.linesOn(r.id, maxLogLines)
		}
		details++
		c.addViolation("%s: %s broke off a request of kind %d with a time budget of %v, %v after it was sent%s on a connection that was idle for %v before (new: %v); leafs worked on it: %v: %v%s",
			r.id, r.vm.set.Name, r.kind, r.budget, r.ended.Sub(r.written), r.around(), r.conn.IdleTime, !r.conn.Reused, c.deployment.runsOf(r), r.err, lines)
	}
}

// mayBreakOff reports whether the VM may end the request without an answer: one that it has not passed on and
// that is no older than lossSlack, one whose time is over, one that leafs still work on near the end of
// the grace if it was sent in its first half, or one of a VM that is or was frozen.
func (c *stopCallers) mayBreakOff(r endedRequest) bool {
	age := r.ended.Sub(r.written)
	if age <= lossSlack && !c.deployment.arrived(r.id) {
		return true
	}
	timeout := time.Duration(c.deployment.options.timeoutMS) * time.Millisecond
	if age >= min(r.budget, timeout) {
		return true
	}
	workedUntil := c.deployment.workedUntil(r.id)
	for _, s := range r.vm.stops {
		frozen := !s.frozenAt.IsZero() && s.frozenAt.Before(r.ended) && r.written.Before(s.thawedAt.Add(stableWindow))
		sentEarly := r.written.Before(s.told.Add(time.Duration(earlyGraceShare * float64(platformGrace))))
		atWork := workedUntil.After(s.told.Add(time.Duration(workGraceShare * float64(platformGrace))))
		if frozen || sentEarly && atWork && r.written.Before(s.exited) && r.ended.After(s.told) {
			return true
		}
	}
	return false
}

// around says when, from the stop in whose time it ended, the request was sent.
func (r endedRequest) around() string {
	for _, s := range r.vm.stops {
		if r.ended.After(s.told) && r.written.Before(s.exited) {
			return fmt.Sprintf(", and sent %v after SIGTERM to a process that exited %v after it", r.written.Sub(s.told), s.exited.Sub(s.told))
		}
	}
	return ", though it was not told to stop"
}

// workedUntil returns when the last leaf ended its work on a request, the zero time if none worked on it.
func (d *deployment) workedUntil(id string) time.Time {
	var last time.Time
	for _, l := range d.leafs {
		if at := l.WorkedUntil(id); at.After(last) {
			last = at
		}
	}
	return last
}

// runsOf says which leafs worked on a request, and until when after it was sent.
func (d *deployment) runsOf(r endedRequest) []string {
	var runs []string
	for id, l := range d.leafs {
		if at := l.WorkedUntil(r.id); !at.IsZero() {
			runs = append(runs, fmt.Sprintf("%s until %v", id, at.Sub(r.written)))
		}
	}
	return runs
}

// summary says how the requests ended, and how many stops there were.
func (c *stopCallers) summary() string {
	stops, frozen, killed := 0, 0, 0
	var longest time.Duration // of a stop without a freeze
	for _, v := range c.deployment.vms {
		for _, s := range v.stops {
			stops++
			if s.frozenAt.IsZero() {
				longest = max(longest, s.exited.Sub(s.told))
			} else {
				frozen++
			}
			if s.status != exitedByItself {
				killed++
			}
		}
	}
	o := c.deployment.options
	return fmt.Sprintf("timeout %d ms, objective %d ms, %d VMs, %d stops, %d with a freeze, %d killed, the others within %v; answers by status %v; %d requests broken off, %d of them after a leaf had them, as allowed",
		o.timeoutMS, o.targetMS, len(c.deployment.vms), stops, frozen, killed, longest.Round(time.Millisecond), c.statuses, len(c.brokenOff), c.excused)
}
