package site

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

	"github.com/bramleybarrow/bramleybarrow/internal/lab/edgesim"
)

// Grace is the time from SIGTERM to SIGKILL: grace-s of the small sites.
const Grace = 6 * time.Second

// VM is a machine that runs the daemon.
type VM struct {
	Name, Zone        string
	Callers, Ready    string // addresses
	Peers, Metrics    string // addresses
	settings, logPath string

	mu      sync.Mutex // guards the fields below
	process *exec.Cmd
	exited  chan struct{} // closed when the process has ended
}

// NewVM writes the settings of a VM, as deploy/settings.json.tmpl makes them of a small site's figures. more may change them.
func NewVM(dir, name, zone, store string, more func(map[string]any)) (*VM, error) {
	v := &VM{Name: name, Zone: zone, logPath: filepath.Join(dir, name+".log"), settings: filepath.Join(dir, name+".json")}
	for _, address := range []*string{&v.Callers, &v.Ready, &v.Peers, &v.Metrics} {
		free, err := edgesim.FreeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	set := map[string]any{
		"name": name, "zone": zone, "store": store, "first_start": false, "grace_s": Grace.Seconds(),
		"listen": map[string]any{"callers": v.Callers, "ready": v.Ready, "vms": v.Peers, "metrics": v.Metrics},
		"bounds": map[string]any{"manifest_ms": 3000, "drain_ms": 3000},
		"room":   map[string]any{"measure": true, "spill": true, "hand_over": true},
		"budget": map[string]any{"ratio": 0.2, "floor": 52, "window_s": 10},
		"power":  0.4, "memory_mb": 284, "log_level": "info",
	}
	if more != nil {
		more(set)
	}
	data, err := json.MarshalIndent(set, "", "  ")
	if err != nil {
		return nil, err
	}
	return v, os.WriteFile(v.settings, data, 0o600)
}

// Start starts the daemon with the command of the deploy file.
func (v *VM) Start() error {
	out, err := os.OpenFile(v.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/bramleyd", "edge", v.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.process, v.exited = cmd, exited
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (v *VM) Signal(sig syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.process.Process.Signal(sig)
}

// AwaitExit waits until the process has ended, for so long at most, and reports whether it has.
func (v *VM) AwaitExit(limit time.Duration) bool {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// EndedBySignal reports whether a signal has ended the process, rather than the process itself.
func (v *VM) EndedBySignal() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	status, ok := v.process.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled()
}

// IsReady asks the readiness path.
func (v *VM) IsReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + v.Ready + "/bramleybarrow/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until the VM is ready.
func (v *VM) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if v.IsReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", v.Name, limit)
}
