package explain

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

const sampleLog = `  9.1 vm-2 {"level":"INFO","msg":"attempt failed","time":"2026-01-01T00:00:01.5Z","end":"broken","leaf":"i-1","request":"aa","service":"s","why":"first"}
not a line of ours
{"level":"INFO","msg":"request","time":"2026-01-01T00:00:01.6Z","missing":0,"ms":90,"request":"aa","status":502,"verdict":"unknown"}
{"level":"INFO","msg":"request","time":"2026-01-01T00:00:01.7Z","request":"bb","verdict":"answered"}
{broken
`

// Guards against a report that breaks on lines which can't be parsed, or that contains
// lines of other requests. The log is a mix of both and of the request's own lines, one of
// them after a log collector's prefix.
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

// A request is refused before it is sent to a leaf, so its only log line is the refusal's.
// The report has to state the status and the reason.
func TestRefusalIsExplained(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewReader("dd")
	line := `{"msg":"request refused","time":"2026-01-01T00:00:01Z","request":"dd","status":503,"why":"no_manifest"}`
	g.Expect(r.Read("one", strings.NewReader(line))).To(gomega.Succeed())
	g.Expect(r.Report().Cause).To(gomega.ContainSubstring("503"))
	g.Expect(r.Report().Cause).To(gomega.ContainSubstring("no_manifest"))
}

// A request over all shards fails. Which shards are missing, and why, is in the log lines
// of the VM that received it and of the VM that it called; the report has to have both.
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

// A request is refused at once, since a shard's forecast wait exceeds the limit. The report
// has to state both times.
func TestRefusalByForecastIsExplained(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewReader("ff")
	line := `{"msg":"request","time":"2026-01-01T00:00:02Z","request":"ff","gaps":"forecast 20: s1 s2 s3","wait_ms":90,"wait_limit_ms":62,"ms":0,"status":503,"verdict":"not_run"}`
	g.Expect(r.Read("one", strings.NewReader(line))).To(gomega.Succeed())
	g.Expect(r.Report().Cause).To(gomega.ContainSubstring("expected to wait 90 ms, 62 at most"))
}
