package explain

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// sampleLog has two lines of request aa, one of request bb and two that can't be parsed.
const sampleLog = `  9.1 vm-2 {"level":"INFO","msg":"attempt failed","time":"2026-01-01T00:00:01.5Z","end":"broken","leaf":"i-1","request":"aa","service":"s","why":"first"}
not a line of ours
{"level":"INFO","msg":"request","time":"2026-01-01T00:00:01.6Z","missing":0,"ms":90,"request":"aa","status":502,"verdict":"unknown"}
{"level":"INFO","msg":"request","time":"2026-01-01T00:00:01.7Z","request":"bb","verdict":"answered"}
{broken
`

// Guards against a report that breaks on lines which can't be parsed, or that contains
// lines of other requests. It also guards against a report that lacks one of the request's
// own lines because a log collector has put a prefix before it.
func TestRequestIsExplained(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewReader("aa")
	g.Expect(r.Read("one", strings.NewReader(sampleLog))).To(gomega.Succeed())
	report := r.Report()
	g.Expect(report.Lines).To(gomega.HaveLen(2))
	g.Expect(report.Lines[0].Message).To(gomega.Equal("attempt failed"))
	g.Expect(report.Unread).To(gomega.Equal(2))
	g.Expect(report.Cause).To(gomega.Equal("A leaf may have run it, but gave no answer that proves it after 90 ms; 1 attempts at leafs ended broken."))
}

// Guards against an empty report for a request that no log contains.
func TestUnknownRequestIsExplained(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(NewReader("cc").Report().Cause).To(gomega.Equal("No line speaks of it."))
}

// Guards against a report that lacks the status or the reason of a refusal. A request that
// is refused before it is sent to a leaf has only one log line, that of the refusal.
func TestRefusalIsExplained(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewReader("dd")
	line := `{"msg":"request refused","time":"2026-01-01T00:00:01Z","request":"dd","status":503,"why":"no_manifest"}`
	g.Expect(r.Read("one", strings.NewReader(line))).To(gomega.Succeed())
	g.Expect(r.Report().Cause).To(gomega.ContainSubstring("503"))
	g.Expect(r.Report().Cause).To(gomega.ContainSubstring("no_manifest"))
}

// Guards against a refusal by a tenant's limit that names neither the limit nor who decided.
func TestRefusalByALimitIsExplained(t *testing.T) {
	g := gomega.NewWithT(t)
	explained := func(more string) string {
		r := NewReader("dd")
		line := `{"msg":"request refused","time":"2026-01-01T00:00:01Z","request":"dd","status":429,"why":"over_limit","tenant":"t","rank":3,"rate_per_s":19,"burst":20,` + more + `}`
		g.Expect(r.Read("one", strings.NewReader(line))).To(gomega.Succeed())
		return r.Report().Cause
	}
	g.Expect(explained(`"accountant":"vm-2","age_ms":12,"stale":true`)).To(gomega.Equal("It was answered with status 429 and sent to no leaf: over_limit. " +
		"The limit of tenant t (rank 3) is 19 requests per second and a burst of 20; the decision rests on what accountant vm-2 said 12 ms before; its latency objective was over, so that others came before it."))
	g.Expect(explained(`"accountant":"vm-2"`)).To(gomega.HaveSuffix("accountant vm-2 had not answered yet."))
	g.Expect(explained(`"accountant":""`)).To(gomega.HaveSuffix("the VM had no accountant."))
}

// Guards against a report that lacks missing shards or their causes. Some shards are named
// in the log line of the VM that received the request, the others in the line of a VM to
// which the request's shards were delegated.
func TestMissingShardsAreExplained(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewReader("ee")
	lines := `{"msg":"gathered for a VM","time":"2026-01-01T00:00:01Z","request":"ee","gaps":"forecast 1: s4","missing":1,"verdict":"answered"}
{"msg":"request","time":"2026-01-01T00:00:02Z","request":"ee","gaps":"slow 2: s1 s2; budget 1: s3","missing":0,"ms":190,"status":502,"verdict":"short"}
`
	g.Expect(r.Read("one", strings.NewReader(lines))).To(gomega.Succeed())
	g.Expect(r.Report().Cause).To(gomega.Equal("Too few shards could be had for an answer after 190 ms; " +
		"at a VM that was called: 1 not asked, since no leaf was expected to answer in time (s4); " +
		"shards missing: 2 asked, and not answered in time (s1 s2), 1 not asked again, since the budget for that was spent (s3)."))
}

// Guards against a report that lacks the reason of a refusal by forecast. The request is
// refused at once, since a shard's forecast wait of 90 ms exceeds the limit of 62 ms. The
// report has to state the wait and the limit.
func TestRefusalByForecastIsExplained(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewReader("ff")
	line := `{"msg":"request","time":"2026-01-01T00:00:02Z","request":"ff","gaps":"forecast 20: s1 s2 s3","wait_ms":90,"wait_limit_ms":62,"ms":0,"status":503,"verdict":"not_run"}`
	g.Expect(r.Read("one", strings.NewReader(line))).To(gomega.Succeed())
	g.Expect(r.Report().Cause).To(gomega.ContainSubstring("expected to wait 90 ms, 62 at most"))
}

// Guards against a request that yielded to others and is explained by its own wait, which may be below
// the limit.
func TestYieldIsExplained(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewReader("ff")
	line := `{"msg":"request","time":"2026-01-01T00:00:02Z","request":"ff","position":0.84,"served_to":0.6,"wait_ms":30,"wait_limit_ms":62,"ms":0,"status":503,"verdict":"not_run"}`
	g.Expect(r.Read("one", strings.NewReader(line))).To(gomega.Succeed())
	g.Expect(r.Report().Cause).To(gomega.ContainSubstring("0.84 of the demand came before it, where up to 0.6 is served"))
}
