package model

import (
	"container/heap"
	"time"
)

// clock calls functions at virtual times. Functions for the same time are called in the order in
// which they were added.
type clock struct {
	now    time.Time
	events events
	serial int
}

// event is a function to call at a time.
type event struct {
	at     time.Time
	serial int // number of the event, in the order of addition
	fn     func()
}

// events is a heap of events, the earliest first.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].serial < e[j].serial
	}
	return e[i].at.Before(e[j].at)
}

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// at adds a function to call at a time, at once if that has passed.
func (c *clock) at(t time.Time, fn func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.serial++
	heap.Push(&c.events, event{at: t, serial: c.serial, fn: fn})
}

// after adds a function to call when d has passed.
func (c *clock) after(d time.Duration, fn func()) { c.at(c.now.Add(d), fn) }

// run calls all functions, also those that are added meanwhile.
func (c *clock) run() {
	for len(c.events) > 0 {
		ev := heap.Pop(&c.events).(event)
		c.now = ev.at
		ev.fn()
	}
}
