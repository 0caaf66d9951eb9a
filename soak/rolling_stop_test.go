package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega/gexec"

	"github.com/bramleybarrow/bramleybarrow/edge"
	"github.com/bramleybarrow/bramleybarrow/internal/knownred"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/edgesim"
)

// rollingStop is a run in which the VMs are stopped one after the other while the leafs of a service turn
// slow.
type rollingStop struct {
	seed     uint64
	step     time.Duration // between the SIGTERMs of two VMs
	callers  int
	maxThink time.Duration // longest time between an answer and the caller's next request

	slowFrom time.Duration      // after each SIGTERM
	slowFor  time.Duration      // until the leafs are quick again
	slow     edgesim.LeafFaults // of the service's leafs meanwhile

	budgets []time.Duration // time budgets of requests; each one chooses among them

	// The other fields are zero in the usual form.
	change     func(*edge.Settings)   // of each VM
	other      string                 // path of another daemon for half of the VMs
	beside     func(*rollingRun, *vm) // runs from each SIGTERM on
	gather     bool                   // some reads gather from all shards
	records    int                    // number of records in an answer of the service's leafs
	bodyPause  time.Duration          // before each part of a request after its head
	chunked    bool                   // bodies are sent in chunks
	readPause  time.Duration          // before each part of an answer
	busy       int                    // number of busy loops beside
	moreVMs    int                    // in addition to four
	secondTerm time.Duration          // from the start after a stop until the next SIGTERM; none if 0
	leafs      int                    // number of the service's leafs
	objective  time.Duration          // latency objective of the routes
}

// usualRollingStop returns the form that CI runs.
func usualRollingStop() rollingStop {
	return rollingStop{
		seed:     1,
		step:     3500 * time.Millisecond,
		callers:  96,
		maxThink: 600 * time.Millisecond,
		slowFrom: 3800 * time.Millisecond,
		slowFor:  2200 * time.Millisecond,
		slow:     edgesim.LeafFaults{Delay: 1300 * time.Millisecond, TimesOut: true},
		budgets:  []time.Duration{15 * time.Second, 15 * time.Second, 15 * time.Second, 1100 * time.Millisecond},

		leafs:     4,
		objective: 200 * time.Millisecond,
	}
}

// Parameters of a rolling stop.
const (
	rollingGrace     = 6 * time.Second
	rollingTimeoutMS = 15_000
	rollingWarmUp    = 2 * time.Second       // from the first request to the first SIGTERM
	rollingPatience  = 5 * time.Second       // how long after a request's time budget its caller waits
	usualWork        = 60 * time.Millisecond // how long a leaf runs a request
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
	d *deployment

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
	began  time.Time
	sent   time.Time // when its last byte was written; zero if it was not
	ended  time.Time
	status int   // 0 without a complete answer
	err    error // nil with one
}

// play starts a deployment of that binary and plays the rolling stop.
func (form rollingStop) play(t *testing.T, binary string) *rollingRun {
	run := form.start(t, binary)
	run.roll()
	return run
}

// start starts a deployment of that binary.
func (form rollingStop) start(t *testing.T, binary string) *rollingRun {
	d := newDeployment(t, form.wrap(t, binary), deploymentOptions{grace: rollingGrace, timeoutMS: rollingTimeoutMS, logLevel: "info"})
	run := &rollingRun{rollingStop: form, d: d, work: usualWork, workEnds: make(map[string]time.Time)}
	for i := range form.moreVMs {
		zone := zones[i%len(zones)]
		d.addVM(fmt.Sprintf("vm-%s-%d", zone, vmsPerZone+i/len(zones)), zone)
	}
	run.addLeafs()
	run.changeSettings()
	d.store.Put("config", "main", run.manifest(2, "journal"))
	run.waitReady(t)
	return run
}

// roll sends requests and stops the VMs meanwhile.
func (run *rollingRun) roll() {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for range run.busy {
		go func() {
			for ctx.Err() == nil {
			}
		}()
	}
	var callers sync.WaitGroup
	for number := range run.callers {
		callers.Go(func() { run.call(ctx, number) })
	}
	time.Sleep(rollingWarmUp)
	var stops sync.WaitGroup
	for i, v := range run.d.vms {
		if i > 0 {
			time.Sleep(run.step)
		}
		stops.Go(func() { run.stopVM(v) })
		stops.Go(run.slowDown)
		if run.beside != nil {
			stops.Go(func() { run.beside(run, v) })
		}
	}
	stops.Wait()
	stop()
	callers.Wait()
}

