package platformsim

import (
	"context"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"github.com/bramleybarrow/bramleybarrow/objstore"
)

// Errors of calls that a fault makes fail. After either of these errors a caller doesn't know
// whether its write took effect.
var (
	errOutage     = errors.New("platformsim: simulated outage")
	errAnswerLost = errors.New("platformsim: simulated loss of the answer")
)

// Faults are the faults that the platform simulates. The zero value is a healthy platform. A
// field that says how many of the next writes are affected is decremented by each of them.
type Faults struct {
	Outage        bool `json:"outage"`         // every call fails
	SlowMS        int  `json:"slow_ms"`        // delay of each call
	WatchesSilent bool `json:"watches_silent"` // watches get no answer until their caller gives up
	// LoseAnswers is how many of the next writes take effect and lose their answer.
	// LoseWrites is how many fail with the same error without taking effect.
	LoseAnswers int `json:"lose_answers"`
	LoseWrites  int `json:"lose_writes"`
	// LateWrites is how many of the next writes fail with the same error and take effect
	// LateMS later, if the object has the version that the write expects then.
	LateWrites int `json:"late_writes"`
	LateMS     int `json:"late_ms"`
	// HoldWrites is how many of the next writes wait, before they take effect, until the
	// faults are replaced or their caller gives up.
	HoldWrites int `json:"hold_writes"`
	// WriteKind limits LoseAnswers, LoseWrites, LateWrites and HoldWrites to writes of objects
	// of one kind; empty means all kinds.
	WriteKind string `json:"write_kind"`
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
	VMs     int `json:"vms"`     // reads of the list of VMs
	Refused int `json:"refused"` // calls that a rate limit refused; each is also counted in the field of its type
	Held    int `json:"held"`    // writes that Faults.HoldWrites made wait; each is also counted in the field of its type
}

// call is a type of call to the platform.
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

// writeOutcome says when a write takes effect and whether it is answered.
type writeOutcome int

const (
	outcomeAnswered   writeOutcome = iota // takes effect and is answered
	outcomeAnswerLost                     // takes effect; its answer is lost
	outcomeDelayed                        // takes effect later; its answer is lost
)

// faultState holds a store's faults and counts. It is guarded by Store.mu.
type faultState struct {
	Faults
	counters     Counters
	writeLimiter *rate.Limiter // limits puts and deletes; nil means no limit
	readLimiter  *rate.Limiter // limits all other calls; nil means no limit
	replaced     chan struct{} // closed when the faults are replaced
}

// SetFaults replaces the faults and lets the writes that HoldWrites made wait take effect. Of the
// new faults, only WatchesSilent applies to a watch that is waiting already, and only from the next
// change of the watch's kind on.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.Faults = f
	s.faults.writeLimiter = newLimiter(f.WritesPerSecond)
	s.faults.readLimiter = newLimiter(f.ReadsPerSecond)
	close(s.faults.replaced)
	s.faults.replaced = make(chan struct{})
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

// newLimiter returns a limiter that allows a burst of one second's calls, at least 1. It returns
// nil, which means no limit, for a rate of 0.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// beginCall counts a call and applies the faults that precede its execution: it delays the call,
// and returns an error if the call must fail. For a write it returns the outcome to apply.
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
	if err := s.holdWrite(ctx, kind); err != nil {
		return outcomeAnswered, err
	}
	return s.consumeWriteFault(kind)
}

// holdWrite makes a write of that kind wait if HoldWrites asks for it. It returns an error if the
// caller gave up meanwhile.
func (s *Store) holdWrite(ctx context.Context, kind string) error {
	s.mu.Lock()
	f := &s.faults
	if f.HoldWrites == 0 || !f.affects(kind) {
		s.mu.Unlock()
		return nil
	}
	f.HoldWrites--
	f.counters.Held++
	replaced := f.replaced
	s.mu.Unlock()
	select {
	case <-replaced:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// affects reports whether the faults of writes affect those of that kind.
func (f *Faults) affects(kind string) bool { return f.WriteKind == "" || f.WriteKind == kind }

// admit counts a call and returns the delay before its execution, or an error if an outage or a
// rate limit makes it fail.
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
	if !f.affects(kind) {
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

// countCall increments the counter of that type of call. The caller must hold Store.mu.
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
