package edge

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/bramleybarrow/bramleybarrow/internal/strictjson"
	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/settings"
)

// Settings is the JSON settings file of a daemon on the users' platform.
// It is generated from deploy/settings.json.tmpl and the values that the platform provides.
type Settings struct {
	Name   string         `json:"name"` // name of this VM
	Zone   string         `json:"zone"` // availability zone
	Listen ListenSettings `json:"listen"`
	Store  string         `json:"store"` // IP and port of the platform's store
	// FirstStart is true if the whole system starts for the first time, so that the store
	// lists no VM yet.
	FirstStart bool              `json:"first_start"`
	GraceS     float64           `json:"grace_s"` // time from SIGTERM until the process is killed, in seconds
	Bounds     BoundSettings     `json:"bounds"`
	Budget     BudgetSettings    `json:"budget"`
	Cold       ColdSettings      `json:"cold,omitempty"`
	Allotment  AllotmentSettings `json:"allotment,omitempty"` // tolerances of tenants' limits
	Room       RoomSettings      `json:"room,omitempty"`      // how work goes to VMs that have room for it
	// AnswerEarly makes answers of gathered requests due earlier by as much as recent ones were late.
	AnswerEarly bool         `json:"answer_early,omitempty"`
	Slots       SlotSettings `json:"slots,omitempty"` // account of the slots of services that many VMs ask
	// Power is the CPU capacity of this VM, in cores. VMs with more capacity get more calls.
	Power float64 `json:"power"`
	// MemoryMB is the memory limit of the process, in MiB. The platform kills a process that
	// exceeds it.
	MemoryMB float64 `json:"memory_mb"`
	// MaxFDs is the limit of open descriptors of the process; 0 means that of the operating system.
	MaxFDs   int    `json:"max_fds,omitempty"`
	LogLevel string `json:"log_level"` // debug, info, warn or error
}

// ListenSettings holds the addresses on which a daemon listens, each an IP address and a
// port.
type ListenSettings struct {
	Callers string `json:"callers"` // callers' requests
	Ready   string `json:"ready"`   // readiness checks of the load balancer
	VMs     string `json:"vms"`     // calls of other VMs
	Metrics string `json:"metrics"` // metrics for operators
}

// BoundSettings holds the times within which this VM must know a change in the store, in
// milliseconds.
type BoundSettings struct {
	ManifestMS float64 `json:"manifest_ms"` // time within which a new manifest must be in force, in milliseconds
	// EvacuateMS is the time after which the leafs of an evacuated zone must get no more
	// requests, in milliseconds. 0 means that the platform evacuates no zones; evacuations are
	// then not followed.
	EvacuateMS float64 `json:"evacuate_ms,omitempty"`
	// RevokeMS is the time after which a key that was taken away must not be served, in
	// milliseconds, by VMs that are cut off too if StrictRevoke is set. 0 means that ManifestMS
	// applies.
	RevokeMS     float64 `json:"revoke_ms,omitempty"`
	StrictRevoke bool    `json:"strict_revoke,omitempty"`
	DrainMS      float64 `json:"drain_ms"` // time after which a leaf that drains or has left must get no more requests, in milliseconds
}

// drainBound returns the time within which a leaf that drains or has left must get no more
// requests.
func (b BoundSettings) drainBound() time.Duration {
	return time.Duration(b.DrainMS * float64(time.Millisecond))
}

// BudgetSettings bounds the extra load that all VMs together put on leafs. An extra arrival is
// a request that reaches a leaf in addition to the first attempt: a retry or a hedge.
type BudgetSettings struct {
	Ratio   float64 `json:"ratio"`    // extra arrivals allowed per request
	Floor   float64 `json:"floor"`    // extra arrivals allowed per window to all VMs together, in addition to those that Ratio allows
	WindowS float64 `json:"window_s"` // length of the sliding window, in seconds
}

// config returns the budget in the form that package scatter uses.
func (b BudgetSettings) config() scatter.BudgetConfig {
	return scatter.BudgetConfig{
		Ratio:  b.Ratio,
		Floor:  b.Floor,
		Window: time.Duration(b.WindowS * float64(time.Second)),
	}
}

// AllotmentSettings says how far all VMs together may exceed a tenant's limit: in any window of
// WindowS seconds, by Excess times what the limit allows in the window, plus Slack requests. If
// WindowS is 0, tenants are not limited.
type AllotmentSettings struct {
	WindowS float64 `json:"window_s"`
	Excess  float64 `json:"excess"`
	Slack   float64 `json:"slack"`
}

