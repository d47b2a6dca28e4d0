// Package simwire is the simulator's frame codec: bytes to plain records and back. Wire names end here.
package simwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"pierlink/session"
)

// Event and action codes.
const (
	EvStart, EvList, EvRequest, EvPlaying, EvResult               = 1000, 1010, 1020, 1030, 1040
	EvLeft, EvWake, EvProbed, EvPeer, EvStop, EvOpen              = 1050, 1060, 1070, 1080, 1090, 1100
	EvNote, evListEntries                                         = 1110, 1120
	actionWake, actionSetRung, actionAbort                        = 1020, 1030, 1050
	actionProbe, actionReject, actionMove, actionWatch, actionTry = 1060, 1070, 1080, 1090, 1100
)

const (
	maxFrameBytes = 1 << 28
	entryBytes    = 24
	listNumbers   = 16
)

// Server is a server's wire id.
type Server [6]byte

// Entry is one line of a server list.
type Entry struct {
	ID Server
	session.Entry
}

// Event is one record of a batch; which fields count depends on Code.
type Event struct {
	Code       int
	Manager    uint16
	ID         uint32
	Server     Server
	Token      uint64
	Try        int
	Took       session.Time
	Outcome    session.Outcome
	Final      bool
	LoadValues []float64 // load values in the settings' order
	Request    session.Request
	Note       session.Note
	Seed       uint64
	Settings   []byte
	Entries    []Entry
	ListKind   int
}

// Batch is one frame of events.
type Batch struct {
	Number uint32
	Now    session.Time
	Events []Event
}

// Reader reads batches. Lists are kept under their number until another takes it.
type Reader struct {
	in    *bufio.Reader
	lists [listNumbers][]Entry
}

// NewReader reads batches from r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, 1<<20)} }

