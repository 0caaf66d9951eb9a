package room

// Thresholds of hand-overs of whole requests.
const (
	// shortBelow is the factor below which a VM is short of room: it hands requests over.
	shortBelow = 0.3
	// shortUntil is the factor from which a VM that was short of room has enough again.
	shortUntil = 0.5
	// TakerFactor is the least factor of a VM that takes over requests.
	TakerFactor = 0.7
	// takerAdvantage is the least present power of a VM that takes over a request, as a multiple
	// of that of the VM that hands it over.
	takerAdvantage = 2
)

// Shortage tells whether a VM is short of room. The zero value is not short.
type Shortage struct{ short bool }

// Update returns whether a VM with the given factor is short of room. It becomes so at a lower
// factor than it ends at, so that requests aren't handed over by turns.
func (s *Shortage) Update(factor float64) bool {
	if s.short {
		s.short = factor < shortUntil
	} else {
		s.short = factor < shortBelow
	}
	return s.short
}

// MayTake reports whether a VM with the given factor and present power may take over a request of a
// VM that is short of room and has the present power own. Powers are in cores.
func MayTake(factor, power, own float64) bool {
	return factor >= TakerFactor && power >= takerAdvantage*own
}
