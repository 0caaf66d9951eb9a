package fairshare

import "time"

// TargetPressure is the pressure at which a Level stays as it is.
const TargetPressure = 0.4

// Parameters of a level.
const (
	// easyPressure is the pressure up to which requests are served whatever the level is.
	easyPressure = 0.05
	// maxPressure bounds the effect of a single pressure on the level.
	maxPressure = 1.5
	// levelGain is the change of the level per second for each unit of the pressure beyond the
	// target.
	levelGain = 0.2
	// promptGain is how much lower requests are cut off at once for each unit of the pressure
	// beyond the target. It damps the level, which follows the pressure slowly.
	promptGain = 0.3
	// maxLevelStep is the longest time for which one pressure counts.
	maxLevelStep = 250 * time.Millisecond
	// levelMemory is the time without requests after which the level serves everything again.
	levelMemory = 10 * time.Second
	// minLevel is the lowest level.
	minLevel = 0.02
)

// Level is the position up to which requests are served. It falls while the pressure is above
// TargetPressure and rises while it is below. The zero Level serves everything.
type Level struct {
	cut float64 // 1 less the level, so that the zero value serves everything
	at  time.Time
}

// Now returns the level, from 0 to 1.
func (l *Level) Now() float64 { return 1 - l.cut }

// Admits adapts the level to the pressure now, and reports whether a request with the given position
// is served. pressure is the expected wait at what the request needs, as a share of the longest
// wait with which the most urgent requests are still started.
func (l *Level) Admits(now time.Time, pressure, position float64) bool {
	if now.Sub(l.at) > levelMemory {
		l.cut = 0
	}
	if step := min(now.Sub(l.at), maxLevelStep); step > 0 {
		change := levelGain * step.Seconds() * (min(pressure, maxPressure) - TargetPressure)
		l.cut = min(max(l.cut+change, 0), 1-minLevel)
		l.at = now
	}
	return pressure <= easyPressure || position <= max(1-l.cut+promptGain*(TargetPressure-pressure), minLevel)
}
