package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/platformsim"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/ops"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// testCLI runs command lines of three people against a simulated platform.
type testCLI struct {
	t      *testing.T
	dir    string             // holds the key files and settings
	store  *platformsim.Store // the simulated platform
	config string             // path of the settings file
}

// newTestCLI makes a key for each person with keygen and writes settings that list the
// keys. Commands use asta's key unless --key names another.
func newTestCLI(t *testing.T) *testCLI {
	t.Helper()
	ctl := &testCLI{t: t, dir: t.TempDir(), store: platformsim.NewStore()}
	server := httptest.NewServer(ctl.store.Handler())
	t.Cleanup(server.Close)
	settings := Settings{Platform: strings.TrimPrefix(server.URL, "http://"), Deployment: "vatnsleit", Key: "asta.json"}
	for _, person := range []string{"sigrun", "jon", "asta"} {
		var key OperatorKey
		ctl.mustRun(&key, "keygen", "--id", person+"-1", "--person", person, "--out", ctl.path(person+".json"))
		settings.OperatorKeys = append(settings.OperatorKeys, key)
	}
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	ctl.config = ctl.path("ctl.json")
	if err := os.WriteFile(ctl.config, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return ctl
}

// path returns the path of a file in dir.
func (ctl *testCLI) path(name string) string { return filepath.Join(ctl.dir, name) }

// run executes a command line and returns the exit status, stdout and stderr.
func (ctl *testCLI) run(args ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	commandLine := []string{"bramleyctl"}
	if ctl.config != "" {
		commandLine = append(commandLine, "-c", ctl.config)
	}
	status := Run(context.Background(), append(commandLine, args...), &stdout, &stderr)
	return status, stdout.String(), stderr.String()
}

// mustRun runs a command that has to succeed and decodes its JSON output into the value
// that into points to.
func (ctl *testCLI) mustRun(into any, args ...string) {
	ctl.t.Helper()
	status, stdout, stderr := ctl.run(append([]string{"-o", "json"}, args...)...)
	if status != 0 {
		ctl.t.Fatalf("%v: status %d\n%s%s", args, status, stdout, stderr)
	}
	if err := json.Unmarshal([]byte(stdout), into); err != nil {
		ctl.t.Fatalf("%v: %v\n%s", args, err, stdout)
	}
}

// mustFail runs a command that has to fail with the code, and returns its error output.
func (ctl *testCLI) mustFail(code result.Code, args ...string) errorJSON {
	ctl.t.Helper()
	g := NewWithT(ctl.t)
	status, stdout, stderr := ctl.run(append([]string{"-o", "json"}, args...)...)
	g.Expect(status).To(Equal(int(code.Class())), "%v: %s%s", args, stdout, stderr)
	var e errorJSON
	g.Expect(json.Unmarshal([]byte(stdout), &e)).To(Succeed(), stdout)
	g.Expect(e.Code).To(Equal(code), e.Detail)
	g.Expect(e.Next).NotTo(BeEmpty(), "the error says what to do next")
	return e
}

// exampleFile is the path of a valid bundle whose author is sigrun.
const exampleFile = "../examples/vatnsleit.json"

// pushExample pushes the example bundle as its author and returns its digest.
func (ctl *testCLI) pushExample() string {
	ctl.t.Helper()
	var answer struct{ Digest string }
	ctl.mustRun(&answer, "bundle", "push", exampleFile, "--key", ctl.path("sigrun.json"))
	return answer.Digest
}

// Guards against commands that refuse a valid step of a bundle's life or accept an invalid
// one. The steps are push, sign-off, rollout and audit. The invalid ones, such as a rollout
// without a sign-off, have to fail with their result codes.
func TestBundleLifecycle(t *testing.T) {
	g := NewWithT(t)
	ctl := newTestCLI(t)
	ctl.mustFail(result.NotFound, "bundle", "show", "head")
	digest := ctl.pushExample()
	short := digest[:10]
	ctl.mustFail(result.NotSigned, "rollout", short, "--reason", "first")
	ctl.mustFail(result.SelfSigned, "sign", short, "--reason", "mine", "--key", ctl.path("sigrun.json"))
	var signOff struct{ Person string }
	ctl.mustRun(&signOff, "sign", short, "--reason", "checked", "--key", ctl.path("jon.json"))
	g.Expect(signOff.Person).To(Equal("jon"))

	var change ChangeOutput
	ctl.mustRun(&change, "rollout", short, "--reason", "first", "--dry-run")
	g.Expect(change.DryRun).To(BeTrue())
	ctl.mustFail(result.NotFound, "bundle", "show", "head")
	ctl.mustRun(&change, "rollout", short, "--reason", "first")
	g.Expect(change.Revision).To(Equal(uint64(1)))
	var again ChangeOutput
	ctl.mustRun(&again, "rollout", short, "--reason", "first", "--op", string(change.Op))
	g.Expect(again.Revision).To(Equal(uint64(1)), "the same operation takes effect once")
	ctl.mustFail(result.NothingBefore, "recall", "head", "--reason", "faulty")
	ctl.mustFail(result.Conflict, "rollout", short, "--reason", "late", "--expect", "9")

	_, shown, _ := ctl.run("bundle", "show", "head")
	file, err := os.ReadFile(exampleFile)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(shown).To(Equal(string(file)))
	var differences []Difference
	ctl.mustRun(&differences, "bundle", "diff", exampleFile, "head")
	g.Expect(differences).To(BeEmpty())
	var list []struct{ Digest, Author string }
	ctl.mustRun(&list, "bundle", "list")
	g.Expect(list).To(HaveLen(1))

	var audit AuditOutput
	ctl.mustRun(&audit, "audit", "--refused")
	g.Expect(audit.Rows).To(HaveLen(4), "one accepted; not signed, nothing before, conflict")
	ctl.mustRun(&audit, "audit", "--person", "asta", "--action", "rollout", "--last", "1")
	g.Expect(audit.Rows).To(HaveLen(1))
	g.Expect(audit.Rows[0].Reason).To(Equal("first"))
	ctl.mustRun(&audit, "audit", "--person", "jon")
	g.Expect(audit.Rows).To(BeEmpty())
	_, text, _ := ctl.run("audit")
	g.Expect(text).To(ContainSubstring("unbroken up to revision 1"))
}

// Guards against an audit that hides a missing change. An entry of the audit trail is
// deleted on the platform, which no other command shows.
func TestAuditReportsMissingEntry(t *testing.T) {
	g := NewWithT(t)
	ctl := newTestCLI(t)
	digest := ctl.pushExample()
	ctl.mustRun(&struct{}{}, "sign", digest, "--reason", "checked", "--key", ctl.path("jon.json"))
	for range 3 {
		ctl.mustRun(&ChangeOutput{}, "rollout", digest, "--reason", "again")
	}
	name := "vatnsleit.00000000000000000002"
	obj, err := ctl.store.Get(context.Background(), "bramley-audit", name)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ctl.store.Delete(context.Background(), "bramley-audit", name, obj.Version)).To(Succeed())
	ctl.mustFail(result.BrokenAudit, "audit")
}

