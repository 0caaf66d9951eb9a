package edge

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// followBoundMS is the time within which each change must be known on drawn days.
const followBoundMS = 5000

// Guards against a VM in touch that learns of a change too late, after any order of faults of VMs and the store.
func TestChangesAreKnownWithinTheBound(t *testing.T) {
	event := rapid.Custom(func(rt *rapid.T) followEvent {
		return followEvent{
			kind:  rapid.IntRange(0, eventKinds-1).Draw(rt, "kind"),
			vm:    rapid.IntRange(0, followVMs-1).Draw(rt, "vm"),
			zone:  rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "zone"),
			steps: rapid.IntRange(0, 80).Draw(rt, "steps"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		day := rapid.SliceOfN(event, 1, 12).Draw(rt, "day")
		var fault string
		synctest.Test(t, func(*testing.T) { fault = playFollowing(day) })
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// findReaders returns the indexes of the VMs that read the store, in the order in which others follow them.
func (s *followSite) findReaders() []int {
	var readers []int
	for _, vm := range s.vms {
		if vm.readsStore() {
			continue
		}
		vm.engine.mu.Lock()
		others := vm.engine.table.StoreReaders(time.Now()).Others
		vm.engine.mu.Unlock()
		for _, other := range others {
			i := slices.IndexFunc(s.vms, func(v *followVM) bool { return v.name == other.Name })
			if s.vms[i].readsStore() {
				readers = append(readers, i)
			}
		}
		return readers
	}
	return nil
}

// readerFault is what happens to the VM that others follow, just after a change that all learn. The next
// change comes 60 ms after the cut.
type readerFault struct {
	phase       time.Duration // from the start of all VMs to the change, beyond 4 s
	cutAfter    time.Duration // from the change until the VM is cut off from the store
	freezeAfter time.Duration // from the cut until it freezes for good
	freezes     int           // number of VMs that freeze: none, the first one or both that read the store
	latency     time.Duration // of the store's answers
}

// play returns what a VM in touch does not know in time, empty if there is nothing.
func (f readerFault) play(t *testing.T, boundMS float64) (fault string) {
	synctest.Test(t, func(t *testing.T) {
		s := newFollowSite(boundMS, f.latency)
		defer s.stop()
		time.Sleep(4*time.Second + f.phase)
		readers := s.findReaders()
		if len(readers) < f.freezes {
			t.Fatalf("%d VMs read the store", len(readers))
		}
		s.apply(followEvent{kind: toggleZone, zone: "a"})
		time.Sleep(f.cutAfter)
		s.apply(followEvent{kind: toggleCut, vm: readers[0]})
		time.AfterFunc(f.freezeAfter, func() {
			for _, reader := range readers[:f.freezes] {
				s.apply(followEvent{kind: toggleFreeze, vm: reader})
			}
		})
		time.Sleep(60 * time.Millisecond)
		s.apply(followEvent{kind: toggleZone, zone: "b"})
		time.Sleep(time.Duration(boundMS)*time.Millisecond + 1)
		for range 30 {
			if fault = s.check(); fault != "" {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	return fault
}

// Guards against a VM in touch that learns of a change too late, since its reader was cut off from the store.
func TestFollowersOfACutOffReaderLearnOfChangesInTime(t *testing.T) {
	for phase := time.Duration(0); phase < 2*time.Second; phase += 250 * time.Millisecond {
		f := readerFault{phase: phase, cutAfter: 120 * time.Millisecond, latency: usualLatency}
		if fault := f.play(t, 3000); fault != "" {
			t.Errorf("%+v: %s", f, fault)
		}
	}
}

// slowLatency is a latency of the store that its part of a bound of 3 s allows for.
const slowLatency = 280 * time.Millisecond

// Guards against a VM in touch that learns of a change too late, since its reader was cut off and froze in a wait.
func TestFollowersOfAFrozenCutOffReaderLearnOfChangesInTime(t *testing.T) {
	for _, latency := range []time.Duration{usualLatency, slowLatency} {
		for _, cutAfter := range []time.Duration{120 * time.Millisecond, 600 * time.Millisecond} {
			for phase := time.Duration(0); phase < 2*time.Second; phase += 500 * time.Millisecond {
				for freezeAfter := time.Duration(0); freezeAfter < 3*time.Second; freezeAfter += 150 * time.Millisecond {
					for freezes := 1; freezes <= 2; freezes++ {
						f := readerFault{phase, cutAfter, freezeAfter, freezes, latency}
						if fault := f.play(t, 3000); fault != "" {
							t.Errorf("%+v: %s", f, fault)
						}
					}
				}
			}
		}
	}
}

// Guards against VMs that leave a sound reader and make calls to the store, which are billed.
func TestSoundReadersAreFollowed(t *testing.T) {
	for _, latency := range []time.Duration{5 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			s := newFollowSite(3000, latency)
			defer s.stop()
			time.Sleep(10 * time.Second)
			calls := make(map[string]int64)
			for _, vm := range s.vms {
				calls[vm.name] = vm.storeCalls.Load()
			}
			for range 40 {
				s.apply(followEvent{kind: toggleZone, zone: "a"})
				time.Sleep(1700 * time.Millisecond)
			}
			for _, vm := range s.vms {
				if n := vm.storeCalls.Load() - calls[vm.name]; n > 0 && !vm.readsStore() {
					t.Errorf("latency %v: %s made %d calls to the store", latency, vm.name, n)
				}
				if late := vm.engine.known.lateCount(); late > 0 {
					t.Errorf("latency %v: %s knew too late %d times", latency, vm.name, late)
				}
			}
		})
	}
}

// playFollowing plays a day and returns what was wrong, empty if nothing was.
func playFollowing(day []followEvent) string {
	const step = 100 * time.Millisecond
	s := newFollowSite(followBoundMS, usualLatency)
	defer s.stop()
	for _, ev := range day {
		s.apply(ev)
		for range ev.steps {
			time.Sleep(step)
			if fault := s.check(); fault != "" {
				return fault
			}
		}
	}
	return ""
}
