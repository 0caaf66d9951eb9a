package edge

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// lateAnswers measures how late this VM writes the answers of its callers' gathered requests, and
// says how much earlier they should be due. A VM that is short of processor time wakes up late,
// merges slowly, and its answers reach callers after the latency objective, where they are worth a
// tenth. See docs/design/answer-margin.md. It is safe for concurrent use. A nil *lateAnswers
// measures nothing.
type lateAnswers struct {
	mu     sync.Mutex
	recent [maxLateAnswers]lateAnswer // the latest ones, in no order
	added  int                        // answers added so far
}

// lateAnswer says how late one answer was.
type lateAnswer struct {
	at   time.Time     // when it was written
	late time.Duration // time since it was due
}

const (
	maxLateAnswers     = 32               // answers that are kept
	lateAnswerLifetime = 20 * time.Second // age from which an answer is ignored
	minLateAnswers     = 5                // least number of answers from which a margin follows
	// answersPerPause is how many answers there are for each one that is ignored, the latest first,
	// but one is always: a single pause says nothing about the next answer.
	answersPerPause = 16
	// maxMarginShare bounds the measured margin, as a share of the latency objective. The shards
	// that an earlier answer leaves out cost more than the late answers that remain.
	maxMarginShare = 0.2
)

// add records that an answer that was due at due is written now.
func (l *lateAnswers) add(now, due time.Time) {
	if l == nil || due.IsZero() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recent[l.added%maxLateAnswers] = lateAnswer{at: now, late: max(now.Sub(due), 0)}
	l.added++
}

// usual returns how late recent answers were at most, but for those that are ignored. It is 0 if there
// are too few.
func (l *lateAnswers) usual(now time.Time) time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var buf [maxLateAnswers]time.Duration
	late := buf[:0]
	for _, a := range l.recent[:min(l.added, maxLateAnswers)] {
		if now.Sub(a.at) < lateAnswerLifetime {
			late = append(late, a.late)
		}
	}
	if len(late) < minLateAnswers {
		return 0
	}
	slices.Sort(late)
	return late[len(late)-1-max(len(late)/answersPerPause, 1)]
}

// margin returns how long before it has to leave this VM an answer is due. nominal is what a VM of
// this power needs; it is never less than that. objective is the latency objective of the request.
func (l *lateAnswers) margin(now time.Time, nominal, objective time.Duration) time.Duration {
	return max(nominal, min(l.usual(now), time.Duration(maxMarginShare*float64(objective))))
}

// writeMetrics writes how late recent answers were.
func (l *lateAnswers) writeMetrics(w io.Writer, now time.Time) {
	if l != nil {
		fmt.Fprintf(w, "bramley_edge_answers_late_seconds %g\n", l.usual(now).Seconds())
	}
}
