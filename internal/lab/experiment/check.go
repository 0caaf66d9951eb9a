package experiment

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/model"
)

// maxSeconds is the greatest length of a run, in seconds of the model.
const maxSeconds = 3600

// minEverySeconds is the least time between the repetitions of a fault, in seconds.
const minEverySeconds = 0.001

// problem is something wrong with a field of an experiment file.
type problem struct {
	line int // 0 if the field is missing and no table around it has a line
	path string
	text string
}

// problemList is an error that lists all problems of a file.
type problemList []problem

// Error returns one line of text for each problem, in the order of the file's lines and then of the
// fields' paths.
func (l problemList) Error() string {
	sorted := slices.Clone(l)
	slices.SortStableFunc(sorted, func(a, b problem) int {
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.path, b.path))
	})
	var texts []string
	for _, p := range sorted {
		texts = append(texts, fmt.Sprintf("line %d: %s: %s", p.line, p.path, p.text))
	}
	return strings.Join(texts, "\n")
}

// addUnknownFields adds the fields that err says are unknown. It returns false if err says something
// else.
func (l *problemList) addUnknownFields(err error) bool {
	var unknown *toml.StrictMissingError
	if !errors.As(err, &unknown) {
		return false
	}
	for i := range unknown.Errors {
		line, _ := unknown.Errors[i].Position()
		*l = append(*l, problem{line, strings.Join(unknown.Errors[i].Key(), "."), "unknown field"})
	}
	return true
}

// decodeError returns the error for a text that can't be decoded, with the line.
func decodeError(err error) error {
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, column := decode.Position()
		return errors.Annotatef(err, "line %d, column %d", line, column)
	}
	return errors.Trace(err)
}

// checker collects the problems of an experiment.
type checker struct {
	problems *problemList
	lines    lineIndex
}

// check adds all problems of the experiment to the list.
func (e *Experiment) check(problems *problemList, lines lineIndex) {
	c := checker{problems, lines}
	c.expect(e.Name != "", "name", "must be set")
	c.number("seconds", e.Seconds, 1, maxSeconds)
	c.expect(len(e.Seeds) > 0, "seeds", "must have at least one seed")
	seen := map[uint64]bool{}
	for _, seed := range e.Seeds {
		c.expect(!seen[seed], "seeds", "%d stands there twice", seed)
		seen[seed] = true
	}
	names := map[string]bool{}
	for i := range e.Variants {
		v := &e.Variants[i]
		path := fmt.Sprintf("variants[%d]", i)
		c.expect(v.Name != "", path+".name", "must be set")
		c.expect(!names[v.Name], path+".name", "another variant has the name %q", v.Name)
		names[v.Name] = true
		c.expectation(path+".expect", v.Expect)
		config := e.config(v, 1)
		c.config(path+".set", &v.Set, &config)
		for n := range e.Faults {
			c.zone(fmt.Sprintf("faults[%d]", n), &e.Faults[n], config.Zones, v.Name)
		}
	}
	length := e.Seconds
	if !(length >= 1) || length > maxSeconds {
		length = maxSeconds // wrong, as said above
	}
	for i := range e.Faults {
		c.fault(fmt.Sprintf("faults[%d]", i), &e.Faults[i], length)
	}
}

// expect adds a problem of a field unless ok.
func (c *checker) expect(ok bool, path, format string, args ...any) {
	p := problem{c.lines.of(path), path, fmt.Sprintf(format, args...)}
	if !ok && !slices.Contains(*c.problems, p) {
		*c.problems = append(*c.problems, p)
	}
}

// number expects a number from low to high.
func (c *checker) number(path string, found, low, high float64) {
	c.expect(found >= low && found <= high, path, "found %v, allowed is %v to %v", found, low, high)
}

// expectation checks what is expected of a variant.
func (c *checker) expectation(path string, e Expect) {
	for name, share := range map[string]*float64{"min_in_time": e.MinInTime, "max_in_time": e.MaxInTime, "min_credit": e.MinCredit} {
		if share != nil {
			c.number(path+"."+name, *share, 0, 1)
		}
	}
}

