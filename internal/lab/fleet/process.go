// Package fleet runs the daemon and the stand-ins as processes, for tests and
// benchmarks: it starts them, talks to their control endpoints, puts bundles
// into force, and ends every process that it started, by its id.
package fleet

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/labhttp"
)

// startTimeout bounds the wait for a process to say that it serves.
const startTimeout = 30 * time.Second

// Process is a child process.
type Process struct {
	Name    string
	LogPath string // standard error, and standard output but for a Ready line

	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// Pid returns the id of the process.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Terminate asks the process to stop in good order.
func (p *Process) Terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// Pause freezes the process until Resume, as a virtual machine that is moved.
func (p *Process) Pause() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitCode returns the status of an ended process, -1 if a signal ended it.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Log returns what the process has logged.
func (p *Process) Log() string {
	text, err := os.ReadFile(p.LogPath)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// spawner starts children from one thread that lives as long as this process,
// so that the kernel ends them with it, also when a test runs into its time
// limit and no cleanup runs. (The kernel ties a child to the thread that
// started it.)
var spawner = sync.OnceValue(func() chan<- func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

func startChild(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	spawner() <- func() { started <- cmd.Start() }
	return errors.Trace(<-started)
}

// startProgram runs a program whose output goes to a log file.
func (f *Fleet) startProgram(name, program string, args ...string) (*Process, error) {
	return f.launch(name, nil, program, args...)
}

// startStandIn runs a stand-in and waits for its Ready line.
func (f *Fleet) startStandIn(name string, args ...string) (*Process, labhttp.Ready, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, labhttp.Ready{}, errors.Trace(err)
	}
	defer reader.Close()
	p, err := f.launch(name, writer, f.opts.Lab, args...)
	writer.Close()
	if err != nil {
		return nil, labhttp.Ready{}, err
	}
	ready, err := readReady(reader)
	return p, ready, errors.Annotatef(err, "start of %s, log: %s", name, p.Log())
}

func readReady(r *os.File) (labhttp.Ready, error) {
	var ready labhttp.Ready
	if err := r.SetReadDeadline(time.Now().Add(startTimeout)); err != nil {
		return ready, errors.Trace(err)
	}
	line, err := bufio.NewReader(r).ReadBytes('\n')
	if err != nil && err != io.EOF {
		return ready, errors.Trace(err)
	}
	return ready, errors.Trace(json.Unmarshal(line, &ready))
}

func (f *Fleet) launch(name string, stdout *os.File, program string, args ...string) (*Process, error) {
	logPath := filepath.Join(f.opts.Dir, name+".log")
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer log.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	if stdout != nil {
		cmd.Stdout = stdout
	}
	if err := startChild(cmd); err != nil {
		return nil, errors.Annotate(err, name)
	}
	p := &Process{Name: name, LogPath: logPath, cmd: cmd, done: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.done)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
	return p, nil
}
