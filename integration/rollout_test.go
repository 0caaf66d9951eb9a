package integration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/faultproxy"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/fleet"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/platformsim"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/operator"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/rollout"
)

func (c *cluster) waitInForceEverywhere(revision uint64) {
	c.t.Helper()
	for _, d := range c.Daemons {
		c.waitInForce(d, revision)
	}
}

// Three operators roll out and recall concurrently, while the platform loses the answers
// to some of their writes and some writes entirely, and each operator's program is frozen
// for a random time at a random moment. No VM may return to an older revision, the audit
// trail must have no gap, and no program may report a change as refused although it is in
// force.
func TestOperatorsRaceOverALossyPlatform(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { raceOperators(t, seed) })
	}
}

// raceOperators runs the race of TestOperatorsRaceOverALossyPlatform with one seed, which
// determines the operators' changes, the faults and the pauses.
func raceOperators(t *testing.T, seed uint64) {
	c := start(t, clusterConfig{Daemons: 3})
	digests := []string{c.pushSignedBundle("one"), c.pushSignedBundle("two"), c.pushSignedBundle("three")}
	stop := c.watchRevisions()
	const operators, changes = 3, 4 // changes of each operator
	answers := make(chan operator.ChangeOutput, operators*changes)
	var racing sync.WaitGroup
	for i := range operators {
		person := c.ctl(fleet.Signer)
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		person.onStart = func(p *os.Process) { pauseBriefly(p, rng) }
		racing.Go(func() {
			for range changes {
				time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
				faults := platformsim.Faults{LoseAnswers: 1 + rng.IntN(2), LoseWrites: rng.IntN(2), WriteKind: rollout.KindHead}
				if err := c.Platform.SetFaults(faults); err != nil {
					t.Error(err)
				}
				raceChange(t, person, rng, digests, answers)
			}
		})
	}
	racing.Wait()
	close(answers)
	c.ok(c.Platform.SetFaults(platformsim.Faults{}))

	var audit operator.AuditOutput
	c.ctl(fleet.Signer).must(&audit, "audit")
	revisionByOp := map[rollout.OpID]uint64{}
	for _, row := range audit.Rows {
		revisionByOp[row.Op] = row.Revision
	}
	accepted := 1 // the rollout by start
	for answer := range answers {
		accepted++
		c.Expect(revisionByOp[answer.Op]).To(Equal(answer.Revision), "answered as accepted")
	}
	c.Expect(audit.Rows).To(HaveLen(accepted), "each entry of the trail was answered as accepted to its operator")
	c.waitInForceEverywhere(audit.Head)
	for _, d := range c.Daemons {
		c.Expect(must[string](c)(digestOf(c.ctx, d))).To(Equal(audit.Rows[len(audit.Rows)-1].InForce))
	}
	c.Expect(stop()).To(BeEmpty(), "VMs whose revision decreased")
}

// pauseBriefly freezes a program at a random moment for a random time, as happens when a
// virtual machine is migrated.
func pauseBriefly(p *os.Process, rng *rand.Rand) {
	sleepRandomly := func() { time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond) }
	sleepRandomly()
	_ = p.Signal(syscall.SIGSTOP)
	sleepRandomly()
	_ = p.Signal(syscall.SIGCONT)
}

// digestOf returns the digest of the bundle that the daemon has in force.
func digestOf(ctx context.Context, d *fleet.Daemon) (string, error) {
	status, err := d.Status(ctx)
	return status.Digest, err
}

// raceChange makes one random rollout or recall, and sends its answer to answers if it is
// accepted. The change may fail because of a competing one.
func raceChange(t *testing.T, person *ctl, rng *rand.Rand, digests []string, answers chan<- operator.ChangeOutput) {
	args := []string{"rollout", digests[rng.IntN(len(digests))], "--reason", "race"}
	if rng.IntN(3) == 0 {
		args = []string{"recall", "head", "--reason", "race"}
	}
	var answer operator.ChangeOutput
	switch f := person.run(&answer, args...); f.Code {
	case 0:
		answers <- answer
	case result.Conflict, result.Recalled, result.NothingBefore:
	default:
		t.Errorf("%v: %+v", args, f)
	}
}

