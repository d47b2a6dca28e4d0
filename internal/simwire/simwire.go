// Package simwire decodes and encodes the simulator's binary protocol: frames of events in, frames of actions out.
// Names that belong to that protocol are not used outside this package.
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

// The codes of the event and action records.
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

// Server is a server's identifier in the protocol.
type Server [6]byte

// Entry is one entry of a server list.
type Entry struct {
	ID Server
	session.Entry
}

// Event is one record of a batch; Code determines which fields are used.
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
	LoadValues []float64 // of a load report, in the order of the names in the settings
	Request    session.Request
	Note       session.Note
	Seed       uint64
	Settings   []byte // the JSON settings object of EvStart
	Entries    []Entry
	ListKind   int
}

// Batch is one frame of events.
type Batch struct {
	Number uint32
	Now    session.Time
	Events []Event
}

// Reader reads batches. It keeps each server list under its number until another list with that number arrives.
type Reader struct {
	in    *bufio.Reader
	lists [listNumbers][]Entry
}

// NewReader returns a Reader of batches from r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, 1<<20)} }

// Next returns the next batch, or io.EOF if the input ends between two frames.
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
		return Batch{}, fmt.Errorf("frame length %d out of the allowed range", size)
	}
	body, err := io.ReadAll(io.LimitReader(r.in, int64(size)))
	if err != nil {
		return Batch{}, err
	}
	if len(body) != int(size) {
		return Batch{}, fmt.Errorf("truncated frame: got %d of %d bytes", len(body), size)
	}
	dec := &decoder{rest: body}
	batch := Batch{Number: binary.BigEndian.Uint32(header[:]), Now: dec.time()}
	for n := binary.BigEndian.Uint32(header[4:]); n > 0 && dec.err == nil; n-- {
		if event, ok := r.readRecord(dec); ok {
			batch.Events = append(batch.Events, event)
		}
	}
	if dec.err == nil && len(dec.rest) > 0 {
		dec.err = fmt.Errorf("%d unexpected bytes after the last record of the frame", len(dec.rest))
	}
	return batch, dec.err
}

// readRecord reads one record. It reports false if the record is no event for a manager, or is malformed.
func (r *Reader) readRecord(dec *decoder) (Event, bool) {
	event := Event{Code: int(dec.u16())}
	if dec.err != nil {
		return event, false
	}
	if event.Code == evListEntries {
		r.readEntries(dec)
		return event, false
	}
	event.Manager = dec.u16()
	switch event.Code {
	case EvStart:
		event.Seed = dec.u64()
		event.Settings = dec.next(int(dec.u32()))
	case EvStop:
	case EvList:
		event.ListKind = int(dec.u8())
		dec.u64()
		number := dec.u32()
		if event.ListKind == listFailed {
			break
		}
		if event.ListKind != listFull && event.ListKind != listCached && event.ListKind != listDelta {
			dec.fail("unknown server list kind %d", event.ListKind)
		} else if number >= listNumbers {
			dec.fail("server list number %d out of range", number)
		} else {
			event.Entries = r.lists[number]
		}
	case EvRequest:
		event.ID = dec.u32()
		event.Request.AbandonAt = dec.time()
		event.Request.Tenant = int(dec.u32())
		event.Request.Plan = int(dec.u8())
		event.Request.Top = dec.count()
		dec.time()
		dec.u8()
		dec.u64()
		event.Request.CellCount = dec.count()
		event.Request.TitleID = dec.u64()
		event.Request.FirstCell = dec.count()
	case EvOpen:
		event.ID = dec.u32()
		event.Request.Top = dec.count()
		dec.u8()
		dec.u64()
		event.Request.CellCount = dec.count()
		event.Request.TitleID = dec.u64()
		event.Request.Plan = int(dec.u8())
		event.Request.FirstCell = dec.count()
		event.Server = dec.server()
		dec.time()
		event.Request.AbandonAt = dec.time()
		event.Request.Tenant = int(dec.u32())
	case EvPlaying:
		event.ID, event.Try, event.Server, event.Took = dec.u32(), int(dec.u16()), dec.server(), dec.time()
	case EvResult:
		event.ID, event.Try, event.Server = dec.u32(), int(dec.u16()), dec.server()
		event.Outcome = dec.outcome()
		event.Took = dec.time()
		event.Final = dec.u8() != 0
		event.LoadValues = dec.values()
	case EvLeft:
		event.ID = dec.u32()
	case EvWake:
		event.Token = dec.u64()
	case EvProbed:
		event.Server, event.Took = dec.server(), dec.time()
		event.Outcome = dec.outcome()
		event.LoadValues = dec.values()
	case EvPeer:
		dec.u32() // messages between managers are not used yet
		dec.next(int(dec.u16()))
	case EvNote:
		event.ID, event.Try, event.Server = dec.u32(), int(dec.u16()), dec.server()
		event.Note.Kind, event.Note.Value = session.NoteKind(dec.u8()), dec.f32()
	default:
		dec.fail("unknown record code %d", event.Code)
	}
	return event, dec.err == nil
}

// The kinds of server list.
const listCached, listFull, listFailed, listDelta = 0, 1, 2, 4

// Complete reports whether an EvList names every server.
func (e *Event) Complete() bool { return e.ListKind == listFull || e.ListKind == listCached }

// ListFailed reports whether an EvList stands for a failed call.
func (e *Event) ListFailed() bool { return e.ListKind == listFailed }

