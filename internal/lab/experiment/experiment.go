// Package experiment reads files that describe experiments with the load model (package model),
// plays them, and compares the variants of a deployment that they name. An experiment file is TOML.
package experiment

import (
	"bytes"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/model"
)

// Experiment is an experiment file.
type Experiment struct {
	Name       string    `toml:"name" json:"name"`
	Seconds    float64   `toml:"seconds" json:"seconds"` // length of a run, in seconds of the model
	Seeds      []uint64  `toml:"seeds" json:"seeds"`     // each variant is played once with each
	Deployment Settings  `toml:"deployment" json:"deployment"`
	Faults     []Fault   `toml:"faults" json:"faults,omitempty"`
	Variants   []Variant `toml:"variants" json:"variants"`
}

// Variant is the deployment with other settings.
type Variant struct {
	Name   string   `toml:"name" json:"name"`
	Set    Settings `toml:"set" json:"set"`
	Expect Expect   `toml:"expect" json:"expect"`
}

// Expect holds what is expected of a variant, over all seeds. Fields that are nil expect nothing.
type Expect struct {
	MinInTime *float64 `toml:"min_in_time" json:"min_in_time,omitempty"` // least share of the requests answered in time
	MaxInTime *float64 `toml:"max_in_time" json:"max_in_time,omitempty"` // greatest share of the requests answered in time
	MinCredit *float64 `toml:"min_credit" json:"min_credit,omitempty"`   // least credit
}

// Settings are settings of a deployment and its load; those that are nil are not set. Each sets the
// field of model.Config of the same name.
type Settings struct {
	Zones             *[]string `toml:"zones" json:"zones,omitempty"`
	VMsPerZone        *int      `toml:"vms_per_zone" json:"vms_per_zone,omitempty"`
	StrongPerZone     *int      `toml:"strong_per_zone" json:"strong_per_zone,omitempty"`
	StrongPower       *float64  `toml:"strong_power" json:"strong_power,omitempty"` // in cores
	WeakPower         *float64  `toml:"weak_power" json:"weak_power,omitempty"`     // in cores
	Shards            *int      `toml:"shards" json:"shards,omitempty"`
	Replicas          *int      `toml:"replicas" json:"replicas,omitempty"`
	Slots             *int      `toml:"slots" json:"slots,omitempty"`
	WorkMS            *float64  `toml:"work_ms" json:"work_ms,omitempty"`
	WorkSpread        *float64  `toml:"work_spread" json:"work_spread,omitempty"`
	PauseEveryMS      *float64  `toml:"pause_every_ms" json:"pause_every_ms,omitempty"` // 0: leafs don't pause
	PauseForMS        *float64  `toml:"pause_for_ms" json:"pause_for_ms,omitempty"`
	InZoneMS          *float64  `toml:"in_zone_ms" json:"in_zone_ms,omitempty"`
	CrossZoneMS       *float64  `toml:"cross_zone_ms" json:"cross_zone_ms,omitempty"`
	ToCallerMS        *float64  `toml:"to_caller_ms" json:"to_caller_ms,omitempty"`
	RequestsPerSecond *float64  `toml:"requests_per_second" json:"requests_per_second,omitempty"`
	ObjectiveMS       *float64  `toml:"objective_ms" json:"objective_ms,omitempty"` // latency objective
	DeadlineMS        *float64  `toml:"deadline_ms" json:"deadline_ms,omitempty"`
	MinShare          *float64  `toml:"min_share" json:"min_share,omitempty"` // least share of the shards for an answer
	MaxAttempts       *int      `toml:"max_attempts" json:"max_attempts,omitempty"`
	ListLagMS         *float64  `toml:"list_lag_ms" json:"list_lag_ms,omitempty"` // 0: VMs learn of changes of leafs at once
	BudgetRatio       *float64  `toml:"budget_ratio" json:"budget_ratio,omitempty"`
	BudgetFloor       *float64  `toml:"budget_floor" json:"budget_floor,omitempty"`
	BudgetWindowMS    *float64  `toml:"budget_window_ms" json:"budget_window_ms,omitempty"`
}

// applyTo sets the settings in a configuration.
func (s *Settings) applyTo(c *model.Config) {
	set(&c.Zones, s.Zones)
	set(&c.VMsPerZone, s.VMsPerZone)
	set(&c.StrongPerZone, s.StrongPerZone)
	set(&c.StrongPower, s.StrongPower)
	set(&c.WeakPower, s.WeakPower)
	set(&c.Shards, s.Shards)
	set(&c.Replicas, s.Replicas)
	set(&c.Slots, s.Slots)
	setMS(&c.Work, s.WorkMS)
	set(&c.WorkSpread, s.WorkSpread)
	setMS(&c.PauseEvery, s.PauseEveryMS)
	setMS(&c.PauseFor, s.PauseForMS)
	setMS(&c.InZone, s.InZoneMS)
	setMS(&c.CrossZone, s.CrossZoneMS)
	setMS(&c.ToCaller, s.ToCallerMS)
	set(&c.PerSecond, s.RequestsPerSecond)
	setMS(&c.Objective, s.ObjectiveMS)
	setMS(&c.Deadline, s.DeadlineMS)
	set(&c.MinShare, s.MinShare)
	set(&c.MaxAttempts, s.MaxAttempts)
	setMS(&c.ListLag, s.ListLagMS)
	set(&c.Budget.Ratio, s.BudgetRatio)
	set(&c.Budget.Floor, s.BudgetFloor)
	setMS(&c.Budget.Window, s.BudgetWindowMS)
}

// set sets a field to a value unless that is nil.
func set[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

// setMS sets a field to a number of milliseconds unless that is nil.
func setMS(field *time.Duration, ms *float64) {
	if ms != nil {
		*field = time.Duration(*ms * float64(time.Millisecond))
	}
}

// config returns the configuration of a variant, with a seed.
func (e *Experiment) config(v *Variant, seed uint64) model.Config {
	c := model.Config{Seed: seed}
	e.Deployment.applyTo(&c)
	v.Set.applyTo(&c)
	return c
}

// length returns the length of a run, in the model's time.
func (e *Experiment) length() time.Duration { return seconds(e.Seconds) }

// seconds returns a number of seconds as a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and checks an experiment file. Its error names all problems of the file, each with its
// line. An experiment without variants has a single one, the deployment as it is.
func Load(path string) (*Experiment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "reading the experiment")
	}
	e, err := parse(data)
	return e, errors.Annotate(err, path)
}

// parse decodes and checks the text of an experiment file.
func parse(data []byte) (*Experiment, error) {
	e := &Experiment{}
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var problems problemList
	if err := decoder.Decode(e); err != nil && !problems.addUnknownFields(err) {
		return nil, decodeError(err)
	}
	if len(e.Variants) == 0 {
		e.Variants = []Variant{{Name: "as it is"}}
	}
	lines, err := findLines(data)
	if err != nil {
		return nil, errors.Annotate(err, "finding the lines of the fields")
	}
	e.check(&problems, lines)
	if len(problems) > 0 {
		return nil, problems
	}
	return e, nil
}
