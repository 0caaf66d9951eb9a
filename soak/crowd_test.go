package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega/gexec"

	"github.com/bramleybarrow/bramleybarrow/internal/knownred"
)

// Sizes of a crowd, and limits of the VMs that it meets.
const (
	crowdMemoryMB  = 64      // memory of each VM, in MiB
	crowdCallers   = 200     // connections of a crowd of bodies
	crowdBody      = 262_144 // bytes of the largest body that the manifest allows
	crowdHeader    = 15_000  // bytes of a header within the manifest's limit
	crowdFDs       = 500     // limit of descriptors of each VM, where they are scarce
	crowdFDCallers = 700     // connections of a crowd that uses up descriptors
	crowdFreeFDs   = 100     // descriptors that are left for leafs, VMs, the store and readiness
	crowdTimeoutMS = 10_000  // timeout of each route; stopped requests last for as long
	crowdWriteTime = 20 * time.Second
	crowdSettle    = time.Second // time for which the crowd stays before ordinary requests are sent
)

// crowdForm is what each caller of a crowd sends on a connection that stays open.
type crowdForm struct {
	name    string
	callers int
	fds     int           // limit of descriptors of each VM; 0 for the usual one
	begin   func() []byte // without the id of the request, which replaces crowdID
	end     string        // sent once all callers have sent begin
	returns bool          // a caller whose connection is closed comes back at once
}

// crowdID stands for the id of a caller's request.
const crowdID = "crowd-00000"

// crowdHead returns a request up to its body. more holds further lines of the header.
func crowdHead(method, path, more string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nBramleybarrow-Attempt-Id: " + crowdID + "\r\nBramleybarrow-Deadline-Ms: " +
		strconv.Itoa(crowdTimeoutMS) + "\r\n" + more + "\r\n"
}

// withLength returns the begin of a request with a body of the largest size, of which so many bytes are sent.
func withLength(path string, sent int) func() []byte {
	return func() []byte {
		return append([]byte(crowdHead("POST", path, fmt.Sprintf("Content-Length: %d\r\n", crowdBody))), bytes.Repeat([]byte("x"), sent)...)
	}
}

// inChunks returns the begin of a request with a body in chunks of this size, without the last chunk.
func inChunks(path string, size, sent int) func() []byte {
	return func() []byte {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
		return []byte(crowdHead("POST", path, "Transfer-Encoding: chunked\r\n") + strings.Repeat(chunk, sent/size))
	}
}

// text returns a function that returns these bytes.
func text(s string) func() []byte { return func() []byte { return []byte(s) } }

// crowdForms returns the forms of requests whose memory adds up.
func crowdForms() []crowdForm {
	longHeader := "X-Long: " + strings.Repeat("h", crowdHeader) + "\r\n"
	return []crowdForm{
		{name: "length-one", begin: withLength("/one/x", crowdBody-1)},
		{name: "length-gathered", begin: withLength("/all/x", crowdBody-1)},
		{name: "length-returning", begin: withLength("/one/x", crowdBody-1), returns: true},
		{name: "one-chunk", begin: inChunks("/one/x", crowdBody-1, crowdBody-1)},
		{name: "chunks-of-16384", begin: inChunks("/all/x", 16_384, crowdBody-16_384)},
		{name: "chunks-of-16", begin: inChunks("/one/x", 16, crowdBody-16)},
		{name: "chunks-of-1", begin: inChunks("/all/x", 1, crowdBody-1)},
		{name: "whole-once", begin: withLength("/once/x", crowdBody)},
		{name: "whole-gathered", begin: withLength("/all/x", crowdBody)},
		{name: "end-at-once", begin: withLength("/all/x", crowdBody-1), end: "x"},
		{name: "chunks-end-at-once", begin: inChunks("/one/x", crowdBody, crowdBody), end: "0\r\n\r\n"},
		{name: "header-and-little-body", callers: 1500, begin: text(crowdHead("POST", "/one/x", longHeader+"Content-Length: 2000\r\n") + strings.Repeat("x", 1000))},
		{name: "half-header", callers: 3000, begin: text(strings.TrimSuffix(crowdHead("GET", "/one/x", longHeader), "\r\n"))},
	}
}

// crowdFDForms returns the forms of connections that use up descriptors.
func crowdFDForms() []crowdForm {
	forms := []crowdForm{
		{name: "silent", begin: text("")},
		{name: "half-header", begin: text("POST /one/x HTTP/1.1\r\nHost: h.example\r\n")},
		{name: "stopped-body", begin: text(crowdHead("POST", "/one/x", "Content-Length: 2000\r\n") + strings.Repeat("x", 1000))},
		{name: "kept", begin: text(crowdHead("GET", "/one/x", ""))},
		{name: "unknown-route", begin: text(crowdHead("POST", "/unknown/x", "Content-Length: 2000\r\n") + strings.Repeat("x", 1000))},
	}
	for i := range forms {
		forms[i].callers, forms[i].fds = crowdFDCallers, crowdFDs
	}
	return forms
}

