package main

import (
	"time"

	"go.uber.org/zap"

	"pierlink/internal/edge"
)

// turnWarning is the duration of a turn of the event loop from which on it is reported.
const turnWarning = time.Second

// watchTurns logs turns of a loop that take long, with what they are about.
func watchTurns(loop *edge.Loop, log *zap.Logger) {
	loop.WatchTurns(turnWarning, func(turn edge.SlowTurn) {
		log.Error("event loop is busy: a turn has not ended", zap.Duration("running", turn.Running), zap.String("activity", turn.Activity), zap.String("peer", turn.Peer))
	})
}
