package platformsim

import (
	"context"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"github.com/bramleybarrow/bramleybarrow/objstore"
)

// Errors of a faulty platform. Both leave the effect of a write unknown to
// whoever made it.
var (
	errOutage     = errors.New("platformsim: outage")
	errAnswerLost = errors.New("platformsim: answer lost")
)

// Faults are what is wrong with the platform. The zero value is a healthy one.
type Faults struct {
	Outage        bool `json:"outage"`         // every call fails
	SlowMS        int  `json:"slow_ms"`        // delay of each call
	WatchesSilent bool `json:"watches_silent"` // watches never answer
	// LoseAnswers makes the next writes take effect while their answer is
	// lost. LoseWrites makes the next ones fail alike without taking effect.
	LoseAnswers int `json:"lose_answers"`
	LoseWrites  int `json:"lose_writes"`
	// LateWrites makes the next writes fail like LoseWrites, and yet take effect
	// LateMS later if their condition still holds then.
	LateWrites int `json:"late_writes"`
	LateMS     int `json:"late_ms"`
	// LoseKind limits these to objects of one kind; empty means all.
	LoseKind string `json:"lose_kind"`
	// Calls a second above these are refused; 0 means no limit. A watch is a
	// read.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
}

// Counters count the calls since the start, refused and failed ones included.
type Counters struct {
	Get     int `json:"get"`
	List    int `json:"list"`
	Put     int `json:"put"`
	Delete  int `json:"delete"`
	Watch   int `json:"watch"`
	VMs     int `json:"vms"`
	Refused int `json:"refused"` // by rate, also counted by type
}

type call int

const (
	callGet call = iota
	callList
	callPut
	callDelete
	callWatch
	callVMs
)

func (c call) isWrite() bool { return c == callPut || c == callDelete }

// writeOutcome is what happens to a call that is carried out.
type writeOutcome int

const (
	outcomeAnswered writeOutcome = iota
	outcomeAnswerLost
	outcomeDelayed
)

// faultState is guarded by Store.mu.
type faultState struct {
	Faults
	counters     Counters
	writeLimiter *rate.Limiter // nil means no limit
	readLimiter  *rate.Limiter
}

// SetFaults replaces the faults. Waiting watches notice at their next change.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.Faults = f
	s.faults.writeLimiter = newLimiter(f.WritesPerSecond)
	s.faults.readLimiter = newLimiter(f.ReadsPerSecond)
}

// Faults returns the faults as they are now; the counts of answers and writes
// still to be lost go down as they are lost.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Faults
}

// Counters returns the counts of calls.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.counters
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// beginCall counts a call and lets the faults act on it before it is carried out.
func (s *Store) beginCall(ctx context.Context, c call, kind string) (writeOutcome, error) {
	slow, err := s.admit(c)
	if err != nil {
		return outcomeAnswered, err
	}
	if slow > 0 {
		select {
		case <-time.After(slow):
		case <-ctx.Done():
		}
	}
	if err := ctx.Err(); err != nil {
		return outcomeAnswered, errors.Trace(err)
	}
	if !c.isWrite() {
		return outcomeAnswered, nil
	}
	return s.consumeWriteFault(kind)
}

func (s *Store) admit(c call) (slow time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.faults
	f.countCall(c)
	if f.Outage {
		return 0, errOutage
	}
	limit := f.readLimiter
	if c.isWrite() {
		limit = f.writeLimiter
	}
	if limit != nil && !limit.Allow() {
		f.counters.Refused++
		return 0, objstore.ErrBusy
	}
	return time.Duration(f.SlowMS) * time.Millisecond, nil
}

func (s *Store) consumeWriteFault(kind string) (writeOutcome, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.faults
	if f.LoseKind != "" && f.LoseKind != kind {
		return outcomeAnswered, nil
	}
	if f.LoseWrites > 0 {
		f.LoseWrites--
		return outcomeAnswered, errAnswerLost
	}
	if f.LateWrites > 0 {
		f.LateWrites--
		return outcomeDelayed, nil
	}
	if f.LoseAnswers > 0 {
		f.LoseAnswers--
		return outcomeAnswerLost, nil
	}
	return outcomeAnswered, nil
}

func (f *faultState) countCall(c call) {
	switch c {
	case callGet:
		f.counters.Get++
	case callList:
		f.counters.List++
	case callPut:
		f.counters.Put++
	case callDelete:
		f.counters.Delete++
	case callWatch:
		f.counters.Watch++
	case callVMs:
		f.counters.VMs++
	}
}
