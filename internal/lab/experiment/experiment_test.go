package experiment

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/model"
)

// small is a valid experiment that is played in a moment.
const small = `name = "small"
seconds = 2
seeds = [1, 2]

[deployment]
zones = ["a", "b"]
vms_per_zone = 2
strong_per_zone = 1
strong_power = 0.8
weak_power = 0.2
shards = 4
replicas = 2
slots = 2
work_ms = 5
requests_per_second = 20
objective_ms = 100
deadline_ms = 600
min_share = 0.9
max_attempts = 2
budget_ratio = 0.2
budget_floor = 100
budget_window_ms = 10000

[[faults]]
kind = "slow-leafs"
at_s = 0.5
every_s = 0.5
share = 0.5
factor = 30

[[variants]]
name = "two"

[[variants]]
name = "one"
set = { max_attempts = 1 }
`

// load parses a text that must be a valid experiment.
func load(g *gomega.WithT, text string) *Experiment {
	e, err := parse([]byte(text))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return e
}

// Guards against examples that no longer hold: a mechanism that no longer helps, or one whose absence
// no longer shows.
func TestExamplesComeTrue(t *testing.T) {
	paths, err := filepath.Glob("../../../examples/model/*.toml")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	gomega.NewWithT(t).Expect(paths).NotTo(gomega.BeEmpty())
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			g := gomega.NewWithT(t)
			e, err := Load(path)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			e.Seeds = e.Seeds[:1]
			e.Variants = slices.DeleteFunc(e.Variants, func(v Variant) bool { return v.Expect == Expect{} })
			r, err := Run(t.Context(), e, nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(r.Unmet).To(gomega.BeEmpty())
		})
	}
}

// Guards against results that can't be played again, and variants that share settings.
func TestSameExperimentGivesTheSameReport(t *testing.T) {
	g := gomega.NewWithT(t)
	play := func(text string) *Report {
		r, err := Run(t.Context(), load(g, text), nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return r
	}
	both := play(small)
	g.Expect(play(small)).To(gomega.Equal(both))
	g.Expect(both.Variants[0].Runs[0].Extra).To(gomega.BeNumerically(">", 0))
	g.Expect(both.Variants[0].Runs[0]).NotTo(gomega.Equal(both.Variants[0].Runs[1]), "the seeds give the same")
	g.Expect(both.Variants[0].Runs).NotTo(gomega.Equal(both.Variants[1].Runs))
	only := play(strings.Replace(small, "[[variants]]\nname = \"two\"\n", "", 1))
	g.Expect(only.Variants[0]).To(gomega.Equal(both.Variants[1]))
}

// Guards against an experiment that is played with a fault of its file overlooked, and against a list
// of problems that leaves the reader to find the line.
func TestProblemsAreListedWithTheirLines(t *testing.T) {
	for name, tc := range map[string]struct{ old, new, want string }{
		"unknown field":             {"slots = 2", "slotz = 2", "line 5: deployment.slots: found 0, allowed is 1 to 1000\nline 13: deployment.slotz: unknown field"},
		"unknown field in a fault":  {"share = 0.5", "share = 0.5\nzoen = \"a\"", "line 29: faults.zoen: unknown field"},
		"missing name":              {"name = \"small\"\n", "", "line 0: name: must be set"},
		"too long":                  {"seconds = 2", "seconds = 1e9", "line 2: seconds: found 1e+09, allowed is 1 to 3600"},
		"no number":                 {"seconds = 2", "seconds = nan", "line 2: seconds: found NaN, allowed is 1 to 3600"},
		"repeated without a pause":  {"every_s = 0.5", "every_s = 1e-12", "line 27: faults[0].every_s: found 1e-12, allowed is 0 or 0.001 to 2"},
		"seed twice":                {"seeds = [1, 2]", "seeds = [1, 1]", "line 3: seeds: 1 stands there twice"},
		"zone twice":                {`zones = ["a", "b"]`, `zones = ["a", "a"]`, "line 6: deployment.zones: each zone once"},
		"impossible value":          {"min_share = 0.9", "min_share = 1.5", "line 18: deployment.min_share: found 1.5, allowed is 0 to 1"},
		"more replicas than zones":  {"replicas = 2", "replicas = 3", "line 12: deployment.replicas: found 3, allowed is 1 to 2"},
		"deadline before objective": {"deadline_ms = 600", "deadline_ms = 50", "line 17: deployment.deadline_ms: found 50, allowed is 100 to 1e+06"},
		"pauses without end":        {"work_ms = 5", "work_ms = 5\npause_every_ms = 100\npause_for_ms = 100", "line 16: deployment.pause_for_ms: must be shorter than pause_every_ms"},
		"variant":                   {"max_attempts = 1", "max_attempts = 11", "line 36: variants[1].set.max_attempts: found 11, allowed is 1 to 10"},
		"variant's name twice":      {`name = "one"`, `name = "two"`, "line 35: variants[1].name: another variant has the name \"two\""},
		"unknown kind":              {`kind = "slow-leafs"`, `kind = "slow"`, "line 25: faults[0].kind: found \"slow\", allowed are lose-zone, slow-leafs and replace-leafs"},
		"field of another kind":     {"factor = 30", "factor = 30\ndrain_s = 1", "line 30: faults[0].drain_s: has no meaning for slow-leafs"},
		"missing field":             {"factor = 30\n", "", "line 24: faults[0].factor: must be set for slow-leafs"},
		"after the end":             {"at_s = 0.5", "at_s = 3", "line 26: faults[0].at_s: found 3, allowed is 0 to 2"},
		"until without every":       {"every_s = 0.5", "until_s = 1", "line 27: faults[0].until_s: needs every_s"},
		"expectation":               {"[[variants]]\nname = \"two\"\n", "[[variants]]\nname = \"two\"\nexpect = { min_in_time = 95 }\n", "line 33: variants[0].expect.min_in_time: found 95, allowed is 0 to 1"},
		"several":                   {"slots = 2\nwork_ms = 5", "slots = 0\nwork_ms = 0", "line 13: deployment.slots: found 0, allowed is 1 to 1000\nline 14: deployment.work_ms: found 0, allowed is 0.001 to 1e+06"},
		"zone of no variant": {
			"kind = \"slow-leafs\"\nat_s = 0.5\nevery_s = 0.5\nshare = 0.5\nfactor = 30", "kind = \"lose-zone\"\nat_s = 1\nzone = \"c\"",
			"line 27: faults[0].zone: variant \"two\" has no zone \"c\"\nline 27: faults[0].zone: variant \"one\" has no zone \"c\"",
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			g.Expect(small).To(gomega.ContainSubstring(tc.old))
			_, err := parse([]byte(strings.Replace(small, tc.old, tc.new, 1)))
			g.Expect(err).To(gomega.MatchError(tc.want))
		})
	}
	g := gomega.NewWithT(t)
	_, err := parse([]byte("name = \"x\"\nseconds = \"long\""))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("line 2")))
	_, err = parse([]byte("name = \"x\"\nseconds = = 2"))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("line 2")))
	_, err = Load("missing.toml")
	g.Expect(err).To(gomega.MatchError(os.ErrNotExist))
}

