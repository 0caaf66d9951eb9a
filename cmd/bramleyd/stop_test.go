package main

import (
	"bytes"
	"fmt"
	"go/parser"
	"go/token"
	"io/fs"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// runMainVariable is the environment variable that makes the test binary run main.
const runMainVariable = "BRAMLEYD_TEST_RUN_MAIN"

// TestMain runs main in place of the tests in the processes that startDaemon starts.
func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// daemon is a process that runs main.
type daemon struct {
	*exec.Cmd
	output bytes.Buffer
	exited chan error // receives the result of Wait
}

// startDaemon starts a process of bramleyd. It is killed at the end of the test.
func startDaemon(t *testing.T, args ...string) *daemon {
	d := &daemon{Cmd: exec.Command(os.Args[0], args...), exited: make(chan error, 1)}
	d.Env = append(os.Environ(), runMainVariable+"=1")
	d.Stdout, d.Stderr = &d.output, &d.output
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { d.exited <- d.Wait() }()
	t.Cleanup(func() { _ = d.Process.Kill() })
	return d
}

// Settings of a daemon whose store refuses connections. %q is the address of the callers' listener.
const (
	edgeSettings = `{
		"name": "vm-1", "zone": "z", "store": "127.0.0.1:1", "first_start": false, "grace_s": 3,
		"listen": {"callers": %q, "ready": "127.0.0.1:0", "vms": "127.0.0.1:0", "metrics": "127.0.0.1:0"},
		"bounds": {"manifest_ms": 3000, "drain_ms": 3000},
		"budget": {"ratio": 0.2, "floor": 50, "window_s": 10},
		"power": 1, "memory_mb": 256, "log_level": "info"
	}`
	ownSettings = `{
		"name": "vm-1", "deployment": "vatnsleit", "zone": "reykjanes",
		"listen": {"callers": %q, "ops": "127.0.0.1:0", "peers": "127.0.0.1:0"},
		"platform": {"address": "127.0.0.1:1"},
		"operator_keys": [{"id": "ana-1", "person": "ana", "public": "MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDE="}],
		"fleet_keys": ["MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDE="],
		"log": {"level": "info", "json": false}, "lame_duck_ms": 0
	}`
)

// exitTimeout is longer than a daemon with these settings takes to stop.
const exitTimeout = 10 * time.Second

// Guards against a stop that is forgotten: the signal arrives while the daemon reads its settings.
func TestStopDuringTheReadOfTheSettingsIsKept(t *testing.T) {
	for _, c := range []struct {
		command, settings string
		signal            syscall.Signal
		complete          bool // the settings can be read after the signal
	}{
		{"edge", edgeSettings, syscall.SIGTERM, true},
		{"edge", edgeSettings, syscall.SIGTERM, false},
		{"edge", edgeSettings, syscall.SIGINT, true},
		{"check-edge", edgeSettings, syscall.SIGINT, false},
		{"check", ownSettings, syscall.SIGINT, false},
		{"run", ownSettings, syscall.SIGTERM, true},
		{"run", ownSettings, syscall.SIGTERM, false},
	} {
		t.Run(fmt.Sprint(c.command, " ", c.signal, " ", c.complete), func(t *testing.T) {
			g := gomega.NewWithT(t)
			path := filepath.Join(t.TempDir(), "settings.json")
			g.Expect(syscall.Mkfifo(path, 0o600)).To(gomega.Succeed())
			d := startDaemon(t, c.command, path)
			pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the daemon reads
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = pipe.Close() }()
			g.Expect(d.Process.Signal(c.signal)).To(gomega.Succeed())
			if c.complete {
				_, _ = fmt.Fprintf(pipe, c.settings, "127.0.0.1:0") // fails once the daemon has ended
				_ = pipe.Close()
			}
			var waitErr error
			g.Eventually(d.exited, exitTimeout).Should(gomega.Receive(&waitErr), "the daemon still runs")
			g.Expect(waitErr).NotTo(gomega.HaveOccurred(), d.output.String())
		})
	}
}

// Guards against a stop that is forgotten: the signal arrives at any other moment of the start.
func TestStopDuringTheStartIsKept(t *testing.T) {
	for command, text := range map[string]string{"edge": edgeSettings, "run": ownSettings} {
		t.Run(command, func(t *testing.T) {
			g := gomega.NewWithT(t)
			path := filepath.Join(t.TempDir(), "settings.json")
			g.Expect(os.WriteFile(path, fmt.Appendf(nil, text, "127.0.0.1:0"), 0o600)).To(gomega.Succeed())
			const processes, step = 40, 500 * time.Microsecond
			var daemons []*daemon
			for i := range processes {
				d := startDaemon(t, command, path)
				time.Sleep(time.Duration(i) * step)
				g.Expect(d.Process.Signal(syscall.SIGTERM)).To(gomega.Succeed())
				daemons = append(daemons, d)
			}
			for _, d := range daemons {
				g.Eventually(d.exited, exitTimeout).Should(gomega.Receive(), "the daemon still runs")
			}
		})
	}
}

// Guards against a daemon that fails to start and says nothing, or exits as if it had been told to stop.
func TestStartThatFailsIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = taken.Close() }()
	path := filepath.Join(t.TempDir(), "settings.json")
	g.Expect(os.WriteFile(path, fmt.Appendf(nil, edgeSettings, taken.Addr()), 0o600)).To(gomega.Succeed())
	d := startDaemon(t, "edge", path)
	g.Eventually(d.exited, exitTimeout).Should(gomega.Receive(gomega.HaveOccurred()))
	g.Expect(d.output.String()).To(gomega.ContainSubstring("address already in use"))
}

// Guards against a second handler of a signal, which hides the signal from the first one: only
// programs' main packages catch signals.
func TestOnlyMainPackagesCatchSignals(t *testing.T) {
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && (path == filepath.Join(root, "review") || path != root && strings.HasPrefix(entry.Name(), ".")):
			return filepath.SkipDir
		case filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			if name, _ := strconv.Unquote(spec.Path.Value); name == "os/signal" && file.Name.Name != "main" {
				t.Errorf("%s: package %s imports os/signal", path, file.Name.Name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
