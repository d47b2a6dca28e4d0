package front

import "pierlink/internal/rtsp"

// outputQueue holds the bytes that wait to be sent on a connection, in complete messages and frames. At its limit
// it drops video payloads, oldest first, then other media payloads; messages and RTCP are never dropped. This
// guards against receivers that are slower than the stream, for whatever reason. The cost: a receiver that is
// behind by one burst loses pictures that it might have caught up with.
type outputQueue struct {
	buf          []byte
	units        []outputUnit
	flushPending bool
}

// outputUnit is one message or frame in an outputQueue.
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

// trackBinding binds a pair of the player's interleaved channels to a track of a playback.
type trackBinding struct {
	pb        *playback
	track     int
	rtp, rtcp byte
	kind      unitKind
	ready     bool // its SETUP was answered with success
}

// ensureBuffer gives a queue a buffer if it has none.
func (f *Front) ensureBuffer(queue *outputQueue) {
	if queue.buf == nil {
		if n := len(f.freeBuffers); n > 0 {
			queue.buf, f.freeBuffers = f.freeBuffers[n-1], f.freeBuffers[:n-1]
		} else {
			queue.buf = make([]byte, 0, 2048)
		}
	}
}

// releaseBuffer returns the buffer of a connection's queue to the free list, unless it has grown too large.
func (f *Front) releaseBuffer(peer *peerConn) {
	if peer.output.buf != nil && cap(peer.output.buf) <= f.Bounds.PlayerBytes*2 && len(f.freeBuffers) < 1024 {
		f.freeBuffers = append(f.freeBuffers, peer.output.buf[:0])
	}
	peer.output.buf, peer.output.units = nil, peer.output.units[:0]
}

// markUnflushed has a connection flushed at the end of the turn.
func (f *Front) markUnflushed(peer *peerConn) {
	if !peer.output.flushPending {
		peer.output.flushPending = true
		f.unflushed = append(f.unflushed, peer)
	}
}

// send queues a message for sending.
func (f *Front) send(peer *peerConn, message *rtsp.Message) {
	if peer.closed {
		return
	}
	f.ensureBuffer(&peer.output)
	n := len(peer.output.buf)
	peer.output.buf = message.Append(peer.output.buf)
	f.outputAppended(peer, len(peer.output.buf)-n, messageUnit)
}

// sendFrame queues an interleaved frame for sending.
func (f *Front) sendFrame(peer *peerConn, channel byte, payload []byte, kind unitKind) {
	if peer.closed {
		return
	}
	f.ensureBuffer(&peer.output)
	peer.output.buf = rtsp.AppendFrame(peer.output.buf, channel, payload)
	f.outputAppended(peer, 4+len(payload), kind)
}

// outputAppended accounts for a unit written to a connection's queue, and enforces the queue's limit.
func (f *Front) outputAppended(peer *peerConn, size int, kind unitKind) {
	peer.output.units = append(peer.output.units, outputUnit{size, kind})
	f.markUnflushed(peer)
	if len(peer.output.buf) <= f.Bounds.PlayerBytes {
		return
	}
	if f.network.Pending(peer.conn) == 0 { // the network has room; the limit is for output that cannot be sent
		f.flush(peer)
		return
	}
	for kind := videoUnit; kind >= audioUnit && len(peer.output.buf) > f.Bounds.PlayerBytes; kind-- {
		f.dropOldest(peer, kind)
	}
	if len(peer.output.buf) > 2*f.Bounds.PlayerBytes { // messages and RTCP alone exceed the limit: the receiver reads nothing
		f.Figures.Overflowed++
		f.deferred = append(f.deferred, func() { f.closeOverflowed(peer) })
	}
}

// dropOldest drops the oldest payloads of a kind until the queue is down to half of its limit.
func (f *Front) dropOldest(peer *peerConn, kind unitKind) {
	queue := &peer.output
	excess := len(queue.buf) - f.Bounds.PlayerBytes/2
	readOffset, writeOffset, kept := 0, 0, 0
	for _, unit := range queue.units {
		if unit.kind == kind && excess > 0 {
			excess -= unit.size
			if readOffset += unit.size; kind == videoUnit {
				f.Figures.LostVideo++
			} else {
				f.Figures.LostAudio++
			}
			continue
		}
		copy(queue.buf[writeOffset:], queue.buf[readOffset:readOffset+unit.size])
		readOffset, writeOffset = readOffset+unit.size, writeOffset+unit.size
		queue.units[kept] = unit
		kept++
	}
	queue.buf, queue.units = queue.buf[:writeOffset], queue.units[:kept]
}

// flush sends the queued output, unless the network has not taken the previous output yet.
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

// closeOverflowed closes a connection, to a player or to a box, whose queue has overflowed.
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
