package targetsim

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// Faults are the faults that a target simulates. The zero value is a healthy target. A field
// that says how many of the next searches or submits are affected is decremented by each of them.
type Faults struct {
	ShedShare float64 `json:"shed_share"` // fraction of requests, from 0 to 1, refused although a slot is free

	MismatchedAnswers int `json:"crossed_answers"`   // this many searches get an answer to another request
	DuplicateAnswers  int `json:"duplicate_answers"` // this many searches get their answer twice in one body
	LateAnswers       int `json:"late_answers"`      // this many searches are answered LateMS after their slot was freed
	LateMS            int `json:"late_ms"`           // delay of LateAnswers
	// MissingRecords is the number of the shard's records that each search omits and reports
	// as missing.
	MissingRecords int `json:"incomplete_records"`

	CutSubmits  int  `json:"cut_submits"`  // this many submits run, then their connection is closed without an answer
	HoldSubmits bool `json:"hold_submits"` // submits run, and their answers are delayed until this is unset

	LoadLagMS    int      `json:"load_lag_ms"`  // how long Status reports the same loads before it reads them again
	ReportedLoad *float64 `json:"load_shown"`   // if set, reported as the load of every leaf
	StateLagMS   int      `json:"state_lag_ms"` // how long after a call of SetDraining Status still reports the state before the call
}

// answerFault describes the faults of one answer to a search.
type answerFault struct {
	mismatched     bool          // the answer is one to another request
	duplicate      bool          // the answer is written twice
	delay          time.Duration // before the answer is written
	missingRecords int           // records of the shard that are omitted and reported as missing
}

// consumeAnswerFault returns the faults of the next answer to a search. It decrements the counts
// of those that affect a limited number of answers. The caller must hold Target.mu.
func (f *Faults) consumeAnswerFault() answerFault {
	var a answerFault
	a.missingRecords = f.MissingRecords
	if consumeCount(&f.MismatchedAnswers) {
		a.mismatched = true
	}
	if consumeCount(&f.DuplicateAnswers) {
		a.duplicate = true
	}
	if consumeCount(&f.LateAnswers) {
		a.delay = time.Duration(f.LateMS) * time.Millisecond
	}
	return a
}

// consumeCount decrements the count and reports whether it was positive.
func consumeCount(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// omitRecords reports n records of the shard as missing from an answer, as if they could not be
// read, and removes the answer's first n items.
func omitRecords(ans *target.LeafAnswer, n int) {
	if n <= 0 {
		return
	}
	missing := min(int64(n), ans.Records)
	ans.Complete = false
	ans.Missing = missing
	ans.Items = ans.Items[min(int(missing), len(ans.Items)):]
}
