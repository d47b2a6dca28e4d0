package front

import "pierlink/internal/rtsp"

// out is what waits for a connection to take it. It holds whole messages and frames. At its bound, video
// payloads go first, oldest first, then the other media payloads; messages and RTCP stay. It guards against
// receivers that are slower than what they asked for, whatever slows them; a receiver that is only a burst
// behind loses pictures that it might have caught up with.
type outputQueue struct {
	buf          []byte
	units        []outputUnit
	flushPending bool
}

type outputUnit struct {
	size int
	kind unitKind
}

type unitKind uint8

const (
	messageUnit unitKind = iota
	controlUnit          // RTCP
	audioUnit
	videoUnit
)

// leg ties a player's channels to a track of a playback.
type trackBinding struct {
	pb        *playback
	track     int
	rtp, rtcp byte
	kind      unitKind
	ready     bool // its SETUP is answered
}

// buffer makes sure that an out has room to write to.
func (f *Front) ensureBuffer(queue *outputQueue) {
	if queue.buf == nil {
		if n := len(f.freeBuffers); n > 0 {
			queue.buf, f.freeBuffers = f.freeBuffers[n-1], f.freeBuffers[:n-1]
		} else {
			queue.buf = make([]byte, 0, 2048)
		}
	}
}

// release gives an out's buffer back.
func (f *Front) releaseBuffer(peer *peerConn) {
	if peer.output.buf != nil && cap(peer.output.buf) <= f.Bounds.PlayerBytes*2 && len(f.freeBuffers) < 1024 {
		f.freeBuffers = append(f.freeBuffers, peer.output.buf[:0])
	}
	peer.output.buf, peer.output.units = nil, peer.output.units[:0]
}

func (f *Front) markUnflushed(peer *peerConn) {
	if !peer.output.flushPending {
		peer.output.flushPending = true
		f.unflushed = append(f.unflushed, peer)
	}
}

// send puts a message in line.
func (f *Front) send(peer *peerConn, message *rtsp.Message) {
	if peer.closed {
		return
	}
	f.ensureBuffer(&peer.output)
	n := len(peer.output.buf)
	peer.output.buf = message.Append(peer.output.buf)
	f.outputAppended(peer, len(peer.output.buf)-n, messageUnit)
}

// frame puts a frame in line.
func (f *Front) sendFrame(peer *peerConn, channel byte, payload []byte, kind unitKind) {
	if peer.closed {
		return
	}
	f.ensureBuffer(&peer.output)
	peer.output.buf = rtsp.AppendFrame(peer.output.buf, channel, payload)
	f.outputAppended(peer, 4+len(payload), kind)
}

func (f *Front) outputAppended(peer *peerConn, size int, kind unitKind) {
	peer.output.units = append(peer.output.units, outputUnit{size, kind})
	f.markUnflushed(peer)
	if len(peer.output.buf) <= f.Bounds.PlayerBytes {
		return
	}
	if f.network.Pending(peer.conn) == 0 { // the network has room: the bound is for what does not go out
		f.flush(peer)
		return
	}
	for kind := videoUnit; kind >= audioUnit && len(peer.output.buf) > f.Bounds.PlayerBytes; kind-- {
		f.dropOldest(peer, kind)
	}
	if len(peer.output.buf) > 2*f.Bounds.PlayerBytes { // answers and RTCP alone: it takes nothing at all
		f.Figures.Overflowed++
		f.deferred = append(f.deferred, func() { f.closeOverflowed(peer) })
	}
}

// shed takes the oldest payloads of a kind out until half of the bound is free.
func (f *Front) dropOldest(peer *peerConn, kind unitKind) {
	queue := &peer.output
	excess := len(queue.buf) - f.Bounds.PlayerBytes/2
	readOffset, writeOffset, kept := 0, 0, 0
	for _, u := range queue.units {
		if u.kind == kind && excess > 0 {
			excess -= u.size
			if readOffset += u.size; kind == videoUnit {
				f.Figures.LostVideo++
			} else {
				f.Figures.LostAudio++
			}
			continue
		}
		copy(queue.buf[writeOffset:], queue.buf[readOffset:readOffset+u.size])
		readOffset, writeOffset = readOffset+u.size, writeOffset+u.size
		queue.units[kept] = u
		kept++
	}
	queue.buf, queue.units = queue.buf[:writeOffset], queue.units[:kept]
}

// flush sends what waits, unless the network still has to take what was sent before.
func (f *Front) flush(peer *peerConn) {
	if peer.closed || len(peer.output.buf) == 0 || f.network.Pending(peer.conn) > 0 {
		return
	}
	if dialogue := peer.dialogue; dialogue != nil && !dialogue.connected {
		return
	}
	f.network.Send(peer.conn, peer.output.buf)
	f.releaseBuffer(peer)
}

// hang ends a connection of either side.
func (f *Front) closeOverflowed(peer *peerConn) {
	if peer.closed {
		return
	}
	if peer.dialogue != nil {
		f.dialogueLost(peer.dialogue, sessionReset)
		return
	}
	f.closePlayer(peer)
}
