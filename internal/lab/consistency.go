package lab

import (
	"fmt"
	"math"
	"strconv"

	"pierlink/internal/standin/mediabox"
	"pierlink/internal/standin/player"
	"pierlink/session"
)

// requestIDs returns the request identifiers of a viewer's attempts, in order.
func (p *DayRun) requestIDs(profile *player.Profile) (ids []string) {
	for retry := range p.Day.MaxRetries + 1 {
		id := profile.ID
		if retry > 0 {
			id += "." + strconv.Itoa(retry)
		}
		ids = append(ids, id)
	}
	return ids
}

// sample records the capacity of the links each half second on the virtual network, and checks that the figures
// of demand, capacity and attempts are consistent.
func (p *DayRun) sample(network *VirtualNet) {
	capacity := 0.0
	linkCapacity := map[*mediabox.Rack]float64{}
	demand := map[*mediabox.Rack]float64{}
	fillSum, maxFill := 0.0, 0.0
	runningBoxes := 0
	for _, b := range p.boxes {
		box, ok := network.Core(b.name).(*mediabox.Box)
		if !ok {
			continue
		}
		boxCapacity, boxDemand, err := box.CheckDemand()
		if err != nil {
			p.reportInconsistency("%s at %.1f s: %v", b.name, seconds(network.now-p.startedAt), err)
		}
		demand[box.Rack] += boxDemand
		if b.state == session.Ready { // a draining box has no capacity for new viewers
			linkCapacity[box.Rack] += boxCapacity
		}
		runningBoxes++
		fill := boxDemand / max(boxCapacity, 1e-9)
		fillSum += fill
		maxFill = max(maxFill, fill)
	}
	for _, rack := range p.racks {
		capacity += min(linkCapacity[rack], rack.UplinkKB)
		if rackDemand := demand[rack]; math.Abs(rackDemand-rack.Load()*rack.UplinkKB) > 1e-3*max(rackDemand, 1) {
			p.reportInconsistency("a rack at %.1f s: its boxes ask for %.1f kB a second, it has booked %.1f", seconds(network.now-p.startedAt), rackDemand, rack.Load()*rack.UplinkKB)
		}
	}
	p.capacityKB = append(p.capacityKB, capacity)
	p.meanFills = append(p.meanFills, fillSum/max(float64(runningBoxes), 1))
	p.maxFills = append(p.maxFills, maxFill)
	waiting := 0
	for _, f := range p.fronts {
		if manager := frontOf(network.Core(f.name)); manager != nil {
			waiting += manager.OpenWork().Unanswered
		}
	}
	p.unanswered = append(p.unanswered, float64(waiting))
	if group, ok := network.Core("players").(*player.Group); ok {
		p.mu.Lock()
		ended := p.Tally.Attempts
		p.mu.Unlock()
		if group.Attempts != ended+group.Open()-group.Waiting() {
			p.reportInconsistency("at %.1f s: %d askings began, %d ended, %d are open", seconds(network.now-p.startedAt), group.Attempts, ended, group.Open()-group.Waiting())
		}
	}
	if network.now-p.startedAt < p.Duration() {
		p.env.At(network.now+bucketWidth, func() { p.sample(network) })
	}
}

// reportInconsistency notes a failed consistency check: a fault of the emulation, not of the system under test.
func (p *DayRun) reportInconsistency(format string, a ...any) {
	p.Inconsistencies++
	if len(p.InconsistencyNotes) < 5 {
		p.InconsistencyNotes = append(p.InconsistencyNotes, fmt.Sprintf(format, a...))
	}
}

// checkTotals compares the day's totals of bytes, packets and attempts once all has ended.
func (p *DayRun) checkTotals(network *VirtualNet) {
	if inFlight := network.InFlight(); network.Sent != network.Arrived+network.Dropped+inFlight {
		p.reportInconsistency("bytes on the network: %d were sent, %d arrived, %d were lost with their connections, %d are on their way", network.Sent, network.Arrived, network.Dropped, inFlight)
	}
	if p.Tally.Packets > p.packetsSent {
		p.reportInconsistency("players got %d packets, boxes sent %d", p.Tally.Packets, p.packetsSent)
	}
	if ended := p.Tally.Played + p.Tally.Rejected + p.Tally.Failed + p.Tally.Abandoned + p.Tally.Redirected; ended < p.Tally.Attempts-p.Tally.Lost-p.Tally.Completed {
		p.reportInconsistency("%d askings, of which %d came to an end that is known", p.Tally.Attempts, ended)
	}
}
