package lab

import (
	"fmt"
	"math"
	"strconv"

	"pierlink/internal/standin/mediabox"
	"pierlink/internal/standin/player"
	"pierlink/session"
)

// ids are the names of a viewer's askings, in their order.
func (p *Play) requestIDs(w *player.Profile) (all []string) {
	for round := range p.Day.MaxRetries + 1 {
		id := w.ID
		if round > 0 {
			id += "." + strconv.Itoa(round)
		}
		all = append(all, id)
	}
	return all
}

// look is what the ground keeps each half second on the virtual network: what links give, and whether all
// that was asked, given and taken adds up.
func (p *Play) sample(w *World) {
	kb := 0.0
	uplinks := map[*mediabox.Rack]float64{}
	asked := map[*mediabox.Rack]float64{}
	fills, most := 0.0, 0.0
	boxes := 0
	for _, b := range p.boxes {
		x, ok := w.Core(b.name).(*mediabox.Box)
		if !ok {
			continue
		}
		link, took, err := x.CheckDemand()
		if err != nil {
			p.reportInconsistency("%s at %.1f s: %v", b.name, seconds(w.now-p.began), err)
		}
		asked[x.Rack] += took
		if b.state == session.Ready { // one that drains gives nothing to those who come
			uplinks[x.Rack] += link
		}
		boxes++
		fill := took / max(link, 1e-9)
		fills += fill
		most = max(most, fill)
	}
	for _, r := range p.racks {
		kb += min(uplinks[r], r.UplinkKB)
		if x := asked[r]; math.Abs(x-r.Load()*r.UplinkKB) > 1e-3*max(x, 1) {
			p.reportInconsistency("a rack at %.1f s: its boxes ask for %.1f kB a second, it has booked %.1f", seconds(w.now-p.began), x, r.Load()*r.UplinkKB)
		}
	}
	p.capacityKB = append(p.capacityKB, kb)
	p.meanFills = append(p.meanFills, fills/max(float64(boxes), 1))
	p.maxFills = append(p.maxFills, most)
	waiting := 0
	for _, f := range p.fronts {
		if x := frontOf(w.Core(f.name)); x != nil {
			waiting += x.OpenWork().Unanswered
		}
	}
	p.unanswered = append(p.unanswered, float64(waiting))
	if c, ok := w.Core("players").(*player.Group); ok {
		p.mu.Lock()
		ended := p.Tally.Asked
		p.mu.Unlock()
		if c.Attempts != ended+c.Open()-c.Waiting() {
			p.reportInconsistency("at %.1f s: %d askings began, %d ended, %d are open", seconds(w.now-p.began), c.Attempts, ended, c.Open()-c.Waiting())
		}
	}
	if w.now-p.began < p.Length() {
		p.stage.At(w.now+bucketWidth, func() { p.sample(w) })
	}
}

// odd notes something that does not add up: an error of the emulator, not of what it plays.
func (p *Play) reportInconsistency(format string, a ...any) {
	p.Odd++
	if len(p.Oddities) < 5 {
		p.Oddities = append(p.Oddities, fmt.Sprintf(format, a...))
	}
}

// settleUp holds the day's bytes against each other, once all is over.
func (p *Play) checkTotals(w *World) {
	if f := w.InFlight(); w.Sent != w.Arrived+w.Dropped+f {
		p.reportInconsistency("bytes on the network: %d were sent, %d arrived, %d were lost with their connections, %d are on their way", w.Sent, w.Arrived, w.Dropped, f)
	}
	if p.Tally.Packets > p.packetsSent {
		p.reportInconsistency("players got %d packets, boxes sent %d", p.Tally.Packets, p.packetsSent)
	}
	if n := p.Tally.Played + p.Tally.Rejected + p.Tally.Failed + p.Tally.Abandoned + p.Tally.Redirected; n < p.Tally.Asked-p.Tally.Lost-p.Tally.Completed {
		p.reportInconsistency("%d askings, of which %d came to an end that is known", p.Tally.Asked, n)
	}
}
