package experiment

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/model"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	LoseZone     Kind = "lose-zone"     // all VMs and leafs of Zone fall silent
	SlowLeafs    Kind = "slow-leafs"    // Share of the leafs become slower by Factor
	ReplaceLeafs Kind = "replace-leafs" // Share of the leafs are replaced; the old ones run on for DrainS
)

// Fault is something that goes wrong during a run. The fields that its kind doesn't name must not be
// set. With EveryS it is repeated until UntilS, or the end of the run if that is not set.
type Fault struct {
	Kind   Kind    `toml:"kind" json:"kind"`
	AtS    float64 `toml:"at_s" json:"at_s"` // seconds since the start of the run
	EveryS float64 `toml:"every_s" json:"every_s,omitempty"`
	UntilS float64 `toml:"until_s" json:"until_s,omitempty"` // seconds since the start of the run
	Zone   string  `toml:"zone" json:"zone,omitempty"`
	Share  float64 `toml:"share" json:"share,omitempty"`
	Factor float64 `toml:"factor" json:"factor,omitempty"`
	DrainS float64 `toml:"drain_s" json:"drain_s,omitempty"`
}

// addTo adds the fault to a run of that length.
func (f *Fault) addTo(m *model.Model, length time.Duration) {
	until := length
	if f.UntilS > 0 {
		until = seconds(f.UntilS)
	}
	for at := seconds(f.AtS); at < until; at += seconds(f.EveryS) {
		m.At(at, func() { f.apply(m) })
		if f.EveryS == 0 {
			return
		}
	}
}

// apply makes the fault happen now.
func (f *Fault) apply(m *model.Model) {
	switch f.Kind {
	case LoseZone:
		m.LoseZone(f.Zone)
	case SlowLeafs:
		m.SlowLeafs(f.Share, f.Factor)
	case ReplaceLeafs:
		m.ReplaceLeafs(f.Share, seconds(f.DrainS))
	}
}