// Next returns the next batch, or io.EOF at a clean end of the input.
func (r *Reader) Next() (Batch, error) {
	var header [20]byte
	if _, err := io.ReadFull(r.in, header[:12]); err != nil {
		if err == io.EOF {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("truncated frame header: %w", err)
	}
	size := binary.BigEndian.Uint32(header[8:])
	if size < 8 || size > maxFrameBytes {
		return Batch{}, fmt.Errorf("frame length %d out of range", size)
	}
	body, err := io.ReadAll(io.LimitReader(r.in, int64(size)))
	if err != nil {
		return Batch{}, err
	}
	if len(body) != int(size) {
		return Batch{}, fmt.Errorf("truncated frame: %d of %d bytes", len(body), size)
	}
	frame := &decoder{rest: body}
	batch := Batch{Number: binary.BigEndian.Uint32(header[:]), Now: frame.time()}
	for n := binary.BigEndian.Uint32(header[4:]); n > 0 && frame.err == nil; n-- {
		if event, ok := r.readRecord(frame); ok {
			batch.Events = append(batch.Events, event)
		}
	}
	if frame.err == nil && len(frame.rest) > 0 {
		frame.err = fmt.Errorf("%d bytes after the last record", len(frame.rest))
	}
	return batch, frame.err
}

func (r *Reader) readRecord(frame *decoder) (Event, bool) {
	event := Event{Code: int(frame.u16())}
	if frame.err != nil {
		return event, false
	}
	if event.Code == evListEntries {
		r.readEntries(frame)
		return event, false
	}
	event.Manager = frame.u16()
	switch event.Code {
	case EvStart:
		event.Seed = frame.u64()
		event.Settings = frame.next(int(frame.u32()))
	case EvStop:
	case EvList:
		event.ListKind = int(frame.u8())
		frame.u64()
		number := frame.u32()
		if event.ListKind == listFailed {
			break
		}
		if event.ListKind != listFull && event.ListKind != listCached && event.ListKind != listDelta {
			frame.fail("list kind %d", event.ListKind)
		} else if number >= listNumbers {
			frame.fail("list number %d", number)
		} else {
			event.Entries = r.lists[number]
		}
	case EvRequest:
		event.ID = frame.u32()
		event.Request.Abandon = frame.time()
		event.Request.Tenant = int(frame.u32())
		event.Request.Plan = int(frame.u8())
		event.Request.Top = frame.count()
		frame.time()
		frame.u8()
		frame.u64()
		event.Request.Span = frame.count()
		event.Request.Show = frame.u64()
		event.Request.Base = frame.count()
	case EvOpen:
		event.ID = frame.u32()
		event.Request.Top = frame.count()
		frame.u8()
		frame.u64()
		event.Request.Span = frame.count()
		event.Request.Show = frame.u64()
		event.Request.Plan = int(frame.u8())
		event.Request.Base = frame.count()
		event.Server = frame.server()
		frame.time()
		event.Request.Abandon = frame.time()
		event.Request.Tenant = int(frame.u32())
	case EvPlaying:
		event.ID, event.Try, event.Server, event.Took = frame.u32(), int(frame.u16()), frame.server(), frame.time()
	case EvResult:
		event.ID, event.Try, event.Server = frame.u32(), int(frame.u16()), frame.server()
		event.Outcome = frame.outcome()
		event.Took = frame.time()
		event.Final = frame.u8() != 0
		event.LoadValues = frame.values()
	case EvLeft:
		event.ID = frame.u32()
	case EvWake:
		event.Token = frame.u64()
	case EvProbed:
		event.Server, event.Took = frame.server(), frame.time()
		event.Outcome = frame.outcome()
		event.LoadValues = frame.values()
	case EvPeer:
		frame.u32() // nothing is made of messages between managers yet
		frame.next(int(frame.u16()))
	case EvNote:
		event.ID, event.Try, event.Server = frame.u32(), int(frame.u16()), frame.server()
		event.Note.Kind, event.Note.Value = session.NoteKind(frame.u8()), frame.f32()
	default:
		frame.fail("unknown record code %d", event.Code)
	}
	return event, frame.err == nil
}

// The kinds of list.
const listCached, listFull, listFailed, listDelta = 0, 1, 2, 4

// Whole tells whether an EvList names every server; Failed whether it reports a failed call.
func (e *Event) Complete() bool { return e.ListKind == listFull || e.ListKind == listCached }

// Failed tells whether an EvList reports a failed call.
func (e *Event) Failed() bool { return e.ListKind == listFailed }

func (r *Reader) readEntries(frame *decoder) {
	number, count := frame.u32(), int(frame.u32())
	if frame.err == nil && (number >= listNumbers || count > len(frame.rest)/entryBytes) {
		frame.fail("list %d of %d entries", number, count)
	}
	if frame.err != nil {
		return
	}
	list := make([]Entry, count)
	for i := range list {
		entry := &list[i]
		entry.State = session.ServerState(frame.u8())
		entry.Zone = int(frame.u8())
		entry.ID = frame.server()
		entry.Kind = int(frame.u16())
		entry.Started = frame.time()
		entry.Weight = frame.f32()
		entry.Cell = int(frame.u16())
		if entry.State > session.Draining {
			frame.fail("server state %d", entry.State)
		}
	}
	r.lists[number] = list
}

// cursor takes fields off a frame; after the first error it yields zeros.
type decoder struct {
	rest []byte
	err  error
}

func (frame *decoder) fail(format string, args ...any) {
	if frame.err == nil {
		frame.err = fmt.Errorf(format, args...)
	}
}

func (frame *decoder) next(n int) []byte {
	if frame.err == nil && n > len(frame.rest) {
		frame.err = errors.New("record runs past its frame")
	}
	if frame.err != nil {
		return nil
	}
	out := frame.rest[:n]
	frame.rest = frame.rest[n:]
	return out
}

func (frame *decoder) number(n int) uint64 {
	var v uint64
	for _, x := range frame.next(n) {
		v = v<<8 | uint64(x)
	}
	return v
}

func (frame *decoder) u8() uint8   { return uint8(frame.number(1)) }
func (frame *decoder) u16() uint16 { return uint16(frame.number(2)) }
func (frame *decoder) u32() uint32 { return uint32(frame.number(4)) }
func (frame *decoder) u64() uint64 { return frame.number(8) }

func (frame *decoder) f32() float64 {
	v := float64(math.Float32frombits(frame.u32()))
	if math.IsNaN(v) || math.IsInf(v, 0) {
		frame.fail("not a finite number")
		return 0
	}
	return v
}

func (frame *decoder) count() int {
	v := frame.f32()
	if v < 0 || v > math.MaxInt32 {
		frame.fail("count %v out of range", v)
		return 0
	}
	return int(v)
}

func (frame *decoder) time() session.Time {
	v := math.Float64frombits(frame.u64())
	if math.IsNaN(v) || math.Abs(v) > 1e12 {
		frame.fail("time out of range")
		return 0
	}
	return micros(v)
}

func (frame *decoder) server() (s Server) {
	copy(s[:], frame.next(len(s)))
	return s
}

func (frame *decoder) outcome() session.Outcome {
	o := session.Outcome(frame.u16())
	if o > session.NotSent {
		frame.fail("unknown outcome %d", o)
	}
	return o
}

func (frame *decoder) values() []float64 {
	var out []float64
	for n := frame.u8(); n > 0 && frame.err == nil; n-- {
		out = append(out, frame.f32())
	}
	return out
}

func micros(seconds float64) session.Time { return session.Time(math.Round(seconds * 1e6)) }

// Reply collects the actions of one batch.
type Reply struct{ buf []byte }

// WriteTo frames the reply to batch number, and empties it.
func (r *Reply) WriteTo(w io.Writer, number uint32) error {
	header := binary.BigEndian.AppendUint32(nil, number)
	header = binary.BigEndian.AppendUint32(header, uint32(len(r.buf)))
	_, err := w.Write(header)
	if err == nil {
		_, err = w.Write(r.buf)
	}
	r.buf = r.buf[:0]
	return err
}

func (r *Reply) beginRecord(code, manager uint16) {
	r.buf = binary.BigEndian.AppendUint16(r.buf, code)
	r.buf = binary.BigEndian.AppendUint16(r.buf, manager)
}

func (r *Reply) beginPlaybackRecord(code, manager uint16, id uint32) {
	r.beginRecord(code, manager)
	r.buf = binary.BigEndian.AppendUint32(r.buf, id)
}

func (r *Reply) appendTime(t session.Time) {
	r.buf = binary.BigEndian.AppendUint64(r.buf, math.Float64bits(float64(t)/1e6))
}

// Try sends a playback to a server.
func (r *Reply) Try(manager uint16, id uint32, server Server, limit session.Time) {
	r.beginPlaybackRecord(actionTry, manager, id)
	r.buf = append(r.buf, server[:]...)
	r.appendTime(limit)
}

// SetRung sets a playback's rung.
func (r *Reply) SetRung(manager uint16, id uint32, rung int) {
	r.beginPlaybackRecord(actionSetRung, manager, id)
	r.buf = append(r.buf, byte(rung))
}

// Reject refuses a playback.
func (r *Reply) Reject(manager uint16, id uint32, comeAgain session.Time) {
	r.beginPlaybackRecord(actionReject, manager, id)
	r.appendTime(comeAgain)
}

// Abort answers a playback as failed.
func (r *Reply) Abort(manager uint16, id uint32) { r.beginPlaybackRecord(actionAbort, manager, id) }

// Move takes a playback off its server.
func (r *Reply) Move(manager uint16, id uint32) { r.beginPlaybackRecord(actionMove, manager, id) }

// Probe probes a server.
func (r *Reply) Probe(manager uint16, server Server) {
	r.beginRecord(actionProbe, manager)
	r.buf = append(r.buf, server[:]...)
}

// Wake asks for a wake-up.
func (r *Reply) Wake(manager uint16, at session.Time, token uint64) {
	r.beginRecord(actionWake, manager)
	r.appendTime(at)
	r.buf = binary.BigEndian.AppendUint64(r.buf, token)
}

// Watch subscribes to the list of servers.
func (r *Reply) Watch(manager uint16) {
	r.beginRecord(actionWatch, manager)
	r.buf = append(r.buf, 1)
}
