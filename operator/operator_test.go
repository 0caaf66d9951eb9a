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

// testCLI is the command line of three people against a stand-in platform.
type testCLI struct {
	t      *testing.T
	dir    string
	store  *platformsim.Store
	config string
}

// newTestCLI makes keys by keygen and writes the settings that list them.
func newTestCLI(t *testing.T) *testCLI {
	t.Helper()
	d := &testCLI{t: t, dir: t.TempDir(), store: platformsim.NewStore()}
	server := httptest.NewServer(d.store.Handler())
	t.Cleanup(server.Close)
	set := Settings{Platform: strings.TrimPrefix(server.URL, "http://"), Deployment: "vatnsleit", Key: "asta.json"}
	for _, person := range []string{"sigrun", "jon", "asta"} {
		var key OperatorKey
		d.mustRun(&key, "keygen", "--id", person+"-1", "--person", person, "--out", d.path(person+".json"))
		set.OperatorKeys = append(set.OperatorKeys, key)
	}
	data, err := json.Marshal(set)
	if err != nil {
		t.Fatal(err)
	}
	d.config = d.path("ctl.json")
	if err := os.WriteFile(d.config, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return d
}

func (d *testCLI) path(name string) string { return filepath.Join(d.dir, name) }

// run returns the exit status and both outputs.
func (d *testCLI) run(args ...string) (int, string, string) {
	var out, notes bytes.Buffer
	all := []string{"bramleyctl"}
	if d.config != "" {
		all = append(all, "-c", d.config)
	}
	status := Run(context.Background(), append(all, args...), &out, &notes)
	return status, out.String(), notes.String()
}

// mustRun runs a command that has to succeed and decodes its JSON.
func (d *testCLI) mustRun(into any, args ...string) {
	d.t.Helper()
	status, out, notes := d.run(append([]string{"-o", "json"}, args...)...)
	if status != 0 {
		d.t.Fatalf("%v: status %d\n%s%s", args, status, out, notes)
	}
	if err := json.Unmarshal([]byte(out), into); err != nil {
		d.t.Fatalf("%v: %v\n%s", args, err, out)
	}
}

// mustFail runs a command that has to fail with the code.
func (d *testCLI) mustFail(code result.Code, args ...string) errorJSON {
	d.t.Helper()
	g := NewWithT(d.t)
	status, out, notes := d.run(append([]string{"-o", "json"}, args...)...)
	g.Expect(status).To(Equal(int(code.Class())), "%v: %s%s", args, out, notes)
	var e errorJSON
	g.Expect(json.Unmarshal([]byte(out), &e)).To(Succeed(), out)
	g.Expect(e.Code).To(Equal(code), e.Detail)
	g.Expect(e.Next).NotTo(BeEmpty(), "says what to do next")
	return e
}

const exampleFile = "../examples/vatnsleit.json"

// pushExample pushes the example as its author and returns its digest.
func (d *testCLI) pushExample() string {
	d.t.Helper()
	var answer struct{ Digest string }
	d.mustRun(&answer, "bundle", "push", exampleFile, "--key", d.path("sigrun.json"))
	return answer.Digest
}

func TestBundleLifecycle(t *testing.T) {
	g := NewWithT(t)
	d := newTestCLI(t)
	d.mustFail(result.NotFound, "bundle", "show", "head")
	digest := d.pushExample()
	short := digest[:10]
	d.mustFail(result.NotSigned, "rollout", short, "--reason", "first")
	d.mustFail(result.SelfSigned, "sign", short, "--reason", "mine", "--key", d.path("sigrun.json"))
	var off struct{ Person string }
	d.mustRun(&off, "sign", short, "--reason", "checked", "--key", d.path("jon.json"))
	g.Expect(off.Person).To(Equal("jon"))

	var change ChangeOutput
	d.mustRun(&change, "rollout", short, "--reason", "first", "--dry-run")
	g.Expect(change.DryRun).To(BeTrue())
	d.mustFail(result.NotFound, "bundle", "show", "head")
	d.mustRun(&change, "rollout", short, "--reason", "first")
	g.Expect(change.Revision).To(Equal(uint64(1)))
	var again ChangeOutput
	d.mustRun(&again, "rollout", short, "--reason", "first", "--op", string(change.Op))
	g.Expect(again.Revision).To(Equal(uint64(1)), "the same operation is made once")
	d.mustFail(result.NothingBefore, "recall", "head", "--reason", "faulty")
	d.mustFail(result.Conflict, "rollout", short, "--reason", "late", "--expect", "9")

	_, shown, _ := d.run("bundle", "show", "head")
	file, err := os.ReadFile(exampleFile)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(shown).To(Equal(string(file)))
	var differences []Difference
	d.mustRun(&differences, "bundle", "diff", exampleFile, "head")
	g.Expect(differences).To(BeEmpty())
	var list []struct{ Digest, Author string }
	d.mustRun(&list, "bundle", "list")
	g.Expect(list).To(HaveLen(1))

	var audit AuditOutput
	d.mustRun(&audit, "audit", "--refused")
	g.Expect(audit.Rows).To(HaveLen(4), "one accepted; not signed, nothing before, conflict")
	d.mustRun(&audit, "audit", "--person", "asta", "--action", "rollout", "--last", "1")
	g.Expect(audit.Rows).To(HaveLen(1))
	g.Expect(audit.Rows[0].Reason).To(Equal("first"))
	d.mustRun(&audit, "audit", "--person", "jon")
	g.Expect(audit.Rows).To(BeEmpty())
	_, text, _ := d.run("audit")
	g.Expect(text).To(ContainSubstring("unbroken up to revision 1"))
}

// Somebody with access to the platform deletes an entry of the trail. A user
// would see nothing amiss unless audit says that a change is missing.
func TestAuditReportsMissingEntry(t *testing.T) {
	g := NewWithT(t)
	d := newTestCLI(t)
	digest := d.pushExample()
	d.mustRun(&struct{}{}, "sign", digest, "--reason", "checked", "--key", d.path("jon.json"))
	for range 3 {
		d.mustRun(&ChangeOutput{}, "rollout", digest, "--reason", "again")
	}
	name := "vatnsleit.00000000000000000002"
	obj, err := d.store.Get(context.Background(), "bramley-audit", name)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(d.store.Delete(context.Background(), "bramley-audit", name, obj.Version)).To(Succeed())
	d.mustFail(result.BrokenAudit, "audit")
}

func TestStatusReportsUnreachableVMs(t *testing.T) {
	g := NewWithT(t)
	d := newTestCLI(t)
	page := httptest.NewServer(ops.NewHTTPServer(ops.Options{Status: func() ops.Status {
		return ops.Status{VM: "vm-1", Revision: 4, Digest: "abc", Ready: true, PlatformReachable: true}
	}}).Handler)
	t.Cleanup(page.Close)
	d.store.SetVMs([]objstore.VM{
		{Name: "vm-1", Ops: strings.TrimPrefix(page.URL, "http://")},
		{Name: "vm-2", Ops: "127.0.0.1:1"},
	}, 0)
	var answer StatusOutput
	d.mustRun(&answer, "status")
	g.Expect(answer.VMs).To(HaveLen(2))
	g.Expect(answer.VMs[0].Status.Revision).To(Equal(uint64(4)))
	g.Expect(answer.VMs[1].Error).NotTo(BeEmpty())
	g.Expect(fleetProgress(answer.VMs, 4)).To(Equal(progress{
		text: "1 of 2 VMs have revision 4 in force; waiting for vm-2 (no answer)",
	}))
	g.Expect(fleetProgress(answer.VMs[:1], 5).text).To(ContainSubstring("vm-1 (at 4)"))
	_, text, _ := d.run("status")
	g.Expect(text).To(ContainSubstring("vm-2"))

	d.store.SetFaults(platformsim.Faults{Outage: true})
	t.Setenv("BRAMLEY_PATIENCE", "50ms")
	d.mustFail(result.PlatformDown, "status")
	d.mustRun(&answer, "status", "--vm", strings.TrimPrefix(page.URL, "http://"))
	g.Expect(answer.HeadError).NotTo(BeEmpty())
	g.Expect(answer.VMs[0].Status.Revision).To(Equal(uint64(4)), "also while the platform is down")
}

// A key is retired before its sign-off was replaced, and a VM is past the head.
// Both look healthy until a VM is replaced or a rollout never arrives.
func TestStatusWarnsOfHiddenFaults(t *testing.T) {
	g := NewWithT(t)
	d := newTestCLI(t)
	digest := d.pushExample()
	d.mustRun(&struct{}{}, "sign", digest, "--reason", "checked", "--key", d.path("jon.json"))
	d.mustRun(&ChangeOutput{}, "rollout", digest, "--reason", "first")
	page := httptest.NewServer(ops.NewHTTPServer(ops.Options{Status: func() ops.Status { return ops.Status{Revision: 4} }}).Handler)
	t.Cleanup(page.Close)
	var answer StatusOutput
	d.mustRun(&answer, "status")
	g.Expect(answer.Warnings).To(BeEmpty())

	d.store.SetVMs([]objstore.VM{{Name: "vm-1", Ops: strings.TrimPrefix(page.URL, "http://")}}, 0)
	data, err := os.ReadFile(d.config)
	g.Expect(err).NotTo(HaveOccurred())
	retired := strings.Replace(string(data), `"person":"jon"`, `"retired":true,"person":"jon"`, 1)
	g.Expect(os.WriteFile(d.config, []byte(retired), 0o600)).To(Succeed())
	d.mustRun(&answer, "status")
	g.Expect(answer.Warnings).To(ConsistOf(ContainSubstring("jon-1"), ContainSubstring("past the head")))
}

func TestSettingsPrecedence(t *testing.T) {
	d := newTestCLI(t)
	d.pushExample()
	d.store.SetFaults(platformsim.Faults{Outage: true})
	t.Setenv("BRAMLEY_PATIENCE", "50ms")
	d.mustFail(result.PlatformDown, "bundle", "list")
	t.Setenv("BRAMLEY_KEY", d.path("none.json"))
	d.mustFail(result.BadSettings, "bundle", "list")
	d.mustFail(result.PlatformDown, "bundle", "list", "--key", d.path("jon.json"))
}

func TestInvalidCommandLines(t *testing.T) {
	d := newTestCLI(t)
	bad := d.path("bad.json")
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
		{result.BadRequest, []string{"rollout", strings.Repeat("0", 64), "--reason", "x", "--op", "nonsense"}},
		{result.NotFound, []string{"rollout", strings.Repeat("0", 64), "--reason", "x"}},
		{result.BadSettings, []string{"-c", bad, "status"}},
		{result.BadSettings, []string{"--key", bad, "status"}},
		{result.BadRequest, []string{"keygen", "--id", "a", "--person", "a", "--out", bad}},
	} {
		d.mustFail(c.code, c.args...)
	}
}

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
