package allotment

import (
	"slices"
	"time"
)

// Next returns the calls that are due, and when it should be called next.
func (m *Member) Next(now time.Time) (calls []*Outgoing, next time.Time) {
	m.sweep(now)
	next = now.Add(beat(len(m.vms)))
	for group := range m.groups {
		f := &m.groups[group]
		m.choose(now, f)
		if f.name == "" {
			continue
		}
		if f.next != "" && !f.leaving {
			f.leaving = true
			leave := m.call(now, f, group, "")
			leave.Call.Leave = true
			calls = append(calls, leave)
		}
		if !now.Before(f.beatAt) {
			calls = append(calls, m.call(now, f, group, ""))
		}
		if better := m.best(now, f); better != f.name && better != "" && !f.probing && f.next == "" && (f.name == m.self || !f.whole && !f.heard.Before(f.since)) {
			f.probing = true
			calls = append(calls, &Outgoing{To: better, Call: &Call{From: m.self, Group: group}, SentAt: now})
		}
		if other := m.elsewhere(now, f); other != "" {
			f.probing = true
			calls = append(calls, &Outgoing{To: other, Call: &Call{From: m.self, Group: group}, SentAt: now})
		}
		if f.beatAt.Before(next) {
			next = f.beatAt
		}
		if soon := now.Add(youngStep); !f.whole && m.young(now) && soon.Before(next) {
			next = soon
		}
	}
	return calls, next
}

// elsewhere returns a candidate to ask whether nearly all VMs follow it, or "". A VM that returns and is the
// best candidate would else follow itself alone, until the others try it again.
func (m *Member) elsewhere(now time.Time, f *following) string {
	others := f.order[:min(candidates, len(f.order))]
	if f.name != m.self || f.whole || f.probing || f.next != "" || now.Before(f.lookAt) {
		return ""
	}
	f.lookAt = now.Add(minBeat / 2)
	f.looked++
	if name := others[f.looked%len(others)]; name != m.self {
		return name
	}
	return ""
}

// best returns the best candidate that is not in cooldown, empty if there is none.
func (m *Member) best(now time.Time, f *following) string {
	silent := 0
	for _, name := range f.order {
		if name == m.self && m.unsettled {
			continue
		}
		c := f.cooldowns[name]
		if !now.Before(c.until) {
			return name
		}
		if !c.ignores {
			if silent++; silent == candidates {
				break
			}
		}
	}
	return ""
}

// choose chooses an accountant if there is none, or if it is no longer a candidate.
func (m *Member) choose(now time.Time, f *following) {
	switch {
	case f.name == "":
		m.follow(now, f, m.best(now, f))
	case f.next == "" && !slices.Contains(f.order, f.name):
		f.next = m.best(now, f)
	}
}

// follow changes the accountant of a group. What was told to the former one is kept.
func (m *Member) follow(now time.Time, f *following, name string) {
	if f.name == name {
		return
	}
	f.first = f.heard.IsZero()
	f.fresh = f.since.IsZero() || now.Sub(f.since) >= m.config.Window
	f.name, f.since, f.beatAt, f.count, f.failedAt = name, now, now, 0, time.Time{}
	f.clean, f.next, f.leaving, f.whole = false, "", false, false
	f.serial = max(f.serial+1, now.UnixNano())
}