// RoomSettings says how work goes to VMs that have room for it.
type RoomSettings struct {
	Measure  bool `json:"measure,omitempty"`   // this VM measures and tells its room, and chooses other VMs by theirs
	Spill    bool `json:"spill,omitempty"`     // while the VMs of its zone are short of room, some gathered requests go through other zones; needs Measure
	HandOver bool `json:"hand_over,omitempty"` // while it is short of room, this VM hands callers' requests to others of its zone; needs Measure
}

// SlotSettings says whether one VM keeps account of the slots of a service that has fewer slots than
// there are VMs, and the others ask it for a leaf.
type SlotSettings struct {
	Keep bool `json:"keep,omitempty"`
}

// ColdSettings bounds the requests per second that all VMs together send to one cold leaf: Excess
// times the number that its service states in the manifest, plus Slack. If both are 0, the number
// itself is the limit.
type ColdSettings struct {
	Excess float64 `json:"excess"`
	Slack  float64 `json:"slack"`
}

// config returns the limits in the form that package scatter uses.
func (c ColdSettings) config() scatter.ColdConfig {
	return scatter.ColdConfig{Excess: c.Excess, Slack: c.Slack}
}

// LoadSettings reads and validates a settings file. The error names each invalid field, the
// value found and the allowed values.
func LoadSettings(path string) (*Settings, error) {
	s := &Settings{}
	return s, settings.LoadInto(path, s, s.validate)
}

// ParseSettings reads and validates settings, with the same errors as LoadSettings.
func ParseSettings(data []byte) (*Settings, error) {
	s := &Settings{}
	return s, settings.ParseInto(data, s, s.validate)
}

// validate returns a finding for each invalid field.
func (s *Settings) validate() []strictjson.Finding {
	var findings []strictjson.Finding
	add := func(path string, found any, allowed string) {
		findings = append(findings, strictjson.Finding{Path: path, Found: fmt.Sprintf("%q", fmt.Sprint(found)), Allowed: allowed})
	}
	for path, value := range map[string]string{"$.name": s.Name, "$.zone": s.Zone} {
		if value == "" {
			add(path, value, "a name")
		}
	}
	for path, value := range map[string]string{
		"$.listen.callers": s.Listen.Callers,
		"$.listen.ready":   s.Listen.Ready,
		"$.listen.vms":     s.Listen.VMs,
		"$.listen.metrics": s.Listen.Metrics,
		"$.store":          s.Store,
	} {
		if _, err := netip.ParseAddrPort(value); err != nil {
			add(path, value, "an IP and a port")
		}
	}
	for path, value := range map[string]float64{
		"$.grace_s":            s.GraceS,
		"$.budget.window_s":    s.Budget.WindowS,
		"$.bounds.manifest_ms": s.Bounds.ManifestMS,
		"$.bounds.drain_ms":    s.Bounds.DrainMS,
		"$.memory_mb":          s.MemoryMB,
		"$.power":              s.Power,
	} {
		if value <= 0 {
			add(path, value, "a number above 0")
		}
	}
	for _, f := range s.Bounds.followBounds() {
		if f.bound > 0 && !f.suffices() {
			add(f.field, f.bound.Milliseconds(), "a longer time, in which a VM can leave a silent VM, ask another one and read the store")
		}
	}
	for path, value := range map[string]bool{"$.room.hand_over": s.Room.HandOver, "$.room.spill": s.Room.Spill} {
		if value && !s.Room.Measure {
			add(path, value, "true only with room.measure")
		}
	}
	if _, err := logging.ParseLevel(s.LogLevel); err != nil {
		add("$.log_level", s.LogLevel, logging.Levels)
	}
	if s.MaxFDs < 0 {
		add("$.max_fds", s.MaxFDs, "a number from 0")
	}
	for path, value := range map[string]float64{
		"$.budget.ratio": s.Budget.Ratio, "$.budget.floor": s.Budget.Floor, "$.bounds.evacuate_ms": s.Bounds.EvacuateMS,
		"$.cold.excess": s.Cold.Excess, "$.cold.slack": s.Cold.Slack, "$.bounds.revoke_ms": s.Bounds.RevokeMS,
		"$.allotment.window_s": s.Allotment.WindowS, "$.allotment.excess": s.Allotment.Excess, "$.allotment.slack": s.Allotment.Slack,
	} {
		if value < 0 {
			add(path, value, "a number from 0")
		}
	}
	return findings
}
