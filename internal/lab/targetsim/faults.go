package targetsim

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// Faults are what is wrong with a target. The zero value is a healthy one.
// Counts go down as they are used up.
type Faults struct {
	ShedShare float64 `json:"shed_share"` // of requests refused although there is room

	MismatchedAnswers int `json:"crossed_answers"`   // the next searches get another request's answer
	DuplicateAnswers  int `json:"duplicate_answers"` // the next searches get their answer twice over
	LateAnswers       int `json:"late_answers"`      // the next searches answer after LateMS, slot freed
	LateMS            int `json:"late_ms"`
	// MissingRecords makes each search leave out that many of the shard's
	// records, and say so.
	MissingRecords int `json:"incomplete_records"`

	CutSubmits  int  `json:"cut_submits"`  // the next submits run, then their connection is cut
	HoldSubmits bool `json:"hold_submits"` // submits run and their answers wait until this is unset

	LoadLagMS    int      `json:"load_lag_ms"` // age of the load reported
	ReportedLoad *float64 `json:"load_shown"`  // reported in place of the true load
	StateLagMS   int      `json:"state_lag_ms"`
}

// answerFault is what befalls one answer to a search.
type answerFault struct {
	mismatched     bool
	duplicate      bool
	delay          time.Duration
	missingRecords int
}

// consumeAnswerFault uses up the counts. The caller must hold Target.mu.
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

func consumeCount(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// omitRecords removes n records of the shard from an answer as if they could not
// be read, the items among them first.
func omitRecords(ans *target.LeafAnswer, n int) {
	if n <= 0 {
		return
	}
	missing := min(int64(n), ans.Records)
	ans.Complete = false
	ans.Missing = missing
	ans.Items = ans.Items[min(int(missing), len(ans.Items)):]
}