// An operator's program is killed in the middle of a change on a slow platform, each time
// later in its sequence of writes. The change must take effect completely or not at all,
// the next operator must be able to continue at once, and the audit trail must be
// complete.
func TestKilledOperatorLeavesNoPartialChange(t *testing.T) {
	c := start(t, clusterConfig{Daemons: 2})
	digests := []string{c.pushSignedBundle("one"), c.pushSignedBundle("two")}
	person := c.ctl(fleet.Signer)
	const slowMS = 20
	c.ok(c.Platform.SetFaults(platformsim.Faults{SlowMS: slowMS}))
	for i := range 12 {
		ctx, cancel := context.WithCancel(c.ctx)
		cmd := person.command(ctx, "rollout", digests[i%2], "--reason", "killed")
		c.ok(cmd.Start())
		time.Sleep(time.Duration(i+1) * slowMS * time.Millisecond)
		cancel()
		_ = cmd.Wait()
		var answer operator.ChangeOutput
		person.must(&answer, "rollout", digests[(i+1)%2], "--reason", "next")
		var audit operator.AuditOutput
		person.must(&audit, "audit")
		c.Expect(audit.Head).To(Equal(answer.Revision))
	}
	c.ok(c.Platform.SetFaults(platformsim.Faults{}))
	var audit operator.AuditOutput
	person.must(&audit, "audit")
	c.waitInForceEverywhere(audit.Head)
}

// When a change is accepted, the platform is slow, its watches are silent, or the open
// connections to it have become silent. VMs must still receive the change, or they would
// keep a bundle that was recalled.
func TestInForceEverywhereUnderPlatformFaults(t *testing.T) {
	c := start(t, clusterConfig{Daemons: 3, ProxyPlatform: true})
	digests := []string{c.pushSignedBundle("one"), c.pushSignedBundle("two"), c.pushSignedBundle("three")}
	faults := []func() error{
		func() error { return c.Platform.SetFaults(platformsim.Faults{WatchesSilent: true}) },
		func() error { return c.Platform.SetFaults(platformsim.Faults{SlowMS: 500}) },
		func() error {
			var all []error
			for _, p := range c.PlatformProxies {
				all = append(all, p.Silence())
			}
			return errors.Join(append(all, c.Platform.SetFaults(platformsim.Faults{}))...)
		},
	}
	for i, fault := range faults {
		c.ok(fault())
		var answer operator.ChangeOutput
		c.ctl(fleet.Signer).must(&answer, "rollout", digests[i], "--reason", "under a fault", "--wait", "30s")
		c.waitInForceEverywhere(answer.Revision)
	}
}

// One VM is cut off from the platform when a bundle is rolled out, and must get it from
// the other VMs. Then all VMs are cut off and can't receive a further rollout: they must
// continue with the bundle that they have, and report that the platform is unreachable.
func TestVMsCutOffFromThePlatform(t *testing.T) {
	c := start(t, clusterConfig{Daemons: 3, ProxyPlatform: true})
	first, second := c.pushSignedBundle("one"), c.pushSignedBundle("two")
	person := c.ctl(fleet.Signer)
	c.ok(c.PlatformProxies[0].SetFaults(faultproxy.Faults{Frozen: true}))
	var answer operator.ChangeOutput
	person.must(&answer, "rollout", first, "--reason", "one VM is cut off", "--wait", "30s")

	for _, p := range c.PlatformProxies {
		c.ok(p.SetFaults(faultproxy.Faults{Frozen: true}))
	}
	f := person.run(&answer, "rollout", second, "--reason", "all are cut off", "--wait", "1s")
	c.Expect(f.Code).To(Equal(result.Lagging))
	for _, d := range c.Daemons {
		c.Expect(f.Detail).To(ContainSubstring(d.Name), "the detail names the VMs that lag")
		c.Eventually(func() bool {
			status, err := d.Status(c.ctx)
			return err == nil && !status.PlatformReachable
		}, waitTimeout, "100ms").Should(BeTrue(), "reports that the platform is unreachable")
		a, _, err := d.Search(c.ctx, findSearch, searchBody("well"))
		c.ok(err)
		c.Expect(a.Code).To(Equal(int(result.Complete)), "continues to serve")
	}
	for _, p := range c.PlatformProxies {
		c.ok(p.SetFaults(faultproxy.Faults{}))
	}
	var audit operator.AuditOutput
	person.must(&audit, "audit")
	c.waitInForceEverywhere(audit.Head)
}

