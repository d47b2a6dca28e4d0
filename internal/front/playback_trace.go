package front

import (
	"pierlink/session"
)

// PlaybackTrace records where the time of a playback went, from its first SETUP to its answer.
type PlaybackTrace struct {
	Front, RequestID, Plan, Title, Tenant string
	Rung, TopRung                         int
	ReceivedAt                            Time // its first SETUP arrived
	AdmittedAt                            Time // the module was asked; 0 if it never was
	Attempts                              []Attempt
	AnsweredAt                            Time
	Status                                int  // of the response to SETUP
	StartupTarget, AbandonTime            Time // durations, as set when the playback was taken
}

// Attempt is one setup try.
type Attempt struct {
	Box                 string
	Rung                int
	StartedAt, Duration Time
	Outcome             session.Outcome // -1 while it is in progress, and if it plays
}

// reportTrace passes the trace of a playback that is being answered to the configured function.
func (f *Front) reportTrace(pb *playback, status int) {
	if f.OnAnswered == nil {
		return
	}
	plan := pb.target.plan
	trace := &PlaybackTrace{Front: f.Name, RequestID: pb.requestID, Plan: f.Plans[plan].Name, Title: pb.target.title,
		Tenant: pb.target.tenantName, Rung: pb.rung, TopRung: pb.target.topRung,
		ReceivedAt: pb.receivedAt, AdmittedAt: pb.admittedAt, Attempts: pb.attempts, AnsweredAt: f.now, Status: status,
		StartupTarget: f.Site.Plans[plan].StartupTarget, AbandonTime: pb.abandonTime}
	if n := len(trace.Attempts); n > 0 && trace.Attempts[n-1].Outcome < 0 {
		trace.Attempts[n-1].Duration = f.now - trace.Attempts[n-1].StartedAt
	}
	pb.attempts = nil
	f.OnAnswered(trace)
}
