package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bramleybarrow/bramleybarrow/edge"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/edgesim"
)

// Sizes of the deployment.
const (
	shardCount = 10 // number of shards of the gathered route
	vmsPerZone = 2  // number of VMs in each zone
)

// zones holds the names of the availability zones.
var zones = []string{"a", "b"}

// deployment is a store, leafs and VMs. Each VM runs as a process of its own.
type deployment struct {
	t       *testing.T
	binary  string // path of bramleyd
	dir     string // of the VMs' settings and logs
	options deploymentOptions
	store   *edgesim.Store
	leafs   map[string]*edgesim.Leaf // by ID
	vms     []*vm
	tenants *tenants // nil if requests need no API key
	ledgers []string // services of the ledger
	ledger  string   // the one of them that routes name

	mu      sync.Mutex // guards changed
	changed []string   // requests that reached a leaf otherwise than they were sent
}

// deploymentOptions are the parameters in which deployments differ.
type deploymentOptions struct {
	grace     time.Duration // from SIGTERM to SIGKILL
	timeoutMS int           // of each route
	targetMS  int           // latency objective of each route
	logLevel  string        // of the VMs
	tenants   *tenants      // nil if requests need no API key

	// Zero values of the fields below stand for the usual ones.
	vmsPerZone  int      // number of VMs in each zone
	ledgers     []string // services of the ledger, of which routes name one
	leafSlots   int      // of each leaf
	leafRecords int      // in each answer of a leaf of the ledger
	scarcePower float64  // power of every second VM, in cores, if VMs measure their room and hand requests over
	memoryMB    float64  // of each VM, in MiB
	fds         int      // limit of descriptors of each VM's process
}

// defaultOptions returns the options of most runs. tenants is nil if requests need no API key.
func defaultOptions(tenants *tenants) deploymentOptions {
	return deploymentOptions{grace: time.Second, timeoutMS: 800, targetMS: 200, logLevel: "warn", tenants: tenants}
}

// vm is one VM. Its settings and its proxy to the store outlive its processes.
type vm struct {
	set          *edge.Settings
	settingsPath string
	proxy        *edgesim.StoreProxy

	mu           sync.Mutex    // guards the fields below
	process      *exec.Cmd     // the current one, or the last one after its exit
	exited       chan struct{} // closed when process has exited
	stoppedAt    time.Time     // when the current process was told to stop; zero if it was not, or has exited
	faulty       bool          // a fault of the processes is being injected
	faultEndedAt time.Time     // when the latest such fault ended
	stops        []stop        // stops of its processes that have ended, in runs that count them

	stopping sync.Mutex // held by whoever stops and starts the process, in these runs
}

// newDeployment starts the store, one leaf of each shard and of the ledger in each zone,
// and the VMs. They are stopped when the test ends.
func newDeployment(t *testing.T, binary string, options deploymentOptions) *deployment {
	d := &deployment{t: t, binary: binary, dir: t.ArtifactDir(), options: options, store: edgesim.NewStore(20), leafs: make(map[string]*edgesim.Leaf), tenants: options.tenants}
	t.Cleanup(d.close)
	d.ledgers = []string{"ledger"}
	if len(options.ledgers) > 0 {
		d.ledgers = options.ledgers
	}
	d.ledger = d.ledgers[0]
	for _, name := range shards() {
		for _, zone := range zones {
			d.addLeaf(name+"-"+zone, name, zone)
		}
	}
	for _, name := range d.ledgers {
		for _, zone := range zones {
			d.addLeaf(name+"-"+zone, name, zone)
		}
	}
	d.putManifest(1, "")
	if d.tenants != nil {
		d.changeTenants(0)
	}
	for _, zone := range zones {
		for i := range cmp.Or(options.vmsPerZone, vmsPerZone) {
			d.addVM(fmt.Sprintf("vm-%s-%d", zone, i), zone)
		}
	}
	return d
}

func (d *deployment) close() {
	for _, v := range d.vms {
		v.kill()
		v.proxy.SetSilent(false)
		v.proxy.Close()
	}
	for _, l := range d.leafs {
		l.Stop()
	}
	d.store.Close()
}

