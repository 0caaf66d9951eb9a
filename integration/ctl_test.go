package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/onsi/gomega/gexec"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/fleet"
	"github.com/bramleybarrow/bramleybarrow/operator"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/settings"
)

// buildCtl builds bramleyctl once and returns the path of the program.
var buildCtl = sync.OnceValues(func() (string, error) {
	return gexec.Build("github.com/bramleybarrow/bramleybarrow/cmd/bramleyctl")
})

// ctl runs bramleyctl as a process on behalf of one person.
type ctl struct {
	c       *cluster
	program string            // path of bramleyctl
	config  string            // path of the settings of bramleyctl
	env     []string          // added to the environment of this process
	onStart func(*os.Process) // called once the process has started; may be nil
}

// ctl returns a ctl for a person, with its settings and the person's key in a temporary
// directory.
func (c *cluster) ctl(person string) *ctl {
	c.t.Helper()
	dir := c.t.TempDir()
	set := operator.Settings{Platform: c.Platform.Address, Deployment: deployment, Key: "key.json"}
	for _, k := range c.Keyring().Keys() {
		set.OperatorKeys = append(set.OperatorKeys, operator.OperatorKey(k))
	}
	c.writeJSON(filepath.Join(dir, "key.json"), c.Key(person))
	config := filepath.Join(dir, "ctl.json")
	c.writeJSON(config, set)
	return &ctl{c: c, program: must[string](c)(buildCtl()), config: config}
}

func (c *cluster) writeJSON(path string, value any) {
	c.t.Helper()
	c.ok(os.WriteFile(path, must[[]byte](c)(json.Marshal(value)), 0o600))
}

// command prepares a run of bramleyctl with JSON output.
func (x *ctl) command(ctx context.Context, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(ctx, x.program, append([]string{"-c", x.config, "-o", "json"}, args...)...)
	cmd.Env = append(os.Environ(), x.env...)
	return cmd
}

// failure is what a command prints to its standard output when it fails.
type failure struct {
	Code   result.Code `json:"code"`
	Detail string      `json:"detail"`
	Next   string      `json:"next"` // what the operator should do
}

// run runs a command and decodes its output into the value that into points to. It
// returns a failure with code 0 on success. If the exit status of a failed command is not
// the class of its result code, the returned failure has the code result.Internal.
func (x *ctl) run(into any, args ...string) failure {
	var stdout, stderr bytes.Buffer
	cmd := x.command(x.c.ctx, args...)
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Start(); err != nil {
		return failure{Code: result.Internal, Detail: err.Error()}
	}
	if x.onStart != nil {
		x.onStart(cmd.Process)
	}
	err := cmd.Wait()
	if err == nil {
		if e := json.Unmarshal(stdout.Bytes(), into); e != nil {
			return failure{Code: result.Internal, Detail: e.Error() + ": " + stdout.String()}
		}
		return failure{}
	}
	// An accepted change prints its answer before it waits for VMs, so a failure of
	// the wait is a second JSON value.
	dec := json.NewDecoder(&stdout)
	var f failure
	for dec.More() {
		if e := dec.Decode(&f); e != nil {
			return failure{Code: result.Internal, Detail: e.Error() + ": " + stderr.String()}
		}
	}
	if cmd.ProcessState.ExitCode() != int(f.Code.Class()) {
		return failure{Code: result.Internal, Detail: "exit status " + strconv.Itoa(cmd.ProcessState.ExitCode()) + " for " + f.Detail}
	}
	return f
}

// must runs a command, decodes its output into the value that into points to, and fails
// the test if the command fails.
func (x *ctl) must(into any, args ...string) {
	x.c.t.Helper()
	if f := x.run(into, args...); f.Code != 0 {
		x.c.t.Fatalf("%v: %+v", args, f)
	}
}

// pushSignedBundle pushes the cluster's bundle under another name, signs it off and
// returns its digest.
func (c *cluster) pushSignedBundle(name string) string {
	c.t.Helper()
	b := *c.Bundle
	b.Format, b.Deployment, b.Author, b.Name = bundle.Format, deployment, fleet.Author, name
	path := filepath.Join(c.t.TempDir(), "bundle.json")
	c.writeJSON(path, b)
	var pushed struct{ Digest string }
	c.ctl(fleet.Author).must(&pushed, "bundle", "push", path)
	var signed bundle.SignOff
	c.ctl(fleet.Signer).must(&signed, "sign", pushed.Digest, "--reason", "test")
	return pushed.Digest
}

// watchRevisions polls the revision in force at every daemon. stop ends the polling and
// returns the name of a daemon once for each poll at which its revision was lower than at
// an earlier poll.
func (c *cluster) watchRevisions() (stop func() []string) {
	return c.watchRevisionsOf(c.Daemons...)
}

// watchRevisionsOf polls the revision in force at the given daemons. stop ends the polling
// and returns the name of a daemon once for each poll at which its revision was lower than
// at an earlier poll.
func (c *cluster) watchRevisionsOf(daemons ...*fleet.Daemon) (stop func() []string) {
	ctx, cancel := context.WithCancel(c.ctx)
	var wg sync.WaitGroup
	var mu sync.Mutex // guards regressed
	var regressed []string
	for _, d := range daemons {
		wg.Go(func() {
			var highest uint64
			for ctx.Err() == nil {
				status, err := d.Status(ctx)
				if err == nil && status.Revision < highest {
					mu.Lock()
					regressed = append(regressed, d.Name)
					mu.Unlock()
				}
				if err == nil {
					highest = max(highest, status.Revision)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return func() []string {
		cancel()
		wg.Wait()
		return regressed
	}
}

// withSeeds returns a function that sets the seeds of a daemon's settings: the addresses
// of the peers that it contacts first.
func withSeeds(peers ...string) func(*settings.Settings) {
	return func(s *settings.Settings) { s.Seeds = peers }
}
