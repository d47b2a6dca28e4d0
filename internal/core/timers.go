package core

import "container/heap"

// Timer calls a function at a set time.
type Timer struct {
	deadline  Time
	seq       uint64 // order of setting, which breaks ties
	heapIndex int    // position in the heap, -1 if not set
	callback  func()
}

// Timers is the timer queue of a core. Timers with equal deadlines fire in the order in which they were set.
type Timers struct {
	heap    timerHeap
	lastSeq uint64 // seq of the timer set last
}

// Deadline returns the time for which the timer was last set.
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

// Set schedules callback for the given time. It reschedules t, or creates a timer if t is nil.
func (ts *Timers) Set(timer *Timer, deadline Time, callback func()) *Timer {
	if timer == nil {
		timer = &Timer{heapIndex: -1}
	}
	ts.lastSeq++
	timer.deadline, timer.seq, timer.callback = deadline, ts.lastSeq, callback
	if timer.heapIndex >= 0 {
		heap.Fix(&ts.heap, timer.heapIndex)
	} else {
		heap.Push(&ts.heap, timer)
	}
	return timer
}

// Stop cancels a timer. It does nothing if t is nil or not set.
func (ts *Timers) Stop(timer *Timer) {
	if timer != nil && timer.heapIndex >= 0 {
		heap.Remove(&ts.heap, timer.heapIndex)
		timer.callback = nil
	}
}

// Run fires all timers that are due.
func (ts *Timers) Run(now Time) {
	for len(ts.heap) > 0 && ts.heap[0].deadline <= now {
		heap.Pop(&ts.heap).(*Timer).callback()
	}
}

// Next returns the earliest deadline, or Never.
func (ts *Timers) Next() Time {
	if len(ts.heap) == 0 {
		return Never
	}
	return ts.heap[0].deadline
}

// Len returns the number of timers that are set.
func (ts *Timers) Len() int { return len(ts.heap) }
