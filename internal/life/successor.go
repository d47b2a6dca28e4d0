package life

// Seat identifies a title of a plan. Each session manager has a limited number of seats for it.
type Seat struct {
	Plan, Title string
}

// Successor is the state that a process which took over from another one has to respect while the other drains, so
// that both together stay within the limits of one session manager: playbacks of the draining process hold their
// seats until they have ended, and the setup tries that are exempt from the retry budget are not granted a second
// time within its span.
type Successor struct {
	TrySpan     Time // period over which budget-exempt tries are counted
	takenOverAt Time
	tookOver    bool
	heldSeats   map[Seat]int
}

// TookOver records that the process took over from another one at the given time.
func (h *Successor) TookOver(now Time) { h.tookOver, h.takenOverAt = true, now }

// SetHeldSeats sets the number of seats that the draining process holds now.
func (h *Successor) SetHeldSeats(seats map[Seat]int) { h.heldSeats = seats }

// HeldSeats returns how many seats of a title the draining process holds.
func (h *Successor) HeldSeats(s Seat) int { return h.heldSeats[s] }

// FreeTries returns how many of the configured budget-exempt tries may be granted, and until when that holds; 0
// if it holds without limit.
func (h *Successor) FreeTries(configured float64, now Time) (free float64, until Time) {
	if end := h.takenOverAt + h.TrySpan; h.tookOver && now < end {
		return 0, end
	}
	return configured, 0
}
