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
)

// An operator's program is stopped by SIGSTOP while one of its writes is in progress, for
// as long as another operator needs for a whole rollout, and then resumes. Its older
// change must not replace the newer one, and it must not report a change as refused
// although it is in force. The audit trail must be complete.
func TestOperatorStoppedAtEachWrite(t *testing.T) {
	t.Parallel()                 // it mostly waits
	const slowMS, writes = 50, 2 // the entry of the old head to the audit trail, and the new head
	c := start(t, clusterConfig{Daemons: 2})
	first, second := c.pushSignedBundle("one"), c.pushSignedBundle("two")
	c.ok(c.Platform.SetFaults(platformsim.Faults{SlowMS: slowMS}))
	stop := c.watchRevisions()
	for write := 1; write <= writes; write++ {
		stopped, other := c.ctl(fleet.Signer), c.ctl(fleet.Signer)
		puts := func() int { return must[platformsim.Counters](c)(c.Platform.Counters()).Put }
		before := puts()
		var otherAnswer operator.ChangeOutput
		stopped.onStart = func(p *os.Process) {
			c.Eventually(puts, waitTimeout, "1ms").Should(gomega.Equal(before + write))
			_ = p.Signal(syscall.SIGSTOP)
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