// buildDaemon returns the path of the daemon's program.
func buildDaemon(t *testing.T) string {
	if binary := os.Getenv("SOAK_BINARY"); binary != "" {
		return binary
	}
	binary, err := gexec.Build("github.com/bramleybarrow/bramleybarrow/cmd/bramleyd")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(gexec.CleanupBuildArtifacts)
	return binary
}

// Guards against callers that end a VM, or another one behind it, by requests within the limits of which each
// holds memory for as long as its connection is open.
func TestCrowdMemory(t *testing.T) {
	binary := buildDaemon(t)
	for _, form := range crowdForms() {
		t.Run(form.name, func(t *testing.T) {
			knownred.Skip(t)
			testCrowd(t, binary, form)
		})
	}
}

// Guards against callers that use up the descriptors which a VM needs for leafs, other VMs, the store and
// its readiness.
func TestCrowdDescriptors(t *testing.T) {
	binary := buildDaemon(t)
	for _, form := range crowdFDForms() {
		t.Run(form.name, func(t *testing.T) {
			knownred.Skip(t)
			testCrowd(t, binary, form)
		})
	}
}

// testCrowd lets a crowd meet one of two VMs. Both must stay within their limits, and the one must serve
// ordinary requests beside the crowd and after it.
func testCrowd(t *testing.T, binary string, form crowdForm) {
	options := defaultOptions(nil)
	options.vmsPerZone, options.memoryMB, options.fds = 1, crowdMemoryMB, form.fds
	options.timeoutMS = crowdTimeoutMS
	d := newDeployment(t, binary, options)
	d.waitServing(t)
	victim := d.vms[0]
	watch := watchDescriptors(victim)
	crowd := newCrowd(victim, form)
	crowd.arrive()
	time.Sleep(crowdSettle)
	if !d.servesOrdinary(victim) {
		t.Errorf("%s serves no ordinary request beside the crowd; end of its log:\n%s", victim.set.Name, victim.logTail())
	}
	if !victim.ready() {
		t.Errorf("%s is not ready beside the crowd", victim.set.Name)
	}
	crowd.leave()
	if !d.servesOrdinary(victim) {
		t.Errorf("%s serves no ordinary request after the crowd; end of its log:\n%s", victim.set.Name, victim.logTail())
	}
	most := watch()
	for _, v := range d.vms {
		if v.hasExited() {
			t.Errorf("the process of %s has ended; end of its log:\n%s", v.set.Name, v.logTail())
			continue
		}
		peak := v.peakMemoryMB(t)
		t.Logf("%s: %d MB at its peak", v.set.Name, peak)
		if peak > crowdMemoryMB {
			t.Errorf("%s used %d MB of %d", v.set.Name, peak, crowdMemoryMB)
		}
	}
	t.Logf("%d descriptors at most", most)
	if form.fds > 0 && most > form.fds-crowdFreeFDs {
		t.Errorf("%s had %d of %d descriptors open, and %d are to be left", victim.set.Name, most, form.fds, crowdFreeFDs)
	}
}

// crowd is a number of callers, each with a connection to one VM that stays open.
type crowd struct {
	vm   *vm
	form crowdForm
	ctx  context.Context // ends when the crowd leaves
	end  context.CancelFunc

	wg    sync.WaitGroup // of callers
	begun sync.WaitGroup // of callers that have not sent the begin of their request
}

// newCrowd returns a crowd that has not arrived.
func newCrowd(v *vm, form crowdForm) *crowd {
	c := &crowd{vm: v, form: form}
	if c.form.callers == 0 {
		c.form.callers = crowdCallers
	}
	c.ctx, c.end = context.WithCancel(context.Background())
	return c
}

// arrive lets all callers send their requests, and returns when they have, or were refused.
func (c *crowd) arrive() {
	sent := make(chan struct{}) // closed when all callers have sent the begin of their request
	var ended sync.WaitGroup    // of callers that have not sent the end
	c.begun.Add(c.form.callers)
	ended.Add(c.form.callers)
	begin := c.form.begin()
	for number := range c.form.callers {
		c.wg.Go(func() {
			conn := c.open(number, begin)
			c.begun.Done()
			<-sent
			if conn != nil {
				_, _ = io.WriteString(conn, c.form.end) // fails if the VM has closed the connection
			}
			ended.Done()
			c.stay(conn, number, begin)
		})
	}
	c.begun.Wait()
	close(sent)
	ended.Wait()
}

