package room

import (
	"slices"
	"time"
)

const (
	recentTimes = 32 // times that a Usual keeps
	minTimes    = 8  // least times for a median; with fewer it is that of one or two VMs
)

// Usual is the median of the latest times that answers of all VMs together took. The zero value
// has no times.
type Usual struct {
	times [recentTimes]time.Duration // the latest ones, in no order
	added int                        // times added so far
}

// Add records the time that an answer took.
func (u *Usual) Add(took time.Duration) {
	u.times[u.added%recentTimes] = took
	u.added++
}

// Median returns the median of the latest times. ok is false if there are too few.
func (u *Usual) Median() (d time.Duration, ok bool) {
	if u.added < minTimes {
		return 0, false
	}
	sorted := u.times
	list := sorted[:min(u.added, recentTimes)]
	slices.Sort(list)
	return list[len(list)/2], true
}