// manifest returns a manifest with three routes: "read" and "report" call a leaf of a service,
// "search" gathers from all shards.
func (form rollingStop) manifest(version int, service string) string {
	return fmt.Sprintf(`{"version":%[1]d,"routes":[
	{"name":"read","host":"h.example","path-prefix":"/read/","kind":"idempotent","timeout-ms":%[2]d,"target-latency-ms":%[5]d,"priority":1,"service":%[3]q,"max-attempts":2},
	{"name":"search","host":"h.example","path-prefix":"/search/","kind":"idempotent","timeout-ms":%[2]d,"target-latency-ms":%[5]d,"priority":1,"gather":["%[4]s"],"max-attempts":2,"top-k":5,"min-share":0.5},
	{"name":"report","host":"h.example","path-prefix":"/report/","kind":"non_idempotent","timeout-ms":%[2]d,"target-latency-ms":%[5]d,"priority":1,"service":"journal","max-attempts":2}],
	"services":[{"name":"journal","max-connections":100},{"name":"ledger","max-connections":100}],"limits":{"max-body-bytes":262144}}`,
		version, rollingTimeoutMS, service, strings.Join(shards(), `","`), form.objective.Milliseconds())
}

// addLeafs starts the leafs of the service.
func (run *rollingRun) addLeafs() {
	for i := range run.leafs {
		zone := zones[i%len(zones)]
		l := &edgesim.Leaf{ID: fmt.Sprintf("journal-%s-%d", zone, i), Service: "journal", Zone: zone, Born: time.Now().UnixMilli(), Records: run.records, Observe: run.observe}
		run.d.leafs[l.ID] = l.Start()
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

// wrap returns the path of a program that runs the daemon of that path, or another one for the VMs for which
// the form names one.
func (form rollingStop) wrap(t *testing.T, binary string) string {
	if form.other == "" {
		return binary
	}
	path := filepath.Join(t.TempDir(), "bramleyd")
	script := fmt.Sprintf("#!/bin/sh\ncase \"$2\" in */vm-?-1.json) exec %q \"$@\";; esac\nexec %q \"$@\"\n", form.other, binary)
	if err := os.WriteFile(path, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	return path
}

// changeSettings starts the VMs again with the settings of the form, if it has any.
func (run *rollingRun) changeSettings() {
	if run.change == nil {
		return
	}
	for _, v := range run.d.vms {
		run.change(v.set)
		data, err := json.Marshal(v.set)
		if err == nil {
			err = os.WriteFile(v.settingsPath, data, 0o600)
		}
		if err != nil {
			run.d.t.Fatal(err)
		}
		v.kill()
		v.start(run.d)
	}
}

// waitReady waits until each VM is ready and serves the route "read".
func (run *rollingRun) waitReady(t *testing.T) {
	c := run.newCaller()
	defer c.close()
	deadline := time.Now().Add(recoveryTimeout)
	for _, v := range run.d.vms {
		for n := 0; !v.ready() || c.exchange(v, fmt.Sprintf("ready-%s-%d", v.set.Name, n), "/read/x", time.Second).status != http.StatusOK; n++ {
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
	if run.secondTerm > 0 {
		time.Sleep(run.secondTerm)
		v.signal(syscall.SIGTERM)
		v.waitExit(rollingGrace)
		v.start(run.d)
	}
}

// slowDown makes the leafs of the service slow for the time after a SIGTERM that the form says.
func (run *rollingRun) slowDown() {
	time.Sleep(run.slowFrom)
	run.setLeafs(run.slow)
	time.Sleep(run.slowFor)
	run.setLeafs(edgesim.LeafFaults{Delay: usualWork})
}

// setLeafs sets the faults of the service's leafs, or of all if the form has gathered reads.
func (run *rollingRun) setLeafs(f edgesim.LeafFaults) {
	run.mu.Lock()
	run.work = f.Delay
	if f.Silent {
		run.work = time.Hour
	}
	run.mu.Unlock()
	for _, l := range run.d.leafs {
		if run.gather || l.Service == "journal" {
			l.SetFaults(f)
		}
	}
}

// call sends requests to random VMs until ctx ends.
func (run *rollingRun) call(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(run.seed, uint64(number)))
	c := run.newCaller()
	defer c.close()
	for n := 0; ctx.Err() == nil; n++ {
		v := run.d.vms[rng.IntN(len(run.d.vms))]
		path := [...]string{"/read/x", "/report/x"}[rng.IntN(2)]
		if run.gather && rng.IntN(2) == 0 {
			path = "/search/x"
		}
		r := c.exchange(v, fmt.Sprintf("%03d-%012d", number, n), path, run.budgets[rng.IntN(len(run.budgets))])
		run.mu.Lock()
		run.sent = append(run.sent, r)
		run.mu.Unlock()
		time.Sleep(time.Duration(rng.Int64N(int64(run.maxThink))))
	}
}

// rollingCaller is a caller that keeps one connection to each VM. It uses no HTTP client, which would
// repeat requests by itself.
type rollingCaller struct {
	form  rollingStop
	conns map[*vm]net.Conn
}

// newCaller returns a caller without connections.
func (run *rollingRun) newCaller() *rollingCaller {
	return &rollingCaller{form: run.rollingStop, conns: make(map[*vm]net.Conn)}
}

// close closes the connections.
func (c *rollingCaller) close() {
	for _, conn := range c.conns {
		_ = conn.Close() // nothing is sent any more
	}
}

// exchange sends a request on the kept connection to a VM, or on a new one, and waits for its answer.
func (c *rollingCaller) exchange(v *vm, id, path string, budget time.Duration) rollingRequest {
	r := rollingRequest{id: id, method: http.MethodGet, vm: v, budget: budget, began: time.Now()}
	if path == "/report/x" {
		r.method = http.MethodPost
	}
	conn := c.conns[v]
	if conn == nil {
		if conn, r.err = net.DialTimeout("tcp", v.set.Listen.Callers, time.Second); r.err != nil {
			r.ended = time.Now()
			return r
		}
		if tcp, ok := conn.(*net.TCPConn); ok && c.form.readPause > 0 {
			_ = tcp.SetReadBuffer(partBytes) // a larger buffer only makes the caller less slow
		}
		c.conns[v] = conn
	}
	r.began = time.Now()
	r.err = c.send(conn, path, r)
	keep := false
	if r.err == nil {
		r.sent = time.Now()
		r.status, keep, r.err = c.receive(conn, r.method)
	}
	r.ended = time.Now()
	if !keep {
		_ = conn.Close()
		delete(c.conns, v)
	}
	return r
}

// partBytes is the size of the parts in which slow callers receive answers.
const partBytes = 16 << 10

// send sends a whole request.
func (c *rollingCaller) send(conn net.Conn, path string, r rollingRequest) error {
	if err := conn.SetDeadline(r.began.Add(r.budget + rollingPatience)); err != nil {
		return err
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nBramleybarrow-Attempt-Id: %s\r\nBramleybarrow-Deadline-Ms: %d\r\n", r.method, path, r.id, r.budget.Milliseconds())
	var parts []string
	switch body := "report"; {
	case r.method == http.MethodGet:
		parts = []string{head + "\r\n"}
	case c.form.chunked:
		parts = []string{head + "Transfer-Encoding: chunked\r\n\r\n", "3\r\n" + body[:3] + "\r\n", "3\r\n" + body[3:] + "\r\n", "0\r\n\r\n"}
	default:
		parts = []string{head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body[:3], body[3:]}
	}
	if c.form.bodyPause == 0 {
		parts = []string{strings.Join(parts, "")}
	}
	for i, part := range parts {
		if i > 0 {
			time.Sleep(c.form.bodyPause)
		}
		if _, err := io.WriteString(conn, part); err != nil {
			return err
		}
	}
	return nil
}

// receive returns the status of a complete answer, and whether the connection may be used again.
func (c *rollingCaller) receive(conn net.Conn, method string) (status int, keep bool, err error) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return 0, false, err
	}
	defer resp.Body.Close()
	for err == nil {
		time.Sleep(c.form.readPause)
		_, err = io.CopyN(io.Discard, resp.Body, partBytes)
	}
	if !errors.Is(err, io.EOF) {
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
			if r.status == http.StatusNotFound {
				t.Logf("status 404: %s", run.describe(r, arrived))
			}
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
	if r.ended.Sub(r.began) >= r.budget || r.sent.IsZero() && !arrived {
		return true
	}
	if !arrived {
		return r.ended.Sub(r.sent) <= lossSlack
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

// Requests that wait for a leaf's slot when their VM is told to stop must get an answer before it ends.
func TestStoppingVMAnswersRequestsThatWaitForASlot(t *testing.T) {
	knownred.Skip(t)
	form := usualRollingStop()
	form.leafs, form.objective = 1, 12*time.Second
	form.change = func(s *edge.Settings) { s.Slots.Keep = true }
	run := form.start(t, rollingBinary(t))
	v := run.d.vms[0]
	ctx, stop := context.WithTimeout(context.Background(), 4*time.Second)
	defer stop()
	var callers sync.WaitGroup
	for number := range 24 { // until the VMs know how long requests take, and who keeps account of the slots
		callers.Go(func() { run.call(ctx, number) })
	}
	callers.Wait()
	callers.Go(func() { run.stopVM(v) })
	time.Sleep(run.slowFrom)
	run.setLeafs(edgesim.LeafFaults{Silent: true})
	ask := func(v *vm, id string, budget time.Duration) {
		c := run.newCaller()
		defer c.close()
		r := c.exchange(v, id, "/report/x", budget)
		run.mu.Lock()
		defer run.mu.Unlock()
		run.sent = append(run.sent, r)
	}
	for number := range 2 { // they occupy the slots
		callers.Go(func() { ask(run.d.vms[1], fmt.Sprintf("running-%d", number), 4*time.Second) })
	}
	time.Sleep(50 * time.Millisecond)
	for number := range 8 {
		callers.Go(func() { ask(v, fmt.Sprintf("waiting-%d", number), 15*time.Second) })
	}
	callers.Wait()
	run.check(t)
}

// rollingForms returns forms of a rolling stop beyond the usual one.
func rollingForms() map[string]rollingStop {
	forms := make(map[string]rollingStop)
	add := func(name string, change func(*rollingStop)) {
		form := usualRollingStop()
		change(&form)
		forms[name] = form
	}
	for _, from := range []time.Duration{2500, 3000, 3500, 4000} {
		add(fmt.Sprintf("slow-from-%d", from), func(f *rollingStop) { f.slowFrom = from * time.Millisecond })
		add(fmt.Sprintf("slower-from-%d", from), func(f *rollingStop) {
			f.slowFrom, f.slow.Delay = from*time.Millisecond, 3*time.Second
		})
	}
	add("times-out", func(f *rollingStop) { f.budgets = []time.Duration{1100 * time.Millisecond} })
	add("times-out-dense", func(f *rollingStop) {
		f.budgets = []time.Duration{1100 * time.Millisecond}
		f.maxThink, f.slowFrom = 60*time.Millisecond, 4170*time.Millisecond
	})
	withPower := func(f *rollingStop, power float64) {
		f.gather = true
		f.change = func(s *edge.Settings) {
			s.Power, s.Room = power, edge.RoomSettings{Measure: true, Spill: true, HandOver: true}
		}
	}
	weak := func(f *rollingStop) { withPower(f, 0.4) }
	add("quick", func(f *rollingStop) { f.slow.Delay, f.maxThink = usualWork, 60*time.Millisecond })
	freezeOther := func(run *rollingRun, v *vm) {
		other := run.d.vms[(slices.Index(run.d.vms, v)+1)%len(run.d.vms)]
		time.Sleep(3500 * time.Millisecond)
		other.signal(syscall.SIGSTOP)
		time.Sleep(2800 * time.Millisecond)
		other.signal(syscall.SIGCONT)
	}
	add("weak-frozen-other", func(f *rollingStop) { weak(f); f.beside = freezeOther })
	add("weaker", func(f *rollingStop) { withPower(f, 0.05) })
	add("weaker-frozen-other", func(f *rollingStop) { withPower(f, 0.05); f.beside = freezeOther; f.step = 8 * time.Second })
	add("silent", func(f *rollingStop) { f.slow = edgesim.LeafFaults{Silent: true} })
	add("silent-early", func(f *rollingStop) { f.slow, f.slowFrom = edgesim.LeafFaults{Silent: true}, 500*time.Millisecond })
	add("overlapping", func(f *rollingStop) { f.step = 1500 * time.Millisecond })
	add("at-once", func(f *rollingStop) { f.step = 10 * time.Millisecond })
	add("weak", weak)
	add("weak-overlapping", func(f *rollingStop) { weak(f); f.step = 1500 * time.Millisecond; f.callers = 300 })
	add("gathered", func(f *rollingStop) { f.gather = true })
	add("mixed", func(f *rollingStop) { f.other = os.Getenv("SOAK_OTHER") })
	add("mixed-weak", func(f *rollingStop) { weak(f); f.other = os.Getenv("SOAK_OTHER") })
	add("eight", func(f *rollingStop) { f.moreVMs = 4 })
	add("slow-bodies", func(f *rollingStop) { f.bodyPause = 150 * time.Millisecond })
	add("slow-chunked", func(f *rollingStop) { f.bodyPause, f.chunked = 150*time.Millisecond, true })
	add("slow-readers", func(f *rollingStop) { f.callers, f.records, f.readPause = 48, 64<<10, 5*time.Millisecond })
	add("large", func(f *rollingStop) { f.callers, f.records = 48, 64<<10 })
	add("busy", func(f *rollingStop) { f.busy = 2 })
	add("second-term", func(f *rollingStop) { f.secondTerm = 60 * time.Millisecond })
	add("second-term-late", func(f *rollingStop) { f.secondTerm = 400 * time.Millisecond })
	add("hup", func(f *rollingStop) {
		f.beside = func(_ *rollingRun, v *vm) {
			for range 20 {
				v.signal(syscall.SIGHUP)
				time.Sleep(200 * time.Millisecond)
			}
		}
	})
	add("manifests", func(f *rollingStop) {
		var version atomic.Int64
		version.Store(2)
		f.beside = func(run *rollingRun, _ *vm) {
			for i := range 20 {
				run.d.store.Put("config", "main", run.manifest(int(version.Add(1)), [...]string{"ledger", "journal"}[i%2]))
				time.Sleep(250 * time.Millisecond)
			}
		}
	})
	for name, faults := range map[string]edgesim.StoreFaults{"store-down": {Status: http.StatusServiceUnavailable}, "store-silent": {Silent: true}} {
		add(name, func(f *rollingStop) {
			f.beside = func(run *rollingRun, _ *vm) {
				run.d.store.SetFaults(faults)
				time.Sleep(3 * time.Second)
				run.d.store.SetFaults(edgesim.StoreFaults{})
			}
		})
	}
	add("paused", func(f *rollingStop) {
		f.beside = func(_ *rollingRun, v *vm) {
			time.Sleep(2500 * time.Millisecond)
			v.signal(syscall.SIGSTOP)
			time.Sleep(time.Second)
			v.signal(syscall.SIGCONT)
		}
	})
	slots := func(f *rollingStop) {
		f.leafs, f.objective = 1, 12*time.Second
		f.change = func(s *edge.Settings) { s.Slots.Keep = true }
	}
	add("slots", slots)
	add("slots-slower", func(f *rollingStop) { slots(f); f.slowFrom, f.slow.Delay = 2*time.Second, 2500*time.Millisecond })
	add("slots-few", func(f *rollingStop) { slots(f); f.callers, f.slowFrom, f.slow.Delay = 16, 2*time.Second, 3*time.Second })
	add("slow-readers-late", func(f *rollingStop) {
		f.records, f.readPause, f.slowFrom, f.slow.Delay = 64<<10, 8*time.Millisecond, 3900*time.Millisecond, 1500*time.Millisecond
	})
	add("slow-readers-later", func(f *rollingStop) {
		f.records, f.readPause, f.slowFrom, f.slow.Delay = 64<<10, 5*time.Millisecond, 3900*time.Millisecond, 1600*time.Millisecond
	})
	add("slow-readers-huge", func(f *rollingStop) {
		f.callers, f.records, f.readPause, f.slowFrom, f.slow.Delay = 32, 240<<10, 3*time.Millisecond, 3900*time.Millisecond, 1300*time.Millisecond
	})
	add("leafs-pause", func(f *rollingStop) {
		f.slow.Delay = 800 * time.Millisecond
		f.slowFrom = 1700 * time.Millisecond
		f.slowFor = 4 * time.Second
	})
	return forms
}

// TestRollingStopForms plays the forms of rollingForms. It runs if SOAK_SEEDS says how many seeds, from
// SOAK_FIRST on. SOAK_OTHER is the path of another release for the form "mixed".
func TestRollingStopForms(t *testing.T) {
	if os.Getenv("SOAK_SEEDS") == "" {
		t.Skip("only by hand")
	}
	binary := rollingBinary(t)
	for name, form := range rollingForms() {
		for _, seed := range seeds(t, nil) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				form.seed = seed
				form.play(t, binary).check(t)
			})
		}
	}
}