// addLeaf starts a leaf and registers it in the store as ready.
func (d *deployment) addLeaf(id, service, zone string) {
	l := &edgesim.Leaf{ID: id, Service: service, Zone: zone, Born: time.Now().UnixMilli(), Slots: d.options.leafSlots}
	if slices.Contains(d.ledgers, service) {
		l.Records = d.options.leafRecords
	}
	if d.tenants != nil {
		l.Observe = d.tenants.observe
	}
	l.Inspect = d.inspect
	d.leafs[id] = l.Start()
	d.store.Put("servers", id, l.RegistryEntry("ready"))
}

// inspect records a request to a leaf that differs from what its caller sent. Requests that end leafs have no
// body.
func (d *deployment) inspect(r *http.Request, body []byte) {
	want := callerRequest{method: r.Method, path: r.RequestURI}
	for kind := range requestKinds {
		if requestOf(kind).path == r.RequestURI {
			want = requestOf(kind)
		}
	}
	if strings.HasPrefix(r.Header.Get("Bramleybarrow-Attempt-Id"), "crowd-") && strings.Trim(string(body), "x") == "" {
		return // all bodies of a crowd are made of it
	}
	if strings.Contains(r.RequestURI, "deadly") && r.Method == http.MethodGet && len(body) == 0 || r.Host == "h.example" && r.Method == want.method && string(body) == want.body && want.body != "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changed = append(d.changed, fmt.Sprintf("%s: a leaf got %s %s at %q with the body %q", r.Header.Get("Bramleybarrow-Attempt-Id"), r.Method, r.RequestURI, r.Host, body))
}

// putManifest stores a manifest with three routes: "all" gathers from all shards, "one"
// and "once" call a leaf of the ledger. Requests of "once" must not run twice. more holds further
// fields of the manifest, each preceded by a comma.
func (d *deployment) putManifest(version int, more string) {
	services := make([]string, len(d.ledgers))
	for i, name := range d.ledgers {
		services[i] = fmt.Sprintf(`{"name":%q,"max-connections":100}`, name)
	}
	d.store.Put("config", "main", fmt.Sprintf(`{"version":%[1]d,"routes":[
	{"name":"all","host":"h.example","path-prefix":"/all/","kind":"idempotent","timeout-ms":%[2]d,"target-latency-ms":%[7]d,"priority":1,"gather":["%[3]s"],"max-attempts":2,"top-k":5,"min-share":0.5},
	{"name":"one","host":"h.example","path-prefix":"/one/","kind":"idempotent","timeout-ms":%[2]d,"target-latency-ms":%[7]d,"priority":1,"service":%[5]q,"max-attempts":2},
	{"name":"once","host":"h.example","path-prefix":"/once/","kind":"non_idempotent","timeout-ms":%[2]d,"target-latency-ms":%[7]d,"priority":1,"service":%[5]q,"max-attempts":2}],
	"services":[%[6]s],"limits":{"max-body-bytes":262144}%[4]s}`, version, d.options.timeoutMS, strings.Join(shards(), `","`), more, d.ledger, strings.Join(services, ","), d.options.targetMS))
}

// addVM writes the settings of a VM and starts it with a proxy to the store.
func (d *deployment) addVM(name, zone string) {
	proxy := edgesim.NewStoreProxy(d.store.Address())
	v := &vm{proxy: proxy, settingsPath: filepath.Join(d.dir, name+".json"), set: &edge.Settings{
		Name: name, Zone: zone, Store: proxy.Address(), GraceS: d.options.grace.Seconds(), Power: 1, MemoryMB: cmp.Or(d.options.memoryMB, 256), LogLevel: d.options.logLevel,
		Listen: edge.ListenSettings{Callers: d.freeAddress(), Ready: d.freeAddress(), VMs: d.freeAddress(), Metrics: d.freeAddress()},
		Bounds: edge.BoundSettings{ManifestMS: 3000, DrainMS: 3000, EvacuateMS: float64(evacuationBound.Milliseconds())},
		Budget: edge.BudgetSettings{Ratio: 0.2, Floor: 200, WindowS: 10},
	}}
	if power := d.options.scarcePower; power > 0 {
		v.set.Room = edge.RoomSettings{Measure: true, Spill: true, HandOver: true}
		if len(d.vms)%2 == 0 {
			v.set.Power = power
		}
	}
	if d.tenants != nil {
		d.tenants.configure(v.set)
	}
	data, err := json.Marshal(v.set)
	if err == nil {
		err = os.WriteFile(v.settingsPath, data, 0o600)
	}
	if err != nil {
		d.t.Fatal(err)
	}
	d.vms = append(d.vms, v)
	v.start(d)
}