// The platform is down: no change can be accepted, and the operator's program must report
// that nothing was changed. A VM that is replaced meanwhile must get the bundle from its
// peers and become ready. Otherwise the fleet would lose every VM that is replaced in an
// outage.
func TestAVMIsReplacedDuringAnOutage(t *testing.T) {
	c := start(t, clusterConfig{Daemons: 2})
	digest := c.pushSignedBundle("one")
	person := c.ctl(fleet.Signer)
	c.ok(c.Platform.SetFaults(platformsim.Faults{Outage: true}))
	person.env = []string{"BRAMLEY_PATIENCE=500ms"}
	var answer operator.ChangeOutput
	f := person.run(&answer, "rollout", digest, "--reason", "during an outage")
	c.Expect(f.Code).To(Equal(result.PlatformDown))
	c.Expect(f.Next).NotTo(BeEmpty())

	c.Daemons[1].Kill()
	fresh, err := c.StartDaemon(fleet.DaemonOptions{Name: "vm-9", Zone: zone, EditSettings: withSeeds(c.Daemons[0].Peers)})
	c.ok(err)
	c.waitInForce(fresh, 1)
	c.Expect(must[string](c)(digestOf(c.ctx, fresh))).To(Equal(must[string](c)(digestOf(c.ctx, c.Daemons[0]))))
}

// A VM is frozen during two rollouts and a recall, then resumes with old reads and watches
// still in progress. It must end up at the latest revision, and must never replace a later
// revision by one of those in between.
func TestAFrozenVMCatchesUp(t *testing.T) {
	c := start(t, clusterConfig{Daemons: 3})
	first, second := c.pushSignedBundle("one"), c.pushSignedBundle("two")
	stop := c.watchRevisions()
	person := c.ctl(fleet.Signer)
	c.ok(c.Daemons[0].Pause())
	var answer operator.ChangeOutput
	person.must(&answer, "rollout", first, "--reason", "while one is frozen")
	person.must(&answer, "rollout", second, "--reason", "while one is frozen")
	person.must(&answer, "recall", "head", "--reason", "while one is frozen")
	c.Expect(answer.InForce).To(Equal(first))
	f := person.run(&answer, "rollout", first, "--reason", "names the frozen one", "--wait", "1s")
	c.Expect(f.Code).To(Equal(result.Lagging))
	c.Expect(f.Detail).To(ContainSubstring("vm-0 (no answer)"))
	c.ok(c.Daemons[0].Resume())
	c.waitInForceEverywhere(5) // the rollout by start and four changes
	c.Expect(must[string](c)(digestOf(c.ctx, c.Daemons[0]))).To(Equal(first))
	c.Expect(stop()).To(BeEmpty(), "VMs whose revision decreased")
}

