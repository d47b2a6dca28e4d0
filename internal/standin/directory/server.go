package directory

import (
	"bufio"
	"errors"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	ber "github.com/go-asn1-ber/asn1-ber"
)

// Trouble is what goes wrong for now.
type Trouble struct {
	Stall             bool          // nothing is answered
	Slow              time.Duration // before each answer
	Truncate          int           // a search's connection breaks after so many entries; 0 for never
	Busy              bool          // every search is answered busy (51)
	Silent            bool          // streams bring nothing, and do not end
	NoSync            bool          // content synchronisation is not known (12)
	RejectPageCookies bool          // cookies of pages are not known
	Refer             string        // every search is referred there (RFC 4511 section 4.1.10): an ldap URL
	Part              string        // a part of what is searched is said to be there: a continuation reference (section 4.5.3)
}

// Tags of RFC 4511.
const (
	tagBind, tagBindResponse, tagUnbind, tagSearch, tagSearchResultEntry, tagSearchResultDone, tagAbandon, tagIntermediate = 0, 1, 2, 3, 4, 5, 16, 25
	tagModify, tagModifyResponse, tagAdd, tagAddResponse, tagDelete, tagDeleteResponse, tagModifyDN, tagModifyDNResponse   = 6, 7, 8, 9, 10, 11, 12, 13
	tagSearchResultReference                                                                                               = 19

	codeSuccess, codeProtocolError, codeUnavailableCriticalExtension, codeInvalidCredentials, codeBusy, codeUnwillingToPerform, codeSyncRefreshRequired = 0, 2, 12, 49, 51, 53, 4096
	codeReferral, codeNoSuchAttribute, codeNoSuchObject, codeEntryAlreadyExists                                                                         = 10, 16, 32, 68

	oidPagedResults = "1.2.840.113556.1.4.319"
	oidSyncRequest  = "1.3.6.1.4.1.4203.1.9.1.1"
	oidSyncState    = "1.3.6.1.4.1.4203.1.9.1.2"
	oidSyncDone     = "1.3.6.1.4.1.4203.1.9.1.3"
	oidSyncInfo     = "1.3.6.1.4.1.4203.1.9.1.4"
)

// Server serves a store on a socket.
type Server struct {
	store    *Store
	listener net.Listener
	mu       sync.Mutex
	faults   Trouble
	conns    map[net.Conn]struct{}
	pages    map[string][]*Entry
	lastPage int
	handlers sync.WaitGroup
	Searches atomic.Int64
	Password string // of every bind but anonymous ones
}

