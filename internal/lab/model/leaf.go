package model

import (
	"math"
	"time"

	"github.com/bramleybarrow/bramleybarrow/registry"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// leaf is a modelled leaf: it runs a few requests at a time, queues others, and pauses at a fixed
// period.
type leaf struct {
	registry.Leaf
	gone       bool          // it has ended: requests are answered by nobody
	slowdown   float64       // duration of work, as a multiple of the usual
	pauseStart time.Duration // start of its first pause, from the start of the model
	running    int
	queue      []*attempt
}

// id returns the leaf's incarnation.
func (l *leaf) id() scatter.LeafID { return scatter.LeafID{ID: l.ID, Born: l.Born} }

// attempt is a request at a leaf. done is called with its end when the leaf answers.
type attempt struct {
	until time.Time
	done  func(scatter.End)
}

// arrive queues an attempt that reaches the leaf.
func (m *Model) arrive(l *leaf, a *attempt) {
	l.queue = append(l.queue, a)
	m.work(l)
}

// work starts queued attempts while the leaf has free slots.
func (m *Model) work(l *leaf) {
	for l.running < l.Slots && len(l.queue) > 0 && !l.gone {
		a := l.queue[0]
		l.queue = l.queue[1:]
		if !m.now.Before(a.until) {
			a.done(scatter.EndNotStarted)
			continue
		}
		l.running++
		finished, end := m.finishTime(l), scatter.EndAnswered
		if finished.After(a.until) {
			finished, end = a.until, scatter.EndExpired
		}
		m.at(finished, func() {
			l.running--
			if !l.gone {
				a.done(end)
			}
			m.work(l)
		})
	}
}

// finishTime returns when work that begins now ends, with the pauses of the leaf.
func (m *Model) finishTime(l *leaf) time.Time {
	spread := math.Exp(m.config.WorkSpread * m.rng.NormFloat64())
	left := time.Duration(float64(m.config.Work) * spread * l.slowdown)
	at := m.now
	if m.config.PauseEvery == 0 {
		return at.Add(left)
	}
	for {
		sincePause := (at.Sub(m.startedAt) - l.pauseStart) % m.config.PauseEvery
		if sincePause < 0 {
			sincePause += m.config.PauseEvery
		}
		if sincePause < m.config.PauseFor {
			at = at.Add(m.config.PauseFor - sincePause)
			sincePause = m.config.PauseFor
		}
		untilPause := m.config.PauseEvery - sincePause
		if left <= untilPause {
			return at.Add(left)
		}
		left -= untilPause
		at = at.Add(untilPause)
	}
}
