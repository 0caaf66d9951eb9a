package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/gateway"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/faultproxy"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/platformsim"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/ops"
)

// callTimeout bounds each call to a control endpoint or a daemon.
const callTimeout = 30 * time.Second

// controlClient calls control endpoints and daemons. It opens a new connection for
// each call, so that no idle connection outlives a test.
var controlClient = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true},
	Timeout:   callTimeout,
}

// call sends a request, with body as JSON unless body is nil, and decodes the JSON
// answer into out unless out is nil. It returns the HTTP status, or 0 if there was no
// answer. A status of 400 or more is no error.
func call(ctx context.Context, method, url string, header http.Header, body, out any) (int, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, errors.Trace(err)
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return 0, errors.Trace(err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, errors.Trace(err)
	}
	if out == nil {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, errors.Annotatef(json.Unmarshal(data, out), "%s %s: %.200s", method, url, data)
}

// endpoint is the address (IP and port) of a simulator's control endpoint.
type endpoint string

// send sends a request with body to path. It returns an error unless the status is
// 204.
func (e endpoint) send(method, path string, body any) error {
	status, err := call(context.Background(), method, "http://"+string(e)+path, nil, body, nil)
	if err == nil && status != http.StatusNoContent {
		err = errors.Errorf("%s %s: status %d", method, path, status)
	}
	return err
}

// get requests path and decodes the JSON answer into out. It does not check the status.
func (e endpoint) get(path string, out any) error {
	_, err := call(context.Background(), http.MethodGet, "http://"+string(e)+path, nil, nil, out)
	return err
}

// Platform is a process that simulates the platform; see package platformsim.
type Platform struct {
	*Process
	Address string // IP and port of its HTTP interface
	control endpoint
}

// StartPlatform starts the fleet's platform and waits until it serves. The platform
// answers a watch after watchWait if nothing has changed.
func (f *Fleet) StartPlatform(watchWait time.Duration) (*Platform, error) {
	p, ready, err := f.startLabProcess("platform", "platform", "--watch-wait", watchWait.String())
	if err != nil {
		return nil, err
	}
	f.platform = &Platform{Process: p, Address: ready.Listen, control: endpoint(ready.Control)}
	return f.platform, nil
}

// SetFaults replaces the platform's faults.
func (p *Platform) SetFaults(faults platformsim.Faults) error {
	return p.control.send(http.MethodPut, "/control/faults", faults)
}

// Counters returns the numbers of calls to the platform, by type of call.
func (p *Platform) Counters() (platformsim.Counters, error) {
	var c platformsim.Counters
	return c, p.control.get("/control/counters", &c)
}

// SetVMs replaces the platform's list of VMs. Reads of the list return the old one
// until lag has passed.
func (p *Platform) SetVMs(vms []objstore.VM, lag time.Duration) error {
	return p.control.send(http.MethodPut, "/control/vms", platformsim.VMsRequest{VMs: vms, LagMS: int(lag.Milliseconds())})
}

// Target is a process that simulates a target; see package targetsim.
type Target struct {
	*Process
	Options targetsim.Options // options with which the target was started
	Address string            // IP and port where it serves
	control endpoint
}

// StartTarget starts a target and waits until it serves. To start a stopped target
// again at the same address, set Listen in its options.
func (f *Fleet) StartTarget(o targetsim.Options) (*Target, error) {
	data, err := json.Marshal(o)
	if err != nil {
		return nil, errors.Trace(err)
	}
	path := filepath.Join(f.opts.Dir, o.Name+".target.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, errors.Trace(err)
	}
	p, ready, err := f.startLabProcess(o.Name, "target", "--options", path)
	if err != nil {
		return nil, err
	}
	return &Target{Process: p, Options: o, Address: ready.Listen, control: endpoint(ready.Control)}, nil
}

// SetFaults replaces the target's faults.
func (t *Target) SetFaults(faults targetsim.Faults) error {
	return t.control.send(http.MethodPut, "/control/faults", faults)
}

// SetTiming replaces the distribution of the target's service times.
func (t *Target) SetTiming(timing targetsim.Timing) error {
	return t.control.send(http.MethodPut, "/control/timing", timing)
}

// SetSnapshots replaces the snapshots of which the target holds shards, and states which
// leaf holds which of the shards.
func (t *Target) SetSnapshots(placements []targetsim.SnapshotPlacement) error {
	return t.control.send(http.MethodPut, "/control/snapshots", placements)
}

// SetDraining makes the target drain if draining is true, else serve normally again.
func (t *Target) SetDraining(draining bool) error {
	return t.control.send(http.MethodPut, "/control/draining", targetsim.DrainingRequest{Draining: draining})
}

// Ran returns the requests that the target's leaves have started since the target's
// start.
func (t *Target) Ran() (targetsim.StartedRequests, error) {
	var r targetsim.StartedRequests
	return r, t.control.get("/control/ran", &r)
}

// Counters returns the target's counters since its start.
func (t *Target) Counters() (targetsim.Counters, error) {
	var c targetsim.Counters
	return c, t.control.get("/control/counters", &c)
}

// Proxy is a process that runs a fault proxy; see package faultproxy.
type Proxy struct {
	*Process
	Address string // IP and port where it listens
	control endpoint
}

// StartProxy starts a fault proxy that forwards connections to target, an IP and port,
// and waits until the proxy serves.
func (f *Fleet) StartProxy(name, target string) (*Proxy, error) {
	return f.startProxy(name, "--target", target)
}

// StartPeerProxy starts a fault proxy that forwards connections to target, the IP and
// port of a daemon's listener for peers, and waits until the proxy serves. The proxy
// reads the VM name of each client from the hello, the first message of a connection, so
// that Faults.Partitioned can list VMs.
func (f *Fleet) StartPeerProxy(name, target string) (*Proxy, error) {
	return f.startProxy(name, "--target", target, "--peers")
}

// startProxy starts a fault proxy with args, the flags of bramley-lab proxy.
func (f *Fleet) startProxy(name string, args ...string) (*Proxy, error) {
	p, ready, err := f.startLabProcess(name, append([]string{"proxy"}, args...)...)
	if err != nil {
		return nil, err
	}
	return &Proxy{Process: p, Address: ready.Listen, control: endpoint(ready.Control)}, nil
}

// SetFaults replaces the proxy's faults.
func (p *Proxy) SetFaults(faults faultproxy.Faults) error {
	return p.control.send(http.MethodPut, "/control/faults", faults)
}

// Cut closes every open connection through the proxy.
func (p *Proxy) Cut() error { return p.control.send(http.MethodPost, "/control/cut", nil) }

// Silence makes every open connection through the proxy permanently silent: it stays
// open but transfers nothing. New connections work.
func (p *Proxy) Silence() error { return p.control.send(http.MethodPost, "/control/silence", nil) }

// Daemon is a bramleyd process.
type Daemon struct {
	*Process
	Zone         string // availability zone of the daemon's VM
	SettingsPath string // file with the daemon's settings
	Callers      string // address for callers' requests
	Ops          string // address of the operators' page
	Peers        string // address that other VMs dial
}

// VM returns the daemon's entry in the platform's list of VMs.
func (d *Daemon) VM() objstore.VM {
	return objstore.VM{Name: d.Name, Address: d.Peers, Ops: d.Ops, Zone: d.Zone}
}

// Status reads the daemon's status.
func (d *Daemon) Status(ctx context.Context) (ops.Status, error) {
	var s ops.Status
	_, err := call(ctx, http.MethodGet, "http://"+d.Ops+ops.PathStatus, nil, nil, &s)
	return s, err
}

// Metrics reads the daemon's metrics and returns their values by name. A name includes
// the labels, as written in the Prometheus text format.
func (d *Daemon) Metrics() (map[string]float64, error) {
	resp, err := controlClient.Get("http://" + d.Ops + ops.PathMetrics)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	values := make(map[string]float64)
	for line := range strings.Lines(string(data)) {
		name, text, ok := strings.Cut(strings.TrimSpace(line), " ")
		if v, err := strconv.ParseFloat(text, 64); ok && err == nil {
			values[name] = v
		}
	}
	return values, nil
}

// Ready reports whether the daemon's readiness check succeeds, which means that it
// should receive callers' requests. It returns false if the daemon does not answer.
func (d *Daemon) Ready(ctx context.Context) bool {
	status, err := call(ctx, http.MethodGet, "http://"+d.Ops+ops.PathReady, nil, nil, nil)
	return err == nil && status == http.StatusOK
}

// Search sends a query to the search with this name and returns the answer with its HTTP
// status.
func (d *Daemon) Search(ctx context.Context, name string, body gateway.SearchBody) (gateway.Answer, int, error) {
	return d.post(ctx, "search", name, nil, body)
}

// Browse requests one page of the browse with this name and returns it with its HTTP
// status.
func (d *Daemon) Browse(ctx context.Context, name string, body gateway.SearchBody) (gateway.Answer, int, error) {
	return d.post(ctx, "browse", name, nil, body)
}

// Submit sends a non-idempotent request, with payload as JSON and an idempotency key, to
// the search with this name. It returns the answer with its HTTP status.
func (d *Daemon) Submit(ctx context.Context, name, key string, payload any) (gateway.Answer, int, error) {
	header := http.Header{gateway.HeaderKey: {key}}
	return d.post(ctx, "submit", name, header, payload)
}

// post sends a caller's request, with body as JSON, to the search with this name.
// Operation is search, browse or submit. post returns the answer with its HTTP status.
func (d *Daemon) post(ctx context.Context, operation, name string, header http.Header, body any) (gateway.Answer, int, error) {
	var answer gateway.Answer
	status, err := call(ctx, http.MethodPost, "http://"+d.Callers+"/v1/"+operation+"/"+name, header, body, &answer)
	return answer, status, err
}
