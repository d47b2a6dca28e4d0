package front

import (
	"math"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"pierlink/internal/quality"
	"pierlink/internal/rtsp"
)

// startQualityRecord begins the quality record of a playback, under a temporary name until it has a session id.
func (f *Front) startQualityRecord(pb *playback) {
	if f.Quality == nil {
		return
	}
	f.qualityRecords++
	pb.qualityRecord = "#" + strconv.FormatInt(f.qualityRecords, 10)
	f.Quality.Begin(pb.qualityRecord, pb.target.plan, pb.target.title, pb.receivedAt)
}

// rackOf returns the rack of a server, -1 if unknown.
func (f *Front) rackOf(server int) int {
	if server < 0 || server >= len(f.boxes) || f.Site.Fleet.Racks < 1 {
		return -1
	}
	return f.boxes[server].lastListed.Cell % f.Site.Fleet.Racks
}

// recordPlacement records in which rack and at which rung a playback plays now.
func (f *Front) recordPlacement(pb *playback) {
	if f.Quality == nil || pb.qualityRecord == "" || pb.sessionID == "" {
		return
	}
	if pb.qualityRecord != pb.sessionID {
		f.Quality.Rename(pb.qualityRecord, pb.sessionID)
		pb.qualityRecord = pb.sessionID
	}
	rack := -1
	if pb.upstream != nil {
		rack = f.rackOf(pb.upstream.server)
	}
	f.Quality.Playing(pb.qualityRecord, rack, pb.rung, f.now)
}

// closeQualityRecord ends the quality record of a playback.
func (f *Front) closeQualityRecord(pb *playback) {
	if f.Quality == nil || pb.qualityRecord == "" {
		return
	}
	if pb.sessionID == "" { // never played
		f.Quality.Failed(pb.qualityRecord, f.rackOf(pb.lastServer))
	}
	f.Quality.End(pb.qualityRecord, f.now)
	pb.qualityRecord = ""
}

// setParameters answers SET_PARAMETER (RFC 2326 section 10.9). An empty one is a keepalive; others are reports of
// the quality that the player saw (docs/wire.md). Reports are accepted for a while after the end of their session.
// If any parameter is unknown, none is applied.
func (f *Front) setParameters(pb *playback, request, response *rtsp.Message) *rtsp.Message {
	parameters := rtsp.ParseParameters(request.Body)
	if len(parameters) == 0 {
		return response
	}
	id, _ := rtsp.ParseSession(request.Get("Session"))
	var reports []quality.Report
	for _, parameter := range parameters {
		report, valid := parseReport(parameter.Value)
		if f.Quality == nil || id == "" || parameter.Name != "report" || !valid {
			return rtsp.NewResponse(rtsp.StatusParameterUnknown, 0)
		}
		reports = append(reports, report)
	}
	for _, report := range reports {
		f.Quality.Report(id, report)
	}
	return response
}

// parseReport parses SEQ CLOCK AT KIND VALUE. CLOCK and AT are the player's clock in seconds, when it sent the
// report and when the event happened. VALUE is in seconds for startup and stall, and a rung for rung.
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
	for i, word := range []string{words[1], words[2], words[4]} {
		number, err := strconv.ParseFloat(word, 64)
		if err != nil || math.Abs(number) > 1e11 || math.IsNaN(number) {
			return result, false
		}
		numbers[i] = Time(math.Round(number * 1e6))
	}
	result = quality.Report{Seq: uint32(seq), SentAt: numbers[0], OccurredAt: numbers[1]}
	switch words[3] {
	case "startup":
		result.Type, result.Duration = quality.StartupReport, numbers[2]
	case "stall":
		result.Type, result.Duration = quality.StallReport, numbers[2]
	case "rung":
		result.Type, result.Rung = quality.RungReport, int(numbers[2]/1e6)
	default:
		return result, false
	}
	return result, true
}

// settleQuality logs the racks and titles whose service is worse than that of the others, and when it no longer
// is.
func (f *Front) settleQuality() Time {
	return f.Quality.Evaluate(func(alarm quality.Alarm) {
		kind, name := "rack", strconv.Itoa(alarm.Rack)
		if alarm.Kind == quality.Title {
			kind, name = "title", alarm.Title
		}
		if !alarm.Raised {
			f.log.Info("service quality back to that of the others", zap.String(kind, name))
			return
		}
		f.log.Warn("service quality worse than that of the others", zap.String(kind, name), zap.Float64("lost", alarm.Loss),
			zap.Float64("others", alarm.OthersLoss))
	})
}
