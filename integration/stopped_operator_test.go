package integration

import (
	"fmt"
	"os"
	"syscall"
	"testing"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/fleet"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/platformsim"
	"github.com/bramleybarrow/bramleybarrow/operator"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/rollout"
)

// An operator's program is stopped by SIGSTOP while one of its writes is in progress, for
// as long as another operator needs for a whole rollout, and then resumes. Its older
// change must not replace the newer one, and it must not report a change as refused
// although it is in force. The audit trail must be complete.
func TestOperatorStoppedAtEachWrite(t *testing.T) {
	t.Parallel() // it mostly waits
	slow := platformsim.Faults{SlowMS: 50}
	c := start(t, clusterConfig{Daemons: 2})
	first, second := c.pushSignedBundle("one"), c.pushSignedBundle("two")
	stop := c.watchRevisions()
	// The first write adds the entry of the old head to the audit trail, the second writes the new head.
	for i, kind := range []string{rollout.KindAudit, rollout.KindHead} {
		write := i + 1
		stopped, other := c.ctl(fleet.Signer), c.ctl(fleet.Signer)
		hold := slow
		hold.HoldWrites, hold.WriteKind = 1, kind
		c.ok(c.Platform.SetFaults(hold))
		held := func() int { return must[platformsim.Counters](c)(c.Platform.Counters()).Held }
		var otherAnswer operator.ChangeOutput
		stopped.onStart = func(p *os.Process) {
			c.Eventually(held, waitTimeout, "1ms").Should(gomega.Equal(write))
			_ = p.Signal(syscall.SIGSTOP)
			c.ok(c.Platform.SetFaults(slow)) // the write takes effect while its operator is stopped
			other.must(&otherAnswer, "rollout", second, "--reason", "meanwhile")
			_ = p.Signal(syscall.SIGCONT)
		}
		var answer operator.ChangeOutput
		f := stopped.run(&answer, "rollout", first, "--reason", fmt.Sprint("stopped at write ", write))
		var audit operator.AuditOutput
		other.must(&audit, "audit")
		t.Logf("write %d: answered with code %d, revision %d; the other operator's revision: %d", write, f.Code, answer.Revision, otherAnswer.Revision)
		if f.Code != 0 {
			c.Expect(f.Code).To(gomega.Equal(result.Conflict), f.Detail)
			c.Expect(audit.Head).To(gomega.Equal(otherAnswer.Revision))
			continue
		}
		c.Expect(answer.Revision).NotTo(gomega.Equal(otherAnswer.Revision))
		c.Expect(audit.Head).To(gomega.Equal(max(answer.Revision, otherAnswer.Revision)))
		c.Expect(audit.Rows[answer.Revision-1].Op).To(gomega.Equal(answer.Op))
	}
	c.ok(c.Platform.SetFaults(platformsim.Faults{}))
	var audit operator.AuditOutput
	c.ctl(fleet.Signer).must(&audit, "audit")
	c.Expect(audit.Rows).To(gomega.HaveLen(int(audit.Head)), "the audit trail has a gap")
	c.waitInForceEverywhere(audit.Head)
	c.Expect(stop()).To(gomega.BeEmpty(), "VMs whose revision decreased")
}