// Serve begins on an address.
func Serve(addr string, store *Store) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{store: store, listener: ln, conns: map[net.Conn]struct{}{}, pages: map[string][]*Entry{}}
	s.handlers.Add(1)
	go func() {
		defer s.handlers.Done()
		for {
			netConn, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[netConn] = struct{}{}
			s.mu.Unlock()
			s.handlers.Add(1)
			go func() {
				defer s.handlers.Done()
				s.serve(netConn)
				_ = netConn.Close()
				s.mu.Lock()
				delete(s.conns, netConn)
				s.mu.Unlock()
			}()
		}
	}()
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Upset changes what goes wrong.
func (s *Server) Upset(faults Trouble) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *Server) currentFaults() Trouble {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Cut breaks all connections.
func (s *Server) Cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// Stop ends it.
func (s *Server) Stop() {
	_ = s.listener.Close()
	s.Upset(Trouble{})
	s.Cut()
	s.handlers.Wait()
}

// dialogue is one connection.
type connection struct {
	server   *Server
	netConn  net.Conn
	mu       sync.Mutex // of writing
	closed   chan struct{}
	searches sync.WaitGroup
	cancels  map[int64]chan struct{} // searches that may be abandoned
}

func (s *Server) serve(netConn net.Conn) {
	conn := &connection{server: s, netConn: netConn, closed: make(chan struct{}), cancels: map[int64]chan struct{}{}}
	defer conn.searches.Wait()
	defer close(conn.closed)
	for r := bufio.NewReader(netConn); ; {
		message, err := ber.ReadPacket(r)
		if err != nil || len(message.Children) < 2 {
			return
		}
		id, ok := message.Children[0].Value.(int64)
		if !ok {
			return
		}
		op := message.Children[1]
		var controls []*ber.Packet
		if len(message.Children) > 2 {
			controls = message.Children[2].Children
		}
		for s.currentFaults().Stall {
			select {
			case <-time.After(5 * time.Millisecond):
			}
		}
		time.Sleep(s.currentFaults().Slow)
		switch op.Tag {
		case tagBind:
			code := codeSuccess
			if len(op.Children) < 3 {
				code = codeProtocolError
			} else if name, _ := op.Children[1].Value.(string); name != "" && op.Children[2].Data.String() != s.Password {
				code = codeInvalidCredentials
			}
			conn.send(id, newResult(tagBindResponse, code), nil)
		case tagUnbind:
			return
		case tagAbandon:
			target, _ := ber.ParseInt64(op.Data.Bytes())
			conn.mu.Lock()
			if canceled := conn.cancels[target]; canceled != nil {
				close(canceled)
				delete(conn.cancels, target)
			}
			conn.mu.Unlock()
		case tagSearch:
			s.Searches.Add(1)
			canceled := make(chan struct{})
			conn.mu.Lock()
			conn.cancels[id] = canceled
			conn.mu.Unlock()
			conn.searches.Add(1)
			go func() {
				defer conn.searches.Done()
				conn.search(id, op, controls, canceled)
			}()
		case tagModify, tagAdd, tagDelete, tagModifyDN:
			conn.send(id, newResult(int(op.Tag)+1, conn.update(op)), nil) // the answer's tag is the next one
		default:
			conn.send(id, newResult(tagSearchResultDone, codeProtocolError), nil)
		}
	}
}

func newResult(tag, code int) *ber.Packet {
	response := ber.Encode(ber.ClassApplication, ber.TypeConstructed, ber.Tag(tag), nil, "")
	response.AppendChild(ber.NewInteger(ber.ClassUniversal, ber.TypePrimitive, ber.TagEnumerated, int64(code), ""))
	response.AppendChild(octetString(""))
	response.AppendChild(octetString(""))
	return response
}

func octetString(s string) *ber.Packet {
	return ber.NewString(ber.ClassUniversal, ber.TypePrimitive, ber.TagOctetString, s, "")
}

func encodedString(p *ber.Packet) string { return string(p.Bytes()) }

// control is one control with its value.
func newControl(oid string, value *ber.Packet) *ber.Packet {
	control := ber.NewSequence("")
	control.AppendChild(octetString(oid))
	control.AppendChild(octetString(encodedString(value)))
	return control
}

func (conn *connection) send(id int64, op *ber.Packet, controls []*ber.Packet) bool {
	message := ber.NewSequence("")
	message.AppendChild(ber.NewInteger(ber.ClassUniversal, ber.TypePrimitive, ber.TagInteger, id, ""))
	message.AppendChild(op)
	if len(controls) > 0 {
		list := ber.Encode(ber.ClassContext, ber.TypeConstructed, 0, nil, "")
		for _, c := range controls {
			list.AppendChild(c)
		}
		message.AppendChild(list)
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	_, err := conn.netConn.Write(message.Bytes())
	return err == nil
}

// entry writes one with the attributes that are asked for: all of a user's, or those named (RFC 4511 section
// 4.5.1.8).
func encodeEntry(e *Entry, requestedNames []string) *ber.Packet {
	packet := ber.Encode(ber.ClassApplication, ber.TypeConstructed, tagSearchResultEntry, nil, "")
	packet.AppendChild(octetString(e.DN))
	attrs := ber.NewSequence("")
	add := func(name string, values []string) {
		a := ber.NewSequence("")
		a.AppendChild(octetString(name))
		set := ber.Encode(ber.ClassUniversal, ber.TypeConstructed, ber.TagSet, nil, "")
		for _, v := range values {
			set.AppendChild(octetString(v))
		}
		a.AppendChild(set)
		attrs.AppendChild(a)
	}
	requested := func(name string) bool {
		return slices.ContainsFunc(requestedNames, func(w string) bool { return strings.EqualFold(w, name) })
	}
	for _, k := range sortedNames(e.Attrs) {
		if len(requestedNames) == 0 || requested("*") || requested(k) {
			add(k, e.Attrs[k])
		}
	}
	for _, k := range []string{"entryUUID", "modifyTimestamp"} {
		if requested(k) {
			add(k, e.values(k))
		}
	}
	packet.AppendChild(attrs)
	return packet
}

// UUID writes one (RFC 4122).
func UUID(uuid [16]byte) string {
	const hex = "0123456789abcdef"
	var b strings.Builder
	for i, x := range uuid {
		if i == 4 || i == 6 || i == 8 || i == 10 {
			b.WriteByte('-')
		}
		b.WriteByte(hex[x>>4])
		b.WriteByte(hex[x&15])
	}
	return b.String()
}

func sortedNames(m map[string][]string) (all []string) {
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// search answers one search: whole, by pages, or as content synchronisation.
func (conn *connection) search(id int64, op *ber.Packet, controls []*ber.Packet, canceled chan struct{}) {
	server := conn.server
	done := func(code int, c ...*ber.Packet) { conn.send(id, newResult(tagSearchResultDone, code), c) }
	if len(op.Children) < 8 {
		done(codeProtocolError)
		return
	}
	faults := server.currentFaults()
	if faults.Busy {
		done(codeBusy)
		return
	}
	base, _ := op.Children[0].Value.(string)
	scope, _ := op.Children[1].Value.(int64)
	filter := op.Children[6]
	selects := func(e *Entry) bool {
		inScope := normalizeDN(e.DN) == normalizeDN(base) || scope != 0 && (base == "" || strings.HasSuffix(normalizeDN(e.DN), ","+normalizeDN(base)))
		return inScope && matchesFilter(filter, e)
	}
	var requestedNames []string
	for _, a := range op.Children[7].Children {
		requestedNames = append(requestedNames, a.Data.String())
	}
	if faults.Refer != "" {
		response := newResult(tagSearchResultDone, codeReferral)
		referral := ber.Encode(ber.ClassContext, ber.TypeConstructed, 3, nil, "")
		referral.AppendChild(octetString(faults.Refer))
		response.AppendChild(referral)
		conn.send(id, response, nil)
		return
	}
	if faults.Part != "" {
		response := ber.Encode(ber.ClassApplication, ber.TypeConstructed, tagSearchResultReference, nil, "")
		response.AppendChild(octetString(faults.Part))
		conn.send(id, response, nil)
	}
	sent := 0
	sendEntry := func(e *Entry, c ...*ber.Packet) bool {
		if faults.Truncate > 0 && sent >= faults.Truncate {
			_ = conn.netConn.Close()
			return false
		}
		sent++
		return conn.send(id, encodeEntry(e, requestedNames), c)
	}
	for _, c := range controls {
		if len(c.Children) < 2 {
			continue
		}
		oid, _ := c.Children[0].Value.(string)
		value, err := ber.DecodePacketErr(c.Children[len(c.Children)-1].Data.Bytes())
		if err != nil {
			continue
		}
		switch oid {
		case oidSyncRequest:
			if faults.NoSync {
				done(codeUnavailableCriticalExtension)
				return
			}
			conn.syncSearch(id, value, selects, sendEntry, done, canceled)
			return
		case oidPagedResults:
			conn.pagedSearch(id, value, selects, sendEntry, done)
			return
		}
	}
	all, _ := server.store.All()
	for _, e := range all {
		if selects(e) && !sendEntry(e) {
			return
		}
	}
	done(codeSuccess)
}

// page answers one page (RFC 2696). Its estimate of the total is wrong, as estimates may be.
func (conn *connection) pagedSearch(id int64, request *ber.Packet, selects func(*Entry) bool, sendEntry func(*Entry, ...*ber.Packet) bool, done func(int, ...*ber.Packet)) {
	server := conn.server
	if len(request.Children) < 2 {
		done(codeProtocolError)
		return
	}
	size, _ := request.Children[0].Value.(int64)
	cookie := request.Children[1].Data.String()
	var remaining []*Entry
	if cookie == "" {
		all, _ := server.store.All()
		for _, e := range all {
			if selects(e) {
				remaining = append(remaining, e)
			}
		}
	} else {
		server.mu.Lock()
		stored, ok := server.pages[cookie]
		delete(server.pages, cookie)
		server.mu.Unlock()
		if !ok || server.currentFaults().RejectPageCookies {
			done(codeUnwillingToPerform)
			return
		}
		remaining = stored
	}
	n := min(int(max(size, 1)), len(remaining))
	for _, e := range remaining[:n] {
		if !sendEntry(e) {
			return
		}
	}
	next := ""
	if remaining = remaining[n:]; len(remaining) > 0 {
		server.mu.Lock()
		server.lastPage++
		next = "page-" + strconv.Itoa(server.lastPage)
		server.pages[next] = remaining
		server.mu.Unlock()
	}
	response := ber.NewSequence("")
	response.AppendChild(ber.NewInteger(ber.ClassUniversal, ber.TypePrimitive, ber.TagInteger, int64(len(remaining)/2), ""))
	response.AppendChild(octetString(next))
	done(codeSuccess, newControl(oidPagedResults, response))
}

// sync answers content synchronisation (RFC 4533): from a cookie what has changed and gone, without one all;
// then, where wanted, changes as they come.
func (conn *connection) syncSearch(id int64, request *ber.Packet, selects func(*Entry) bool, sendEntry func(*Entry, ...*ber.Packet) bool,
	done func(int, ...*ber.Packet), canceled chan struct{}) {
	server := conn.server
	mode, seq, full := int64(1), uint64(0), true
	for _, c := range request.Children {
		switch c.Tag {
		case ber.TagEnumerated:
			mode, _ = c.Value.(int64)
		case ber.TagOctetString:
			n, err := strconv.ParseUint(strings.TrimPrefix(c.Data.String(), "seq="), 10, 64)
			if err != nil {
				done(codeSyncRefreshRequired)
				return
			}
			seq, full = n, false
		}
	}
	stateControl := func(e [16]byte, code int64, cookie uint64) *ber.Packet {
		x := ber.NewSequence("")
		x.AppendChild(ber.NewInteger(ber.ClassUniversal, ber.TypePrimitive, ber.TagEnumerated, code, ""))
		x.AppendChild(octetString(string(e[:])))
		if cookie > 0 {
			x.AppendChild(octetString("seq=" + strconv.FormatUint(cookie, 10)))
		}
		return newControl(oidSyncState, x)
	}
	notifications, unsubscribe := server.store.subscribe()
	defer unsubscribe()
	for first := true; ; first = false {
		var changed []*Entry
		var deleted [][16]byte
		now, ok := uint64(0), true
		if full && first {
			changed, now = server.store.All()
		} else if changed, deleted, now, ok = server.store.changesSince(seq); !ok {
			done(codeSyncRefreshRequired)
			return
		}
		for _, e := range changed {
			cookie := uint64(0)
			if !first {
				cookie = e.Seq
			}
			if !selects(e) {
				deleted = append(deleted, e.UUID) // it may have been of it before
				continue
			}
			if !sendEntry(e, stateControl(e.UUID, 1, cookie)) {
				return
			}
		}
		if !(full && first) {
			for _, u := range deleted {
				if !sendEntry(&Entry{DN: "", UUID: u}, stateControl(u, 3, 0)) {
					return
				}
			}
		}
		if first {
			if mode == 1 {
				x := ber.NewSequence("")
				x.AppendChild(octetString("seq=" + strconv.FormatUint(now, 10)))
				x.AppendChild(ber.NewBoolean(ber.ClassUniversal, ber.TypePrimitive, ber.TagBoolean, !full, ""))
				done(codeSuccess, newControl(oidSyncDone, x))
				return
			}
			tag := ber.Tag(1) // refreshDelete
			if full {
				tag = 2 // refreshPresent: what was not named is gone
			}
			x := ber.Encode(ber.ClassContext, ber.TypeConstructed, tag, nil, "")
			x.AppendChild(octetString("seq=" + strconv.FormatUint(now, 10)))
			x.AppendChild(ber.NewBoolean(ber.ClassUniversal, ber.TypePrimitive, ber.TagBoolean, true, ""))
			message := ber.Encode(ber.ClassApplication, ber.TypeConstructed, tagIntermediate, nil, "")
			message.AppendChild(contextString(0, oidSyncInfo))
			message.AppendChild(contextString(1, encodedString(x)))
			if !conn.send(id, message, nil) {
				return
			}
		}
		seq = now
		for {
			select {
			case <-notifications:
			case <-canceled:
				return
			case <-conn.closed:
				return
			}
			if !server.currentFaults().Silent {
				break
			}
		}
	}
}

func contextString(tag ber.Tag, s string) *ber.Packet {
	return ber.NewString(ber.ClassContext, ber.TypePrimitive, tag, s, "")
}

var errUnsupportedFilter = errors.New("a filter that is not known")

// matches judges a filter (RFC 4511 section 4.5.1.7): and, or, not, equality, present, at least.
func matchesFilter(filter *ber.Packet, entry *Entry) bool {
	ok, err := evaluateFilter(filter, entry)
	return err == nil && ok
}

func evaluateFilter(filter *ber.Packet, entry *Entry) (bool, error) {
	switch filter.Tag {
	case 0, 1:
		for _, c := range filter.Children {
			ok, err := evaluateFilter(c, entry)
			if err != nil {
				return false, err
			}
			if ok == (filter.Tag == 1) {
				return ok, nil
			}
		}
		return filter.Tag == 0, nil
	case 2:
		if len(filter.Children) != 1 {
			return false, errUnsupportedFilter
		}
		ok, err := evaluateFilter(filter.Children[0], entry)
		return !ok, err
	case 3, 5:
		if len(filter.Children) != 2 {
			return false, errUnsupportedFilter
		}
		name, _ := filter.Children[0].Value.(string)
		value := strings.ToLower(filter.Children[1].Data.String())
		for _, v := range entry.values(name) {
			if v = strings.ToLower(v); v == value || filter.Tag == 5 && v > value {
				return true, nil
			}
		}
		return false, nil
	case 7:
		return len(entry.values(filter.Data.String())) > 0, nil
	}
	return false, errUnsupportedFilter
}
