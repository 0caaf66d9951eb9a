// Package fleet runs daemons and the simulators of bramley-lab as processes, for
// tests and benchmarks. It starts them, calls their control endpoints and rolls out
// bundles. It stops only processes that it started, by their id.
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

// startTimeout bounds the wait for a simulator or fault proxy to report that it serves.
const startTimeout = 30 * time.Second

// Process is a child process.
type Process struct {
	Name    string // names the process in logs and errors
	LogPath string // file with the standard error and, for a daemon, the standard output

	cmd  *exec.Cmd
	done chan struct{} // closed when the process has exited
}

// Pid returns the id of the process.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Terminate sends SIGTERM, which makes the process shut down gracefully.
func (p *Process) Terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// Pause suspends the process until Resume, like a VM during a live migration.
func (p *Process) Pause() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitCode returns the exit code of a process that has exited, or -1 if a signal
// ended it.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Log returns the content of the process's log file, or the error of reading it.
func (p *Process) Log() string {
	text, err := os.ReadFile(p.LogPath)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// spawner returns the channel of a goroutine that runs the functions sent to it on one
// thread, which exists as long as this process. Children are started on that thread
// because the kernel sends them the parent-death signal when the thread that started
// them exits. The signal ends the children with this process, also when a test exceeds
// its time limit and no cleanup runs.
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

// startChild starts cmd so that the kernel kills the child when this process exits.
func startChild(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	spawner() <- func() { started <- cmd.Start() }
	return errors.Trace(<-started)
}

// startProgram starts a program with args. Its standard output and error are appended to
// the log file of the process, which has the given name.
func (f *Fleet) startProgram(name, program string, args ...string) (*Process, error) {
	return f.launch(name, nil, program, args...)
}

// startLabProcess starts bramley-lab with args, of which the first names a simulator or
// the fault proxy, and waits until the process serves. The process then prints a
// labhttp.Ready, a line of JSON, on standard output. startLabProcess returns that Ready.
func (f *Fleet) startLabProcess(name string, args ...string) (*Process, labhttp.Ready, error) {
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
	return p, ready, errors.Annotatef(err, "start %s, log: %s", name, p.Log())
}

// readReady reads a labhttp.Ready, one line of JSON. It waits for startTimeout at most.
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

// launch starts a program with args and adds it to the processes that Close kills. Name
// is the name of the process and of its log file. The program's standard error is
// appended to the log file. Its standard output goes to stdout, or to the log file if
// stdout is nil. The caller must not hold f.mu.
func (f *Fleet) launch(name string, stdout *os.File, program string, args ...string) (*Process, error) {
	logPath := filepath.Join(f.opts.Dir, name+".log")
	logFile, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer logFile.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
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
