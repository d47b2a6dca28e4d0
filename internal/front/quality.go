package front

import (
	"math"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"pierlink/internal/quality"
	"pierlink/internal/rtsp"
)

// figured begins a playback's record of quality, under a name of its own until it has a session.
func (f *Front) startQualityRecord(pb *playback) {
	if f.Quality == nil {
		return
	}
	f.qualityRecords++
	pb.qualityRecord = "#" + strconv.FormatInt(f.qualityRecords, 10)
	f.Quality.Taken(pb.qualityRecord, pb.target.plan, pb.target.title, pb.receivedAt)
}

// rack is a server's, -1 for none.
func (f *Front) rackOf(server int) int {
	if server < 0 || server >= len(f.boxes) || f.Site.Fleet.Racks < 1 {
		return -1
	}
	return f.boxes[server].lastListed.Cell % f.Site.Fleet.Racks
}

// placed notes where a playback plays now, and at which rung.
func (f *Front) recordPlacement(pb *playback) {
	if f.Quality == nil || pb.qualityRecord == "" || pb.sessionID == "" {
		return
	}
	if pb.qualityRecord != pb.sessionID {
		f.Quality.Name(pb.qualityRecord, pb.sessionID)
		pb.qualityRecord = pb.sessionID
	}
	rack := -1
	if pb.upstream != nil {
		rack = f.rackOf(pb.upstream.server)
	}
	f.Quality.Plays(pb.qualityRecord, rack, pb.rung, f.now)
}

// closeRecord ends a playback's record.
func (f *Front) closeQualityRecord(pb *playback) {
	if f.Quality == nil || pb.qualityRecord == "" {
		return
	}
	if pb.sessionID == "" { // it never played
		f.Quality.Failed(pb.qualityRecord, f.rackOf(pb.lastServer))
	}
	f.Quality.Ended(pb.qualityRecord, f.now)
	pb.qualityRecord = ""
}

// setParameters answers SET_PARAMETER (RFC 2326 section 10.9): an empty one keeps the session alive, and players may
// report what they saw (docs/wire.md). Reports are heard for a while after a session's end, under its name. Where any
// parameter is not known none is taken.
func (f *Front) setParameters(pb *playback, message, response *rtsp.Message) *rtsp.Message {
	parameters := rtsp.Parameters(message.Body)
	if len(parameters) == 0 {
		return response
	}
	id, _ := rtsp.SessionID(message.Get("Session"))
	var reports []quality.Report
	for _, parameter := range parameters {
		report, valid := parseReport(parameter.Value)
		if f.Quality == nil || id == "" || parameter.Name != "report" || !valid {
			return rtsp.Answer(rtsp.StatusParameterUnknown, 0)
		}
		reports = append(reports, report)
	}
	for _, report := range reports {
		f.Quality.Report(id, report)
	}
	return response
}

// report reads SEQ CLOCK AT KIND VALUE: the player's clock as it sent the report and as it happened, in seconds;
// startup and stall take seconds, rung a rung.
func parseReport(value string) (result quality.Report, ok bool) {
	words := strings.Fields(value)
	if len(words) != 5 {
		return result, false
	}
	seq, err := strconv.ParseUint(words[0], 10, 32)
	if err != nil {
		return result, false
	}
	var numbers [3]Time
	for i, x := range []string{words[1], words[2], words[4]} {
		number, err := strconv.ParseFloat(x, 64)
		if err != nil || math.Abs(number) > 1e11 || math.IsNaN(number) {
			return result, false
		}
		numbers[i] = Time(math.Round(number * 1e6))
	}
	result = quality.Report{Seq: uint32(seq), Clock: numbers[0], At: numbers[1]}
	switch words[3] {
	case "startup":
		result.What, result.Span = quality.Startup, numbers[2]
	case "stall":
		result.What, result.Span = quality.Stall, numbers[2]
	case "rung":
		result.What, result.Rung = quality.Rung, int(numbers[2]/1e6)
	default:
		return result, false
	}
	return result, true
}

// settleQuality tells the log which racks and titles stand out.
func (f *Front) settleQuality() Time {
	return f.Quality.Settle(func(alarm quality.Alarm) {
		kind, name := "rack", strconv.Itoa(alarm.Rack)
		if alarm.Kind == quality.Title {
			kind, name = "title", alarm.Title
		}
		if !alarm.Raised {
			f.log.Info("does as well as the others again", zap.String(kind, name))
			return
		}
		f.log.Warn("does worse than the others", zap.String(kind, name), zap.Float64("lost", alarm.Lost), zap.Float64("others", alarm.Rest))
	})
}
