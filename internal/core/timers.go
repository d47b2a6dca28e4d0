package core

import "container/heap"

// Timer is one moment at which something is to be done.
type Timer struct {
	at    Time
	order uint64
	index int // in the heap, -1 when not set
	fire  func()
}

// Timers are a core's, in the order of their moments; equal moments fire in the order of setting.
type Timers struct {
	heap  timerHeap
	count uint64
}

// At is the moment that it was last set to.
func (t *Timer) At() Time { return t.at }

type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.index = len(*h)
	*h = append(*h, t)
}
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}

// Set has fire called at a moment; the timer given is moved, or made if nil.
func (ts *Timers) Set(t *Timer, at Time, fire func()) *Timer {
	if t == nil {
		t = &Timer{index: -1}
	}
	ts.count++
	t.at, t.order, t.fire = at, ts.count, fire
	if t.index >= 0 {
		heap.Fix(&ts.heap, t.index)
	} else {
		heap.Push(&ts.heap, t)
	}
	return t
}

// Stop takes a timer out; nil and stopped ones are let be.
func (ts *Timers) Stop(t *Timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&ts.heap, t.index)
		t.fire = nil
	}
}

// Run fires what is due.
func (ts *Timers) Run(now Time) {
	for len(ts.heap) > 0 && ts.heap[0].at <= now {
		heap.Pop(&ts.heap).(*Timer).fire()
	}
}

// Next is the earliest moment set, or Never.
func (ts *Timers) Next() Time {
	if len(ts.heap) == 0 {
		return Never
	}
	return ts.heap[0].at
}

// Len is how many are set.
func (ts *Timers) Len() int { return len(ts.heap) }
