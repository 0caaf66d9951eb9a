package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega/gexec"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/edgesim"
)

// rollingStop is a run in which the VMs are stopped one after the other while the leafs of a service turn
// slow.
type rollingStop struct {
	seed    uint64
	step    time.Duration // between the SIGTERMs of two VMs
	callers int

	slowFrom time.Duration      // after each SIGTERM
	slowFor  time.Duration      // until the leafs are quick again
	slow     edgesim.LeafFaults // of the service's leafs meanwhile

	budgets []time.Duration // time budgets of requests; each one chooses among them
}

// usualRollingStop returns the form that CI runs.
func usualRollingStop() rollingStop {
	return rollingStop{
		seed:     1,
		step:     3500 * time.Millisecond,
		callers:  96,
		slowFrom: 3800 * time.Millisecond,
		slowFor:  2200 * time.Millisecond,
		slow:     edgesim.LeafFaults{Delay: 1300 * time.Millisecond, TimesOut: true},
		budgets:  []time.Duration{15 * time.Second, 15 * time.Second, 15 * time.Second, 1100 * time.Millisecond},
	}
}

// Parameters of a rolling stop.
const (
	rollingGrace     = 6 * time.Second
	rollingTimeoutMS = 15_000
	rollingWarmUp    = 2 * time.Second // from the first request to the first SIGTERM
	rollingPatience  = 5 * time.Second // how long after a request's time budget its caller waits
	maxThinkTime     = 600 * time.Millisecond
	usualWork        = 60 * time.Millisecond // how long a leaf runs a request
	journalLeafs     = 4                     // number of the service's leafs
)

// Bounds of the rule LOST for a request at a VM that stops.
const (
	earlySending = 3 * time.Second               // since SIGTERM
	lateGrace    = rollingGrace - rollingGrace/6 // since SIGTERM; the last sixth of the grace time begins
)

// Callers on kept connections read and report while four VMs are stopped one after the other, and the
// leafs of their service turn slow during each stop. A request that a leaf has got must be answered.
func TestRollingStopWhileLeafsTurnSlowCutsOffNoRequest(t *testing.T) {
	run := usualRollingStop().play(t, rollingBinary(t))
	run.check(t)
}

// rollingBinary returns the path of the daemon: that in SOAK_BINARY, or one built from this module.
func rollingBinary(t *testing.T) string {
	if path := os.Getenv("SOAK_BINARY"); path != "" {
		return path
	}
	binary, err := gexec.Build("github.com/bramleybarrow/bramleybarrow/cmd/bramleyd")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(gexec.CleanupBuildArtifacts)
	return binary
}

// rollingRun is a rolling stop that is played, and what was seen.
type rollingRun struct {
	rollingStop
	d     *deployment
	leafs []*edgesim.Leaf // of the service

	mu       sync.Mutex // guards the fields below
	work     time.Duration
	workEnds map[string]time.Time // when a leaf's work on a request ends if nothing breaks it off, by request ID
	stops    []vmStop
	sent     []rollingRequest
}

// vmStop is one stop of a VM.
type vmStop struct {
	vm     *vm
	term   time.Time // just before SIGTERM was sent
	exit   time.Time
	killed bool // the process was still there at the end of the grace time
}

// rollingRequest is a request that was sent, and its end.
type rollingRequest struct {
	id     string
	method string
	vm     *vm
	budget time.Duration
	sent   time.Time
	ended  time.Time
	status int   // 0 without a complete answer
	err    error // nil with one
}

// play starts a deployment of that binary and plays the rolling stop.
func (form rollingStop) play(t *testing.T, binary string) *rollingRun {
	d := newDeployment(t, binary, deploymentOptions{grace: rollingGrace, timeoutMS: rollingTimeoutMS, logLevel: "info"})
	run := &rollingRun{rollingStop: form, d: d, work: usualWork, workEnds: make(map[string]time.Time)}
	run.addLeafs()
	d.store.Put("config", "main", rollingManifest)
	run.waitReady(t)

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var callers sync.WaitGroup
	for number := range form.callers {
		callers.Go(func() { run.call(ctx, number) })
	}
	time.Sleep(rollingWarmUp)
	var stops sync.WaitGroup
	for i, v := range d.vms {
		if i > 0 {
			time.Sleep(form.step)
		}
		stops.Go(func() { run.stopVM(v) })
		stops.Go(run.slowDown)
	}
	stops.Wait()
	stop()
	callers.Wait()
	return run
}

// rollingManifest has two routes to the service "journal" and one that gathers from all shards, and the
// routes of other runs.
var rollingManifest = fmt.Sprintf(`{"version":2,"routes":[
	{"name":"read","host":"h.example","path-prefix":"/read/","kind":"idempotent","timeout-ms":%[1]d,"target-latency-ms":200,"priority":1,"service":"journal","max-attempts":2},
	{"name":"report","host":"h.example","path-prefix":"/report/","kind":"non_idempotent","timeout-ms":%[1]d,"target-latency-ms":200,"priority":1,"service":"journal","max-attempts":2}],
	"services":[{"name":"journal","max-connections":100}],"limits":{"max-body-bytes":262144}}`, rollingTimeoutMS)