// Someone with access to the platform, but without an operator's key, writes a head of
// their own, removes the sign-off from an entry, or stores bytes that are no head. The
// fleet must not use such a head and must go on serving: the old bundle must stay in
// force.
func TestUnsignedHeadNeverComesIntoForce(t *testing.T) {
	c := start(t, clusterConfig{Daemons: 2})
	digest := c.pushSignedBundle("one")
	signOff := bundle.SignOff{Deployment: deployment, Digest: digest, Person: fleet.Signer, After: 1}
	entry := rollout.Entry{
		Deployment: deployment, Revision: 2, Action: rollout.ActionRollout, Digest: digest,
		Person: fleet.Signer, SignOff: signOff.Sign(c.Key(fleet.Signer)),
	}
	strangerKey := must[*bundle.PrivateKey](c)(bundle.NewPrivateKey("signer-1", fleet.Signer))
	forged := bundle.Sign(bundle.PurposeEntry, must[[]byte](c)(json.Marshal(entry)), strangerKey)
	entry.SignOff = bundle.Signed{}
	unsigned := bundle.Sign(bundle.PurposeEntry, must[[]byte](c)(json.Marshal(entry)), c.Key(fleet.Signer))
	store := objstore.NewClient(c.Platform.Address, objstore.ClientOptions{})
	validHead := must[objstore.Object](c)(store.Get(c.ctx, rollout.KindHead, deployment))
	version := validHead.Version
	for name, raw := range map[string][]byte{
		"forged": forged.Bytes(), "without a sign-off": unsigned.Bytes(), "no head": []byte(`{"a":1}`),
	} {
		version = must[uint64](c)(store.Put(c.ctx, rollout.KindHead, deployment, version, raw))
		c.waitHeadRead()
		c.expectRevision(1, name)
	}
	must[uint64](c)(store.Put(c.ctx, rollout.KindHead, deployment, version, validHead.Value))
	var answer operator.ChangeOutput
	c.ctl(fleet.Signer).must(&answer, "rollout", digest, "--reason", "rightly signed", "--wait", "30s")
}

// waitHeadRead waits until every daemon has read the current head.
func (c *cluster) waitHeadRead() {
	c.t.Helper()
	// PlatformContact is when a read ended. A read of the head takes less than 1 s here,
	// so one that ends more than 1 s from now has begun after this moment.
	written := time.Now()
	for _, d := range c.Daemons {
		c.Eventually(func() bool {
			status, err := d.Status(c.ctx)
			return err == nil && status.PlatformContact.After(written.Add(time.Second))
		}, waitTimeout, "50ms").Should(BeTrue(), d.Name)
	}
}

// expectRevision expects that every daemon has this revision in force and is ready. why
// describes the expectation if it fails.
func (c *cluster) expectRevision(revision uint64, why string) {
	c.t.Helper()
	for _, d := range c.Daemons {
		status, err := d.Status(c.ctx)
		c.ok(err)
		c.Expect(status.Revision).To(Equal(revision), why)
		c.Expect(d.Ready(c.ctx)).To(BeTrue(), why)
	}
}

// The platform's store is restored from an older copy. VMs must keep the revision that
// they have, and must not miss later rollouts. Operators must get an error until
// restore-head has brought the platform up to date.
func TestStoreRestoredFromOldCopy(t *testing.T) {
	c := start(t, clusterConfig{Daemons: 2})
	digest := c.pushSignedBundle("one")
	person := c.ctl(fleet.Signer)
	store := objstore.NewClient(c.Platform.Address, objstore.ClientOptions{})
	oldHead := must[objstore.Object](c)(store.Get(c.ctx, rollout.KindHead, deployment))
	var answer operator.ChangeOutput
	person.must(&answer, "rollout", digest, "--reason", "before the copy", "--wait", "30s")
	currentHead := must[objstore.Object](c)(store.Get(c.ctx, rollout.KindHead, deployment))
	must[uint64](c)(store.Put(c.ctx, rollout.KindHead, deployment, currentHead.Version, oldHead.Value))
	c.waitHeadRead()
	c.expectRevision(2, "the store was restored from an old copy")

	f := person.run(&answer, "rollout", digest, "--reason", "on the old copy")
	c.Expect(f.Code).To(Equal(result.BrokenAudit))
	var entry rollout.Entry
	person.must(&entry, "restore-head")
	c.Expect(entry.Revision).To(Equal(uint64(2)))
	person.must(&answer, "rollout", digest, "--reason", "go on", "--wait", "30s")
	c.Expect(answer.Revision).To(Equal(uint64(3)))
}