// Guards against a command status that omits VMs which don't answer. It also guards against
// one that fails while the platform is down, although the addresses of VMs are given.
func TestStatusReportsUnreachableVMs(t *testing.T) {
	g := NewWithT(t)
	ctl := newTestCLI(t)
	page := httptest.NewServer(ops.NewHTTPServer(ops.Options{Status: func() ops.Status {
		return ops.Status{VM: "vm-1", Revision: 4, Digest: "abc", Ready: true, PlatformReachable: true}
	}}).Handler)
	t.Cleanup(page.Close)
	ctl.store.SetVMs([]objstore.VM{
		{Name: "vm-1", Ops: strings.TrimPrefix(page.URL, "http://")},
		{Name: "vm-2", Ops: "127.0.0.1:1"},
	}, 0)
	var answer StatusOutput
	ctl.mustRun(&answer, "status")
	g.Expect(answer.VMs).To(HaveLen(2))
	g.Expect(answer.VMs[0].Status.Revision).To(Equal(uint64(4)))
	g.Expect(answer.VMs[1].Error).NotTo(BeEmpty())
	g.Expect(fleetProgress(answer.VMs, 4)).To(Equal(progress{
		text: "1 of 2 VMs have revision 4 in force; waiting for vm-2 (no answer)",
	}))
	g.Expect(fleetProgress(answer.VMs[:1], 5).text).To(ContainSubstring("vm-1 (at 4)"))
	_, text, _ := ctl.run("status")
	g.Expect(text).To(ContainSubstring("vm-2"))

	ctl.store.SetFaults(platformsim.Faults{Outage: true})
	t.Setenv("BRAMLEY_PATIENCE", "50ms")
	ctl.mustFail(result.PlatformDown, "status")
	ctl.mustRun(&answer, "status", "--vm", strings.TrimPrefix(page.URL, "http://"))
	g.Expect(answer.HeadError).NotTo(BeEmpty())
	g.Expect(answer.VMs[0].Status.Revision).To(Equal(uint64(4)), "also while the platform is down")
}