// shards returns the names of the shards of the gathered route.
func shards() []string {
	names := make([]string, shardCount)
	for i := range names {
		names[i] = fmt.Sprintf("shard-%02d", i)
	}
	return names
}

// freeAddress returns an address with a free port on the loopback IP of this test process, or fails the test if
// it finds none. Other test processes can't take the port while the VM's process is stopped.
func (d *deployment) freeAddress() string {
	address, err := edgesim.FreeAddress()
	if err != nil {
		d.t.Fatal(err)
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		d.t.Fatal(err)
	}
	return net.JoinHostPort(loopbackIP(os.Getpid()).String(), port)
}

// loopbackIP returns a loopback IP for a process ID of at most 22 bits, which no other ID has.
func loopbackIP(pid int) net.IP {
	return net.IPv4(127, byte(64+pid>>16), byte(pid>>8), byte(pid))
}

// start starts a process of the VM, whose output is appended to the VM's log file.
func (v *vm) start(d *deployment) {
	cmd := exec.Command(d.binary, "edge", v.settingsPath)
	if d.options.fds > 0 {
		cmd = exec.Command("sh", "-c", `ulimit -n "$2" && exec "$0" edge "$1"`, d.binary, v.settingsPath, strconv.Itoa(d.options.fds))
	}
	out, err := os.OpenFile(v.settingsPath+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.t.Error(err)
		return
	}
	defer out.Close() // the process has its own copy
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		d.t.Error(err)
		return
	}
	exited := make(chan struct{})
	go func() {
		// The exit status does not matter: the process is killed in most runs.
		_ = cmd.Wait()
		close(exited)
	}()
	v.mu.Lock()
	v.process, v.exited = cmd, exited
	v.mu.Unlock()
}

// signal sends a signal to the VM's current process.
func (v *vm) signal(sig syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	// The error for a process that has just exited is ignored: every caller can continue.
	_ = v.process.Process.Signal(sig)
}

// waitExit waits for the current process to exit. It kills the process after the timeout.
func (v *vm) waitExit(timeout time.Duration) {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(timeout):
		v.signal(syscall.SIGKILL)
		<-exited
	}
}

// kill kills the current process and waits for its exit.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	v.waitExit(time.Second)
}

// stop tells the current process to stop, and waits for its exit.
func (v *vm) stop() {
	v.setStoppedAt(time.Now())
	v.signal(syscall.SIGTERM)
	v.signal(syscall.SIGHUP)
	v.waitExit(2 * time.Second)
	time.Sleep(30 * time.Millisecond) // until callers have noticed that their connections are closed
	v.setStoppedAt(time.Time{})
}

// setStoppedAt sets when the current process was told to stop.
func (v *vm) setStoppedAt(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stoppedAt = at
}

// stoppingFor returns for how long the current process has been told to stop, and false if it has not.
func (v *vm) stoppingFor() (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.stoppedAt), !v.stoppedAt.IsZero()
}

// calmSince returns when the latest fault of the VM's processes ended: now while there is one.
func (v *vm) calmSince() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.faulty {
		return time.Now()
	}
	return v.faultEndedAt
}

// setFaulty records that a fault of the VM's processes begins or has ended.
func (v *vm) setFaulty(faulty bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.faulty = faulty
	v.faultEndedAt = time.Now()
}

// log returns what the VM's processes wrote.
func (v *vm) log() string {
	data, err := os.ReadFile(v.settingsPath + ".log")
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// logTail returns the last 2000 bytes that the VM's processes wrote.
func (v *vm) logTail() string {
	const size = 2000
	text := v.log()
	return text[max(len(text)-size, 0):]
}

// ready reports whether the VM's readiness endpoint answers that it is ready for callers.
func (v *vm) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.set.Listen.Ready + "/bramleybarrow/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
