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
// deploy/settings.json.tmpl makes it from what the platform states.
type Settings struct {
	Name   string         `json:"name"` // of this VM
	Zone   string         `json:"zone"` // availability zone
	Listen ListenSettings `json:"listen"`
	Store  string         `json:"store"` // IP and port of the platform's store
	// FirstStart says that the whole system starts for the first time, so that no VM is
	// known to the store yet.
	FirstStart bool           `json:"first_start"`
	GraceS     float64        `json:"grace_s"` // from SIGTERM until the process is killed
	Bounds     BoundSettings  `json:"bounds"`
	Budget     BudgetSettings `json:"budget"`
	// Power is the processor of this VM, in cores. VMs with more of it are asked more.
	Power float64 `json:"power"`
	// MemoryMB is what the process may use; beyond it the process is killed.
	MemoryMB float64 `json:"memory_mb"`
	LogLevel string  `json:"log_level"` // debug, info, warn or error
}

// ListenSettings holds the addresses that a daemon serves, IP and port each.
type ListenSettings struct {
	Callers string `json:"callers"`
	Ready   string `json:"ready"`   // the balancer's question whether callers should come
	VMs     string `json:"vms"`     // other VMs
	Metrics string `json:"metrics"` // operators
}

// BoundSettings says within which time a change in the store has to be known here.
type BoundSettings struct {
	ManifestMS float64 `json:"manifest_ms"`
	DrainMS    float64 `json:"drain_ms"`
}

func (b BoundSettings) drainBound() time.Duration {
	return time.Duration(b.DrainMS * float64(time.Millisecond))
}

// BudgetSettings bounds the extra load on leafs by all VMs together.
type BudgetSettings struct {
	Ratio   float64 `json:"ratio"`    // extra arrivals for each request
	Floor   float64 `json:"floor"`    // extra arrivals in a window beside the ratio
	WindowS float64 `json:"window_s"` // sliding
}

// config returns the budget as the core takes it.
func (b BudgetSettings) config() scatter.BudgetConfig {
	return scatter.BudgetConfig{
		Ratio:  b.Ratio,
		Floor:  b.Floor,
		Window: time.Duration(b.WindowS * float64(time.Second)),
	}
}

// LoadSettings reads and checks a settings file. The error names each field that is
// amiss, what was found and what is allowed.
func LoadSettings(path string) (*Settings, error) {
	s := &Settings{}
	return s, settings.LoadInto(path, s, s.validate)
}

// ParseSettings reads and checks settings.
func ParseSettings(data []byte) (*Settings, error) {
	s := &Settings{}
	return s, settings.ParseInto(data, s, s.validate)
}

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
	if _, err := logging.ParseLevel(s.LogLevel); err != nil {
		add("$.log_level", s.LogLevel, logging.Levels)
	}
	for path, value := range map[string]float64{"$.budget.ratio": s.Budget.Ratio, "$.budget.floor": s.Budget.Floor} {
		if value < 0 {
			add(path, value, "a number from 0")
		}
	}
	return findings
}