// config checks the configuration of a variant. A problem is attributed to the variant at path if that
// sets the field, else to the deployment.
func (c *checker) config(path string, set *Settings, config *model.Config) {
	const most = 1e6 // of times in milliseconds, and of rates
	field := func(name string) string {
		if _, inVariant := c.lines[path+"."+name]; inVariant {
			return path + "." + name
		}
		return "deployment." + name
	}
	number := func(name string, found, low, high float64) { c.number(field(name), found, low, high) }
	ms := func(name string, found time.Duration, low float64) {
		number(name, found.Seconds()*1000, low, most)
	}
	c.expect(len(config.Zones) > 0, field("zones"), "must have at least one zone")
	sorted := slices.Sorted(slices.Values(config.Zones))
	c.expect(len(slices.Compact(sorted)) == len(config.Zones), field("zones"), "each zone once")
	c.expect(!slices.Contains(config.Zones, ""), field("zones"), "a zone has no name")
	number("vms_per_zone", float64(config.VMsPerZone), 1, 1000)
	number("strong_per_zone", float64(config.StrongPerZone), 0, float64(max(config.VMsPerZone, 0)))
	number("weak_power", config.WeakPower, 0.001, 1000)
	number("strong_power", config.StrongPower, max(config.WeakPower, 0.001), 1000)
	number("shards", float64(config.Shards), 1, 10000)
	number("replicas", float64(config.Replicas), 1, float64(max(len(config.Zones), 1)))
	number("slots", float64(config.Slots), 1, 1000)
	ms("work_ms", config.Work, 0.001)
	number("work_spread", config.WorkSpread, 0, 3)
	ms("pause_every_ms", config.PauseEvery, 0)
	ms("pause_for_ms", config.PauseFor, 0)
	c.expect(config.PauseFor < config.PauseEvery || config.PauseFor == 0 && config.PauseEvery == 0, field("pause_for_ms"), "must be shorter than pause_every_ms")
	ms("in_zone_ms", config.InZone, 0)
	ms("cross_zone_ms", config.CrossZone, 0)
	ms("to_caller_ms", config.ToCaller, 0)
	number("requests_per_second", config.PerSecond, 0.1, most)
	ms("objective_ms", config.Objective, 1)
	ms("deadline_ms", config.Deadline, math.Max(config.Objective.Seconds()*1000, 1))
	number("min_share", config.MinShare, 0, 1)
	number("max_attempts", float64(config.MaxAttempts), 1, 10)
	ms("list_lag_ms", config.ListLag, 0)
	number("budget_ratio", config.Budget.Ratio, 0, 10)
	number("budget_floor", config.Budget.Floor, 0, most)
	ms("budget_window_ms", config.Budget.Window, 100)
}

// zone checks that a variant has the zone of a fault.
func (c *checker) zone(path string, f *Fault, zones []string, variant string) {
	if f.Kind == LoseZone {
		c.expect(slices.Contains(zones, f.Zone), path+".zone", "variant %q has no zone %q", variant, f.Zone)
	}
}

// fieldsOf holds the fields of a fault that its kind needs. The others must not be set.
var fieldsOf = map[Kind][]string{
	LoseZone:     {"zone"},
	SlowLeafs:    {"share", "factor"},
	ReplaceLeafs: {"share", "drain_s"},
}

// fault checks a fault of a run of the given length.
func (c *checker) fault(path string, f *Fault, length float64) {
	c.number(path+".at_s", f.AtS, 0, length)
	c.expect(f.EveryS == 0 || f.EveryS >= minEverySeconds && f.EveryS <= length, path+".every_s", "found %v, allowed is 0 or %v to %v", f.EveryS, minEverySeconds, length)
	c.number(path+".until_s", f.UntilS, 0, length)
	c.expect(f.UntilS == 0 || f.EveryS > 0, path+".until_s", "needs every_s")
	c.expect(f.UntilS == 0 || f.UntilS > f.AtS, path+".until_s", "must be after at_s")
	fields, known := fieldsOf[f.Kind]
	if !known {
		c.expect(false, path+".kind", "found %q, allowed are %s, %s and %s", f.Kind, LoseZone, SlowLeafs, ReplaceLeafs)
		return
	}
	for name, isSet := range map[string]bool{"zone": f.Zone != "", "share": f.Share != 0, "factor": f.Factor != 0, "drain_s": f.DrainS != 0} {
		has := slices.Contains(fields, name)
		c.expect(isSet || !has, path+"."+name, "must be set for %s", f.Kind)
		c.expect(has || !isSet, path+"."+name, "has no meaning for %s", f.Kind)
	}
	c.number(path+".share", f.Share, 0, 1)
	c.number(path+".factor", f.Factor, 0, 1000)
	c.number(path+".drain_s", f.DrainS, 0, length)
}