// Guards against a command status that shows no warning while all VMs appear healthy but a
// failure is due. The key that signed off the bundle in force is retired, so a VM that
// starts later rejects the bundle. A VM is at a revision past the head, so the next rollout
// has no effect on it.
func TestStatusWarnsOfHiddenFaults(t *testing.T) {
	g := NewWithT(t)
	ctl := newTestCLI(t)
	digest := ctl.pushExample()
	ctl.mustRun(&struct{}{}, "sign", digest, "--reason", "checked", "--key", ctl.path("jon.json"))
	ctl.mustRun(&ChangeOutput{}, "rollout", digest, "--reason", "first")
	page := httptest.NewServer(ops.NewHTTPServer(ops.Options{Status: func() ops.Status { return ops.Status{Revision: 4} }}).Handler)
	t.Cleanup(page.Close)
	var answer StatusOutput
	ctl.mustRun(&answer, "status")
	g.Expect(answer.Warnings).To(BeEmpty())

	ctl.store.SetVMs([]objstore.VM{{Name: "vm-1", Ops: strings.TrimPrefix(page.URL, "http://")}}, 0)
	data, err := os.ReadFile(ctl.config)
	g.Expect(err).NotTo(HaveOccurred())
	retired := strings.Replace(string(data), `"person":"jon"`, `"retired":true,"person":"jon"`, 1)
	g.Expect(os.WriteFile(ctl.config, []byte(retired), 0o600)).To(Succeed())
	ctl.mustRun(&answer, "status")
	g.Expect(answer.Warnings).To(ConsistOf(ContainSubstring("jon-1"), ContainSubstring("past the head")))
}

// Flags take precedence over the environment, and the environment over the settings file.
// Otherwise an operator could not replace a key file that the settings or the environment
// name.
func TestSettingsPrecedence(t *testing.T) {
	ctl := newTestCLI(t)
	ctl.pushExample()
	ctl.store.SetFaults(platformsim.Faults{Outage: true})
	t.Setenv("BRAMLEY_PATIENCE", "50ms")
	ctl.mustFail(result.PlatformDown, "bundle", "list")
	t.Setenv("BRAMLEY_KEY", ctl.path("none.json"))
	ctl.mustFail(result.BadSettings, "bundle", "list")
	ctl.mustFail(result.PlatformDown, "bundle", "list", "--key", ctl.path("jon.json"))
}

// Guards against invalid arguments, settings or key files that are accepted, or refused
// with the wrong result code.
func TestInvalidCommandLines(t *testing.T) {
	ctl := newTestCLI(t)
	bad := ctl.path("bad.json")
	if err := os.WriteFile(bad, []byte(`{"platfrom": "x"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		code result.Code
		args []string
	}{
		{result.BadRequest, []string{"frobnicate"}},
		{result.BadRequest, []string{"rollout", "0123456789"}},
		{result.BadRequest, []string{"bundle", "show"}},
		{result.BadRequest, []string{"bundle", "show", "abc"}},
		{result.BadRequest, []string{"explain", "9999"}},
		{result.BadRequest, []string{"explain-day", "--weight", "sweep=-1", exampleFile}},
		{result.BadRequest, []string{"explain-day", "--weight", "sweep=NaN", exampleFile}},
		{result.BadRequest, []string{"explain-day", "--late-credit", "2", exampleFile}},
		{result.BadRequest, []string{"rollout", strings.Repeat("0", 64), "--reason", "x", "--op", "nonsense"}},
		{result.NotFound, []string{"rollout", strings.Repeat("0", 64), "--reason", "x"}},
		{result.BadSettings, []string{"-c", bad, "status"}},
		{result.BadSettings, []string{"--key", bad, "status"}},
		{result.BadRequest, []string{"keygen", "--id", "a", "--person", "a", "--out", bad}},
	} {
		ctl.mustFail(c.code, c.args...)
	}
}

// Guards against a Diff that matches the items of arrays by index: an inserted target would
// make all targets after it appear changed.
func TestDiffMatchesItemsByName(t *testing.T) {
	g := NewWithT(t)
	file, err := os.ReadFile(exampleFile)
	g.Expect(err).NotTo(HaveOccurred())
	text := strings.Replace(string(file), `"name": "inspector-01", "zone": "reykjanes", "address": "10.20.1.11:7400", "leaves": 2`,
		`"name": "inspector-00", "zone": "selfoss", "address": "10.20.1.99:7400", "leaves": 2, "slots": 2, "connections": 25, "connect_cost_ms": 6}, {"name": "inspector-01", "zone": "reykjanes", "address": "10.20.1.11:7400", "leaves": 3`, 1)
	changes, err := Diff(file, []byte(text))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changes).To(HaveLen(8), "seven fields of one new target, and one changed")
	g.Expect(changes).To(ContainElement(Difference{Path: "$.services[inspector-desk].targets[inspector-01].leaves", From: "2", To: "3"}))
}
