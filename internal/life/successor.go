package life

// Seat is a title of a plan that has so many seats at a session manager.
type Seat struct {
	Plan, Title string
}

// Heir is what a process that took another's place must leave to it, so that both together keep what one
// session manager owes: the other one's playbacks hold their seats until they have ended, and the tries that
// are free of the budget are not given a second time within its span.
type Heir struct {
	TrySpan     Time
	takenOverAt Time
	tookOver    bool
	heldSeats   map[Seat]int
}

// Take tells that it took over now.
func (h *Heir) Take(now Time) { h.tookOver, h.takenOverAt = true, now }

// Hold tells which seats the other one holds now.
func (h *Heir) Hold(seats map[Seat]int) { h.heldSeats = seats }

// Held is how many of a title's seats are the other one's.
func (h *Heir) Held(s Seat) int { return h.heldSeats[s] }

// FreeTries is how many tries are free of the budget, of so many as are told; and until when that holds.
func (h *Heir) FreeTries(told float64, now Time) (free float64, until Time) {
	if end := h.takenOverAt + h.TrySpan; h.tookOver && now < end {
		return 0, end
	}
	return told, 0
}
