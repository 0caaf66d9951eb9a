package platformsim

import (
	"context"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"github.com/bramleybarrow/bramleybarrow/objstore"
)

// Errors of a faulty platform. After either of them a caller doesn't know whether its write
// took effect.
var (
	errOutage     = errors.New("platformsim: simulated outage")
	errAnswerLost = errors.New("platformsim: simulated loss of the answer")
)

// Faults are the faults that the platform simulates. The zero value is a healthy platform. A
// field that counts the next writes goes down with each one that the fault affects.
type Faults struct {
	Outage        bool `json:"outage"`         // every call fails
	SlowMS        int  `json:"slow_ms"`        // delay of each call
	WatchesSilent bool `json:"watches_silent"` // watches wait without an answer
	// LoseAnswers makes the next writes take effect and loses their answers. LoseWrites
	// makes the next writes fail with the same error without taking effect.
	LoseAnswers int `json:"lose_answers"`
	LoseWrites  int `json:"lose_writes"`
	// LateWrites makes the next writes fail like LoseWrites. They take effect LateMS later
	// if their condition holds then.
	LateWrites int `json:"late_writes"`
	LateMS     int `json:"late_ms"`
	// LoseKind limits the lost and late writes above to objects of one kind; empty means
	// all kinds.
	LoseKind string `json:"lose_kind"`
	// WritesPerSecond and ReadsPerSecond limit the rates of calls; calls above them are
	// refused, and 0 means no limit. A watch counts as a read.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
}

// Counters counts the calls since the start, refused and failed ones included.
type Counters struct {
	Get     int `json:"get"`
	List    int `json:"list"`
	Put     int `json:"put"`
	Delete  int `json:"delete"`
	Watch   int `json:"watch"`
	VMs     int `json:"vms"`
	Refused int `json:"refused"` // above the rate limits; also counted by type above
}

// call is a type of call.
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

// writeOutcome says how a call that is carried out takes effect and is answered.
type writeOutcome int

const (
	outcomeAnswered   writeOutcome = iota
	outcomeAnswerLost              // takes effect; its answer is lost
	outcomeDelayed                 // takes effect later; its answer is lost
)

// faultState holds a store's faults and counts. It is guarded by Store.mu.
type faultState struct {
	Faults
	counters     Counters
	writeLimiter *rate.Limiter // nil means no limit
	readLimiter  *rate.Limiter
}

// SetFaults replaces the faults. They apply to a waiting watch from the next change of its kind
// on.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.Faults = f
	s.faults.writeLimiter = newLimiter(f.WritesPerSecond)
	s.faults.readLimiter = newLimiter(f.ReadsPerSecond)
}

// Faults returns the current faults, with the numbers of writes and answers that are still to be
// affected.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Faults
}

// Counters returns the call counts.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.counters
}

// newLimiter returns a limiter whose burst is one second's calls, at least 1, or nil for no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// beginCall counts a call and applies the faults that act before it is carried out: it delays the
// call, returns an error, or returns the outcome that the call is to have.
func (s *Store) beginCall(ctx context.Context, c call, kind string) (writeOutcome, error) {
	delay, err := s.admit(c)
	if err != nil {
		return outcomeAnswered, err
	}
	if delay > 0 {
		select {
		case <-time.After(delay):
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

// admit counts a call and returns the delay before it is carried out, or an error if it is
// refused.
func (s *Store) admit(c call) (delay time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.faults
	f.countCall(c)
	if f.Outage {
		return 0, errOutage
	}
	limiter := f.readLimiter
	if c.isWrite() {
		limiter = f.writeLimiter
	}
	if limiter != nil && !limiter.Allow() {
		f.counters.Refused++
		return 0, objstore.ErrBusy
	}
	return time.Duration(f.SlowMS) * time.Millisecond, nil
}

// consumeWriteFault returns the outcome or error of the next write of that kind and decrements
// the count of its fault.
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
