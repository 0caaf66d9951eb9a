// Package lab starts a small deployment for the cases of the review: the project's daemons as
// processes, with stand-ins of the platform's store and of leafs in the calling process.
package lab

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/bramleybarrow/bramleybarrow/edge"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/edgesim"
)

// Deployment is a store and daemons.
type Deployment struct {
	Store *edgesim.Store
	VMs   []*VM

	binary string // path of the daemon
	dir    string // temporary directory of settings and logs
}

// VM is one daemon.
type VM struct {
	Settings *edge.Settings

	cmd    *exec.Cmd
	exited chan struct{}
}

// NewDeployment returns a deployment without daemons, which has to be closed.
func (c *Case) NewDeployment() (*Deployment, error) {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Store: edgesim.NewStore(500), binary: c.binary, dir: dir}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deployments = append(c.deployments, d)
	return d, nil
}

// AddVM starts a daemon with the settings that deploy/settings.json.tmpl makes of the node file of a
// small site. store is the address at which it reaches the store.
func (d *Deployment) AddVM(name, zone, store string) (*VM, error) {
	var addresses [4]string
	for i := range addresses {
		address, err := edgesim.FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	vm := &VM{Settings: &edge.Settings{
		Name: name, Zone: zone, Store: store, FirstStart: true, GraceS: 6, Power: 0.4, MemoryMB: 284, LogLevel: "info",
		Listen: edge.ListenSettings{Callers: addresses[0], Ready: addresses[1], VMs: addresses[2], Metrics: addresses[3]},
		Bounds: edge.BoundSettings{ManifestMS: 3000, DrainMS: 3000},
		Budget: edge.BudgetSettings{Ratio: 0.2, Floor: 54, WindowS: 10},
		Room:   edge.RoomSettings{Measure: true, Spill: true, HandOver: true},
	}}
	d.VMs = append(d.VMs, vm)
	return vm, vm.start(d.binary, d.dir)
}

// start starts the daemon's process with the command of the deploy file.
func (v *VM) start(binary, dir string) error {
	data, err := json.Marshal(v.Settings)
	if err != nil {
		return err
	}
	path := filepath.Join(dir, v.Settings.Name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	out, err := os.Create(path + ".log")
	if err != nil {
		return err
	}
	defer out.Close() // the process has its own copy
	v.cmd = exec.Command(binary, "edge", path)
	v.cmd.Stdout, v.cmd.Stderr = out, out
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.exited = make(chan struct{})
	go func() {
		_ = v.cmd.Wait() // the status does not matter
		close(v.exited)
	}()
	return nil
}

// Signal sends a signal to the daemon.
func (v *VM) Signal(sig syscall.Signal) { _ = v.cmd.Process.Signal(sig) }

// Exited returns a channel that is closed when the daemon has exited.
func (v *VM) Exited() <-chan struct{} { return v.exited }

// Ready reports whether the daemon's readiness check answers 200.
func (v *VM) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.Settings.Listen.Ready + "/bramleybarrow/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all daemons are ready.
func (d *Deployment) AwaitReady(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for _, vm := range d.VMs {
		for !vm.Ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %s", vm.Settings.Name, timeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Close ends all daemons and the store, and removes the temporary directory.
func (d *Deployment) Close() {
	for _, vm := range d.VMs {
		if vm.exited == nil {
			continue
		}
		vm.Signal(syscall.SIGKILL)
		<-vm.exited
	}
	d.Store.Close()
	_ = os.RemoveAll(d.dir)
}

// Record writes what was sent, answered and run, each line with the time since its start. It is safe
// for concurrent use.
type Record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
}

// NewRecord creates the file at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{began: time.Now(), file: file}, err
}

// Printf writes a line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
