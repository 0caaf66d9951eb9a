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

// controlClient opens a connection for each call, so that no pool outlives a test.
var controlClient = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true},
	Timeout:   callTimeout,
}

// call sends body as JSON, if not nil, and decodes the answer into into, if not
// nil. It returns the status.
func call(ctx context.Context, method, url string, header http.Header, body, into any) (int, error) {
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
	if into == nil {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, errors.Annotatef(json.Unmarshal(data, into), "%s %s: %.200s", method, url, data)
}

// endpoint is a control endpoint.
type endpoint string

func (e endpoint) set(method, path string, body any) error {
	status, err := call(context.Background(), method, "http://"+string(e)+path, nil, body, nil)
	if err == nil && status != http.StatusNoContent {
		err = errors.Errorf("%s %s: status %d", method, path, status)
	}
	return err
}

func (e endpoint) get(path string, into any) error {
	_, err := call(context.Background(), http.MethodGet, "http://"+string(e)+path, nil, nil, into)
	return err
}

// Platform is a stand-in of the platform.
type Platform struct {
	*Process
	Address string
	control endpoint
}

// StartPlatform starts the fleet's platform; watches wait for watchWait.
func (f *Fleet) StartPlatform(watchWait time.Duration) (*Platform, error) {
	p, ready, err := f.startStandIn("platform", "platform", "--watch-wait", watchWait.String())
	if err != nil {
		return nil, err
	}
	f.platform = &Platform{Process: p, Address: ready.Listen, control: endpoint(ready.Control)}
	return f.platform, nil
}

// SetFaults replaces the platform's faults.
func (p *Platform) SetFaults(faults platformsim.Faults) error {
	return p.control.set(http.MethodPut, "/control/faults", faults)
}

// Counters returns the counts of calls.
func (p *Platform) Counters() (platformsim.Counters, error) {
	var c platformsim.Counters
	return c, p.control.get("/control/counters", &c)
}

// SetVMs replaces the list of VMs, to be seen after lag.
func (p *Platform) SetVMs(vms []objstore.VM, lag time.Duration) error {
	return p.control.set(http.MethodPut, "/control/vms", platformsim.VMsRequest{VMs: vms, LagMS: int(lag.Milliseconds())})
}

// Target is a stand-in of a target.
type Target struct {
	*Process
	Options targetsim.Options
	Address string
	control endpoint
}

// StartTarget starts a target. With Listen set in its options it can be started
// again at the same address.
func (f *Fleet) StartTarget(o targetsim.Options) (*Target, error) {
	data, err := json.Marshal(o)
	if err != nil {
		return nil, errors.Trace(err)
	}
	path := filepath.Join(f.opts.Dir, o.Name+".target.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, errors.Trace(err)
	}
	p, ready, err := f.startStandIn(o.Name, "target", "--options", path)
	if err != nil {
		return nil, err
	}
	return &Target{Process: p, Options: o, Address: ready.Listen, control: endpoint(ready.Control)}, nil
}

// SetFaults replaces the target's faults.
func (t *Target) SetFaults(faults targetsim.Faults) error {
	return t.control.set(http.MethodPut, "/control/faults", faults)
}

// SetTiming replaces the target's service times.
func (t *Target) SetTiming(timing targetsim.Timing) error {
	return t.control.set(http.MethodPut, "/control/timing", timing)
}

// SetSnapshots replaces what the target's leaves hold.
func (t *Target) SetSnapshots(holders []targetsim.SnapshotPlacement) error {
	return t.control.set(http.MethodPut, "/control/snapshots", holders)
}

// SetDraining makes the target leave, or stay.
func (t *Target) SetDraining(draining bool) error {
	return t.control.set(http.MethodPut, "/control/draining", targetsim.DrainingRequest{Draining: draining})
}

// Ran returns what the target really started.
func (t *Target) Ran() (targetsim.StartedRequests, error) {
	var r targetsim.StartedRequests
	return r, t.control.get("/control/ran", &r)
}

// Counters returns the target's counts.
func (t *Target) Counters() (targetsim.Counters, error) {
	var c targetsim.Counters
	return c, t.control.get("/control/counters", &c)
}

// Proxy is a fault proxy.
type Proxy struct {
	*Process
	Address string
	control endpoint
}

// StartProxy starts a fault proxy in front of an address.
func (f *Fleet) StartProxy(name, to string) (*Proxy, error) {
	return f.startProxy(name, "--target", to)
}

// StartPeerProxy starts a fault proxy in front of a daemon's listener for peers.
// Its Faults.Apart names daemons.
func (f *Fleet) StartPeerProxy(name, to string) (*Proxy, error) {
	return f.startProxy(name, "--target", to, "--peers")
}

func (f *Fleet) startProxy(name string, args ...string) (*Proxy, error) {
	p, ready, err := f.startStandIn(name, append([]string{"proxy"}, args...)...)
	if err != nil {
		return nil, err
	}
	return &Proxy{Process: p, Address: ready.Listen, control: endpoint(ready.Control)}, nil
}

// SetFaults replaces the proxy's faults.
func (p *Proxy) SetFaults(faults faultproxy.Faults) error {
	return p.control.set(http.MethodPut, "/control/faults", faults)
}

// Cut closes every open connection.
func (p *Proxy) Cut() error { return p.control.set(http.MethodPost, "/control/cut", nil) }

// Silence makes every open connection silent for good; new ones work.
func (p *Proxy) Silence() error { return p.control.set(http.MethodPost, "/control/silence", nil) }

// Daemon is a bramleyd.
type Daemon struct {
	*Process
	Zone         string
	SettingsPath string // path of the file
	Callers      string
	Ops          string
	Peers        string // address that other VMs dial
}

// VM returns the daemon's entry for the platform's list.
func (d *Daemon) VM() objstore.VM {
	return objstore.VM{Name: d.Name, Address: d.Peers, Ops: d.Ops, Zone: d.Zone}
}

// Status returns what the daemon says of itself.
func (d *Daemon) Status(ctx context.Context) (ops.Status, error) {
	var s ops.Status
	_, err := call(ctx, http.MethodGet, "http://"+d.Ops+ops.PathStatus, nil, nil, &s)
	return s, err
}

// Metrics returns the values of the daemon's metrics by name and labels.
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

// Ready reports whether the daemon says that it should get callers' requests.
func (d *Daemon) Ready(ctx context.Context) bool {
	status, err := call(ctx, http.MethodGet, "http://"+d.Ops+ops.PathReady, nil, nil, nil)
	return err == nil && status == http.StatusOK
}

// Search sends a search and returns the answer with its HTTP status.
func (d *Daemon) Search(ctx context.Context, name string, body gateway.SearchBody) (gateway.Answer, int, error) {
	return d.post(ctx, "search", name, nil, body)
}

// Browse asks for one page.
func (d *Daemon) Browse(ctx context.Context, name string, body gateway.SearchBody) (gateway.Answer, int, error) {
	return d.post(ctx, "browse", name, nil, body)
}

// Submit sends a non-idempotent request under a key.
func (d *Daemon) Submit(ctx context.Context, name, key string, payload any) (gateway.Answer, int, error) {
	header := http.Header{gateway.HeaderKey: {key}}
	return d.post(ctx, "submit", name, header, payload)
}

func (d *Daemon) post(ctx context.Context, verb, name string, header http.Header, body any) (gateway.Answer, int, error) {
	var a gateway.Answer
	status, err := call(ctx, http.MethodPost, "http://"+d.Callers+"/v1/"+verb+"/"+name, header, body, &a)
	return a, status, err
}