// readEntries reads a record with the entries of a server list and keeps them under the list's number.
func (r *Reader) readEntries(dec *decoder) {
	number, count := dec.u32(), int(dec.u32())
	if dec.err == nil && (number >= listNumbers || count > len(dec.rest)/entryBytes) {
		dec.fail("server list %d of %d entries exceeds the frame or the list numbers", number, count)
	}
	if dec.err != nil {
		return
	}
	list := make([]Entry, count)
	for i := range list {
		entry := &list[i]
		entry.State = session.ServerState(dec.u8())
		entry.Zone = int(dec.u8())
		entry.ID = dec.server()
		entry.Kind = int(dec.u16())
		entry.Started = dec.time()
		entry.Weight = dec.f32()
		entry.Cell = int(dec.u16())
		if entry.State > session.Draining {
			dec.fail("unknown server state %d", entry.State)
		}
	}
	r.lists[number] = list
}

// decoder reads fields from the rest of a frame; after the first error it returns zeros.
type decoder struct {
	rest []byte
	err  error
}

func (dec *decoder) fail(format string, args ...any) {
	if dec.err == nil {
		dec.err = fmt.Errorf(format, args...)
	}
}

func (dec *decoder) next(n int) []byte {
	if dec.err == nil && n > len(dec.rest) {
		dec.err = errors.New("record exceeds the end of its frame")
	}
	if dec.err != nil {
		return nil
	}
	out := dec.rest[:n]
	dec.rest = dec.rest[n:]
	return out
}

func (dec *decoder) number(n int) uint64 {
	var v uint64
	for _, x := range dec.next(n) {
		v = v<<8 | uint64(x)
	}
	return v
}

func (dec *decoder) u8() uint8   { return uint8(dec.number(1)) }
func (dec *decoder) u16() uint16 { return uint16(dec.number(2)) }
func (dec *decoder) u32() uint32 { return uint32(dec.number(4)) }
func (dec *decoder) u64() uint64 { return dec.number(8) }

func (dec *decoder) f32() float64 {
	v := float64(math.Float32frombits(dec.u32()))
	if math.IsNaN(v) || math.IsInf(v, 0) {
		dec.fail("expected a finite number, found NaN or infinity")
		return 0
	}
	return v
}

func (dec *decoder) count() int {
	v := dec.f32()
	if v < 0 || v > math.MaxInt32 {
		dec.fail("count %v out of the range of a non-negative 32-bit integer", v)
		return 0
	}
	return int(v)
}

func (dec *decoder) time() session.Time {
	v := math.Float64frombits(dec.u64())
	if math.IsNaN(v) || math.Abs(v) > 1e12 {
		dec.fail("time is not a number or exceeds 1e12 s")
		return 0
	}
	return micros(v)
}

func (dec *decoder) server() (s Server) {
	copy(s[:], dec.next(len(s)))
	return s
}

func (dec *decoder) outcome() session.Outcome {
	o := session.Outcome(dec.u16())
	if o > session.NotSent {
		dec.fail("unknown outcome code %d", o)
	}
	return o
}

func (dec *decoder) values() []float64 {
	var out []float64
	for n := dec.u8(); n > 0 && dec.err == nil; n-- {
		out = append(out, dec.f32())
	}
	return out
}

func micros(seconds float64) session.Time { return session.Time(math.Round(seconds * 1e6)) }

// Reply collects the actions in response to one batch.
type Reply struct{ buf []byte }

// WriteTo writes the reply to the batch of that number as one frame, and empties the reply.
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

// Try appends a setup try of a playback at a server, with its time limit.
func (r *Reply) Try(manager uint16, id uint32, server Server, limit session.Time) {
	r.beginPlaybackRecord(actionTry, manager, id)
	r.buf = append(r.buf, server[:]...)
	r.appendTime(limit)
}

// SetRung appends the rung of a playback.
func (r *Reply) SetRung(manager uint16, id uint32, rung int) {
	r.beginPlaybackRecord(actionSetRung, manager, id)
	r.buf = append(r.buf, byte(rung))
}

// Reject appends the rejection of a playback, with the time after which its client may retry.
func (r *Reply) Reject(manager uint16, id uint32, retryAfter session.Time) {
	r.beginPlaybackRecord(actionReject, manager, id)
	r.appendTime(retryAfter)
}

// Abort appends the failure of a playback.
func (r *Reply) Abort(manager uint16, id uint32) { r.beginPlaybackRecord(actionAbort, manager, id) }

// Move appends the removal of a playback from its server.
func (r *Reply) Move(manager uint16, id uint32) { r.beginPlaybackRecord(actionMove, manager, id) }

// Probe appends a probe of a server.
func (r *Reply) Probe(manager uint16, server Server) {
	r.beginRecord(actionProbe, manager)
	r.buf = append(r.buf, server[:]...)
}

// Wake appends a timer; its expiry arrives as EvWake with the token.
func (r *Reply) Wake(manager uint16, at session.Time, token uint64) {
	r.beginRecord(actionWake, manager)
	r.appendTime(at)
	r.buf = binary.BigEndian.AppendUint64(r.buf, token)
}

// Watch appends a subscription to the server list.
func (r *Reply) Watch(manager uint16) {
	r.beginRecord(actionWatch, manager)
	r.buf = append(r.buf, 1)
}
