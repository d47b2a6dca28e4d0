package front

import (
	"pierlink/session"
)

// Story is where the time of a playback went, from its first SETUP to its answer.
type Story struct {
	Front, Name, Plan, Title, Tenant string
	Rung, TopRung                    int
	ReceivedAt                       Time // its first SETUP came in
	AdmittedAt                       Time // it was put before the module; 0 if it never was
	Attempts                         []Attempt
	AnsweredAt                       Time
	Status                           int
	StartupTarget, AbandonTime       Time // spans, as it was taken with
}

// Attempt is one setup try.
type Attempt struct {
	Box                 string
	Rung                int
	StartedAt, Duration Time
	Outcome             session.Outcome // -1 where it plays or is out
}

// told tells a playback's story as it is answered.
func (f *Front) reportTrace(pb *playback, status int) {
	if f.Told == nil {
		return
	}
	plan := pb.target.plan
	trace := &Story{Front: f.Name, Name: pb.requestID, Plan: f.Plans[plan].Name, Title: pb.target.title, Tenant: pb.target.tenantName, Rung: pb.rung, TopRung: pb.target.topRung,
		ReceivedAt: pb.receivedAt, AdmittedAt: pb.admittedAt, Attempts: pb.attempts, AnsweredAt: f.now, Status: status,
		StartupTarget: f.Site.Plans[plan].Startup, AbandonTime: pb.abandonTime}
	if n := len(trace.Attempts); n > 0 && trace.Attempts[n-1].Outcome < 0 {
		trace.Attempts[n-1].Duration = f.now - trace.Attempts[n-1].StartedAt
	}
	pb.attempts = nil
	f.Told(trace)
}