// open opens a connection and sends the begin of a request. It returns nil if the VM does not accept it.
func (c *crowd) open(number int, begin []byte) net.Conn {
	conn, err := net.DialTimeout("tcp", c.vm.set.Listen.Callers, crowdWriteTime)
	if err != nil {
		return nil
	}
	_ = conn.SetWriteDeadline(time.Now().Add(crowdWriteTime))
	head, rest, _ := bytes.Cut(begin, []byte(crowdID))
	if len(rest) > 0 {
		head = append(bytes.Clone(head), fmt.Sprintf("crowd-%05d", number)...)
	}
	if _, err := conn.Write(head); err == nil {
		_, _ = conn.Write(rest) // fails if the VM has refused the request
	}
	return conn
}

// stay keeps a connection open until the crowd leaves. If callers come back, it opens another one each time
// the VM has closed it.
func (c *crowd) stay(conn net.Conn, number int, begin []byte) {
	for c.form.returns && c.ctx.Err() == nil {
		if conn != nil {
			open := conn
			stop := context.AfterFunc(c.ctx, func() { _ = open.SetReadDeadline(time.Unix(1, 0)) })
			_, _ = io.Copy(io.Discard, open) // until the VM closes it
			stop()
			_ = conn.Close()
		}
		conn = c.open(number, begin)
	}
	<-c.ctx.Done()
	if conn != nil {
		_ = conn.Close()
	}
}

// leave closes all connections.
func (c *crowd) leave() {
	c.end()
	c.wg.Wait()
}

// servesOrdinary reports whether the VM answers one ordinary request of each kind, with and without a body,
// on a connection of its own. A caller that is refused comes back.
func (d *deployment) servesOrdinary(v *vm) bool {
	for kind, sent := range []callerRequest{
		{method: "GET", path: "/one/x"}, {method: "GET", path: "/all/x"}, {method: "POST", path: "/one/x", body: "report"}, {method: "POST", path: "/all/x", body: "report"},
	} {
		served := false
		for deadline := time.Now().Add(recoveryTimeout); !served && time.Now().Before(deadline); {
			served = d.sendOrdinary(v, fmt.Sprintf("ordinary-%d-%d", kind, time.Now().UnixNano()), sent) == http.StatusOK
		}
		if !served {
			return false
		}
	}
	return true
}

// sendOrdinary sends a request on a connection of its own, and returns the status of its answer.
func (d *deployment) sendOrdinary(v *vm, id string, sent callerRequest) int {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	client := newClient()
	defer client.CloseIdleConnections()
	var body io.Reader
	if sent.body != "" {
		body = strings.NewReader(sent.body)
	}
	req, err := http.NewRequestWithContext(ctx, sent.method, "http://"+v.set.Listen.Callers+sent.path, body)
	if err != nil {
		d.t.Error(err)
		return noAnswer
	}
	req.Host = "h.example"
	req.Header.Set("Bramleybarrow-Attempt-Id", id)
	req.Header.Set("Bramleybarrow-Deadline-Ms", "1500")
	status, _, _, err := do(client, req)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return noAnswer
	}
	if status != http.StatusOK {
		time.Sleep(20 * time.Millisecond)
	}
	return status
}

// hasExited reports whether the VM's current process has ended.
func (v *vm) hasExited() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.exited:
		return true
	default:
		return false
	}
}

// proc returns the path of a file that the kernel keeps of the VM's current process.
func (v *vm) proc(name string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return filepath.Join("/proc", strconv.Itoa(v.process.Process.Pid), name)
}

// peakMemoryMB returns the most memory that the VM's current process has had resident, in MiB.
func (v *vm) peakMemoryMB(t *testing.T) int {
	status, err := os.ReadFile(v.proc("status"))
	if err != nil {
		t.Error(err)
		return 0
	}
	for line := range strings.Lines(string(status)) {
		var kib int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kib); n == 1 {
			return kib / 1024
		}
	}
	t.Errorf("the kernel states no peak of the memory of %s", v.set.Name)
	return 0
}

// watchDescriptors counts the open descriptors of a VM until the function that it returns is called, which
// returns the highest number.
func watchDescriptors(v *vm) (stop func() int) {
	ctx, cancel := context.WithCancel(context.Background())
	most := make(chan int, 1)
	go func() {
		n := 0
		for ctx.Err() == nil {
			if open, err := os.ReadDir(v.proc("fd")); err == nil {
				n = max(n, len(open))
			}
			time.Sleep(20 * time.Millisecond)
		}
		most <- n
	}()
	return func() int {
		cancel()
		return <-most
	}
}
