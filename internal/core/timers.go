package core

import "container/heap"

// Timer is one moment at which something is to be done.
type Timer struct {
	deadline  Time
	seq       uint64
	heapIndex int // in the heap, -1 when not set
	callback  func()
}

// Timers are a core's, in the order of their moments; equal moments fire in the order of setting.
type Timers struct {
	heap    timerHeap
	lastSeq uint64
}

// Deadline is the moment that it was last set to.
func (t *Timer) Deadline() Time { return t.deadline }

type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].deadline < h[j].deadline || h[i].deadline == h[j].deadline && h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *timerHeap) Push(x any) {
	timer := x.(*Timer)
	timer.heapIndex = len(*h)
	*h = append(*h, timer)
}
func (h *timerHeap) Pop() any {
	old := *h
	timer := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	timer.heapIndex = -1
	return timer
}

// Set has fire called at a moment; the timer given is moved, or made if nil.
func (ts *Timers) Set(t *Timer, deadline Time, callback func()) *Timer {
	if t == nil {
		t = &Timer{heapIndex: -1}
	}
	ts.lastSeq++
	t.deadline, t.seq, t.callback = deadline, ts.lastSeq, callback
	if t.heapIndex >= 0 {
		heap.Fix(&ts.heap, t.heapIndex)
	} else {
		heap.Push(&ts.heap, t)
	}
	return t
}

// Stop takes a timer out; nil and stopped ones are let be.
func (ts *Timers) Stop(t *Timer) {
	if t != nil && t.heapIndex >= 0 {
		heap.Remove(&ts.heap, t.heapIndex)
		t.callback = nil
	}
}

// Run fires what is due.
func (ts *Timers) Run(now Time) {
	for len(ts.heap) > 0 && ts.heap[0].deadline <= now {
		heap.Pop(&ts.heap).(*Timer).callback()
	}
}

// Next is the earliest moment set, or Never.
func (ts *Timers) Next() Time {
	if len(ts.heap) == 0 {
		return Never
	}
	return ts.heap[0].deadline
}

// Len is how many are set.
func (ts *Timers) Len() int { return len(ts.heap) }