// addLeafs starts the leafs of the service.
func (run *rollingRun) addLeafs() {
	for i := range journalLeafs {
		zone := zones[i%len(zones)]
		l := &edgesim.Leaf{ID: fmt.Sprintf("journal-%s-%d", zone, i), Service: "journal", Zone: zone, Born: time.Now().UnixMilli(), Observe: run.observe}
		run.leafs = append(run.leafs, l.Start())
		run.d.leafs[l.ID] = l
		l.SetFaults(edgesim.LeafFaults{Delay: usualWork})
		run.d.store.Put("servers", l.ID, l.RegistryEntry("ready"))
	}
}

// observe records until when a leaf works on a request that has just arrived.
func (run *rollingRun) observe(header http.Header, _ bool) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.workEnds[header.Get("Bramleybarrow-Attempt-Id")] = time.Now().Add(run.work)
}

// waitReady waits until each VM is ready and serves the route "read".
func (run *rollingRun) waitReady(t *testing.T) {
	c := newRollingCaller()
	defer c.close()
	deadline := time.Now().Add(recoveryTimeout)
	for _, v := range run.d.vms {
		for n := 0; !v.ready() || c.exchange(v, fmt.Sprintf("ready-%s-%d", v.set.Name, n), http.MethodGet, time.Second).status != http.StatusOK; n++ {
			if time.Now().After(deadline) {
				t.Fatalf("%s does not serve; end of its log:\n%s", v.set.Name, v.logTail())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// stopVM stops a VM as the platform does, and starts it again.
func (run *rollingRun) stopVM(v *vm) {
	stop := vmStop{vm: v, term: time.Now()}
	v.signal(syscall.SIGTERM)
	v.waitExit(rollingGrace)
	stop.exit = time.Now()
	stop.killed = stop.exit.Sub(stop.term) >= rollingGrace
	run.mu.Lock()
	run.stops = append(run.stops, stop)
	run.mu.Unlock()
	v.start(run.d)
}

// slowDown makes the leafs of the service slow for the time after a SIGTERM that the form says.
func (run *rollingRun) slowDown() {
	time.Sleep(run.slowFrom)
	run.setLeafs(run.slow)
	time.Sleep(run.slowFor)
	run.setLeafs(edgesim.LeafFaults{Delay: usualWork})
}

// setLeafs sets the faults of the service's leafs.
func (run *rollingRun) setLeafs(f edgesim.LeafFaults) {
	run.mu.Lock()
	run.work = f.Delay
	if f.Silent {
		run.work = time.Hour
	}
	run.mu.Unlock()
	for _, l := range run.leafs {
		l.SetFaults(f)
	}
}

// call sends requests to random VMs until ctx ends.
func (run *rollingRun) call(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(run.seed, uint64(number)))
	c := newRollingCaller()
	defer c.close()
	for n := 0; ctx.Err() == nil; n++ {
		v := run.d.vms[rng.IntN(len(run.d.vms))]
		method := [...]string{http.MethodGet, http.MethodPost}[rng.IntN(2)]
		r := c.exchange(v, fmt.Sprintf("%03d-%012d", number, n), method, run.budgets[rng.IntN(len(run.budgets))])
		run.mu.Lock()
		run.sent = append(run.sent, r)
		run.mu.Unlock()
		time.Sleep(time.Duration(rng.Int64N(int64(maxThinkTime))))
	}
}

// rollingCaller is a caller that keeps one connection to each VM. It uses no HTTP client, which would
// repeat requests by itself.
type rollingCaller struct {
	conns map[*vm]net.Conn
}

func newRollingCaller() *rollingCaller {
	return &rollingCaller{conns: make(map[*vm]net.Conn)}
}

func (c *rollingCaller) close() {
	for _, conn := range c.conns {
		_ = conn.Close() // nothing is sent any more
	}
}

// exchange sends a request on the kept connection to a VM, or on a new one, and waits for its answer.
func (c *rollingCaller) exchange(v *vm, id, method string, budget time.Duration) rollingRequest {
	r := rollingRequest{id: id, method: method, vm: v, budget: budget, sent: time.Now()}
	conn := c.conns[v]
	if conn == nil {
		if conn, r.err = net.DialTimeout("tcp", v.set.Listen.Callers, time.Second); r.err != nil {
			r.ended = time.Now()
			return r
		}
		c.conns[v] = conn
	}
	r.sent = time.Now()
	var keep bool
	r.status, keep, r.err = c.send(conn, r)
	r.ended = time.Now()
	if !keep {
		_ = conn.Close()
		delete(c.conns, v)
	}
	return r
}

// send sends a request and returns the status of its complete answer, and whether the connection may be
// used again.
func (c *rollingCaller) send(conn net.Conn, r rollingRequest) (status int, keep bool, err error) {
	path, body := "/read/x", ""
	if r.method == http.MethodPost {
		path, body = "/report/x", "report"
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nBramleybarrow-Attempt-Id: %s\r\nBramleybarrow-Deadline-Ms: %d\r\n", r.method, path, r.id, r.budget.Milliseconds())
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	if err := conn.SetDeadline(time.Now().Add(r.budget + rollingPatience)); err != nil {
		return 0, false, err
	}
	if _, err := conn.Write(b.Bytes()); err != nil {
		return 0, false, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		return 0, false, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false, err
	}
	return resp.StatusCode, !resp.Close, nil
}

// check fails the test if a request was lost, or if a report that a leaf ran was answered as not run. It
// logs what was seen.
func (run *rollingRun) check(t *testing.T) {
	t.Helper()
	run.mu.Lock() // leafs may still get attempts of requests that have ended
	defer run.mu.Unlock()
	statuses := make(map[string]int)
	arrivals, resets, excused := 0, 0, 0
	var lost []string
	for _, r := range run.sent {
		arrived := run.d.arrived(r.id)
		if arrived {
			arrivals++
		}
		switch {
		case r.err == nil:
			statuses[r.method+" "+strconv.Itoa(r.status)]++
			if arrived && r.method == http.MethodPost && r.status == http.StatusServiceUnavailable {
				t.Errorf("%s: a leaf got a report that %s answered with status 503", r.id, r.vm.set.Name)
			}
		case run.mayEnd(r, arrived):
			if arrived {
				excused++
			} else {
				resets++
			}
		default:
			lost = append(lost, run.describe(r, arrived))
		}
	}
	t.Logf("%d requests, %d reached a leaf, answers %v, %d ended without one and without a leaf, %d are not counted", len(run.sent), arrivals, statuses, resets, excused)
	for _, stop := range run.stops {
		t.Logf("%s ended %v after SIGTERM, killed: %t; its log has %s", stop.vm.set.Name, stop.exit.Sub(stop.term).Round(time.Millisecond), stop.killed, stop.vm.signs())
	}
	run.keepLogs(t)
	if len(lost) > 0 {
		t.Errorf("%d requests were lost:\n%s", len(lost), strings.Join(lost, "\n"))
	}
}

// keepLogs copies the VMs' logs to the test's artifacts, which go test -artifacts keeps.
func (run *rollingRun) keepLogs(t *testing.T) {
	t.Helper()
	for _, v := range run.d.vms {
		data, err := os.ReadFile(v.settingsPath + ".log")
		if err == nil {
			err = os.WriteFile(filepath.Join(t.ArtifactDir(), v.set.Name+".log"), data, 0o600)
		}
		if err != nil {
			t.Error(err)
		}
	}
}

// mayEnd reports whether the rule LOST allows that a request ended without an answer.
func (run *rollingRun) mayEnd(r rollingRequest, arrived bool) bool {
	age := r.ended.Sub(r.sent)
	if age >= r.budget {
		return true
	}
	if !arrived {
		return age <= lossSlack
	}
	stop := run.stopOf(r)
	if stop == nil {
		return false
	}
	atWork := run.workEnds[r.id].After(r.ended) && r.ended.Sub(stop.term) >= lateGrace
	return atWork && r.sent.Sub(stop.term) <= earlySending
}

// stopOf returns the latest stop of the VM that began before the request ended; nil if there is none.
func (run *rollingRun) stopOf(r rollingRequest) *vmStop {
	var latest *vmStop
	for i := range run.stops {
		stop := &run.stops[i]
		if stop.vm == r.vm && stop.term.Before(r.ended) && (latest == nil || stop.term.After(latest.term)) {
			latest = stop
		}
	}
	return latest
}

// describe returns what was seen of a request that was lost.
func (run *rollingRun) describe(r rollingRequest, arrived bool) string {
	text := fmt.Sprintf("%s %s at %s, time budget %v, handed to a leaf: %t, ended %v after it was sent: %v", r.id, r.method, r.vm.set.Name, r.budget, arrived, r.ended.Sub(r.sent).Round(time.Millisecond), r.err)
	if stop := run.stopOf(r); stop != nil {
		text += fmt.Sprintf("; sent %v and ended %v after SIGTERM", r.sent.Sub(stop.term).Round(time.Millisecond), r.ended.Sub(stop.term).Round(time.Millisecond))
	}
	return text
}

// signs describes the lines in a VM's log that tell how it stopped.
func (v *vm) signs() string {
	data, err := os.ReadFile(v.settingsPath + ".log")
	if err != nil {
		return err.Error()
	}
	var signs []string
	timeouts := 0
	for line := range strings.Lines(string(data)) {
		switch {
		case strings.Contains(line, "cut off"), strings.Contains(line, "context canceled"):
			signs = append(signs, strings.TrimSpace(line))
		case strings.Contains(line, `"attempt failed"`) && strings.Contains(line, `"status":504`):
			timeouts++
		}
	}
	return fmt.Sprintf("%d attempts with status 504, and %q", timeouts, signs)
}