// Guards against an experiment whose expectation fails unnoticed.
func TestUnmetExpectationsAreReported(t *testing.T) {
	g := gomega.NewWithT(t)
	of := func(inTime int) model.Result {
		return model.Result{Asked: 100, InTime: inTime, Credit: float64(inTime) / 100}
	}
	half, most := 0.5, 0.9
	r := &VariantReport{Runs: []model.Result{of(40), of(95)}}
	for _, tc := range []struct {
		expect Expect
		want   []string
	}{
		{Expect{}, nil},
		{Expect{MinInTime: &half}, []string{"v: in time 0.4000, expected at least 0.5"}},
		{Expect{MaxInTime: &most}, []string{"v: in time 0.9500, expected at most 0.9"}},
		{Expect{MinCredit: &half}, []string{"v: credit 0.4000, expected at least 0.5"}},
	} {
		g.Expect((&Variant{Name: "v", Expect: tc.expect}).unmet(r)).To(gomega.Equal(tc.want))
	}
}

// Guards against a table that shows one seed for all.
func TestTableShowsMeanAndRange(t *testing.T) {
	g := gomega.NewWithT(t)
	report := Report{Unmet: []string{"v: x"}, Variants: []VariantReport{{Name: "v", Runs: []model.Result{
		{Asked: 10, InTime: 10, Credit: 1, Attempts: 40}, {Asked: 10, InTime: 5, Late: 5, Credit: 0.5, Attempts: 40},
	}}}}
	var out strings.Builder
	g.Expect(report.WriteTable(&out)).To(gomega.Succeed())
	g.Expect(out.String()).To(gomega.Equal("" +
		"variant  requests  in time                    late                       refused  failed  credit                     attempts  extra  direct  calls  declined\n" +
		"v        10        0.7500 (0.5000 to 1.0000)  0.2500 (0.0000 to 0.5000)  0.0000   0.0000  0.7500 (0.5000 to 1.0000)  4.0       0.00   0.00    0.00   0.00\n" +
		"not as expected: v: x\n"))
}

// Guards against text that makes the reader of experiments panic or hang.
func FuzzParse(f *testing.F) {
	f.Add([]byte(small))
	f.Add([]byte("[a.b]\nc.d = {e = 1}\n[[a.f]]\n[[a.f.g]]\nh = [1, [2]]"))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = parse(data) })
}
