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

// Faults holds the faults that are currently injected into a server.
type Faults struct {
	Stall             bool          // requests are not answered
	ResponseDelay     time.Duration // delay before each response
	TruncateAfter     int           // a search closes its connection after this many entries; 0 disables
	Busy              bool          // every search returns busy (51)
	SilentSync        bool          // synchronization streams deliver no changes and stay open
	NoSync            bool          // content synchronization is unsupported (12)
	RejectPageCookies bool          // cookies of paged searches are rejected (53)
	Referral          string        // LDAP URL that every search returns as a referral (RFC 4511 section 4.1.10)
	ContinuationRef   string        // LDAP URL that every search returns as a continuation reference (section 4.5.3)
}

// Protocol operation tags and result codes of RFC 4511 and RFC 4533, and the object identifiers of the controls.
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

// Server serves a store over LDAP on a TCP socket.
type Server struct {
	store    *Store
	listener net.Listener
	mu       sync.Mutex
	faults   Faults
	password string // required of every bind except anonymous ones
	conns    map[net.Conn]struct{}
	pages    map[string][]*Entry // remaining entries by cookie of a paged search
	lastPage int
	handlers sync.WaitGroup
	Searches atomic.Int64 // search requests received
}

// Serve starts a server for a store on a TCP address.
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

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetPassword replaces the password that is required of every bind except anonymous ones.
func (s *Server) SetPassword(password string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.password = password
}

func (s *Server) requiredPassword() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.password
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// CloseConnections closes all connections.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// Stop closes the listener and all connections, and waits for their handlers.
func (s *Server) Stop() {
	_ = s.listener.Close()
	s.SetFaults(Faults{})
	s.CloseConnections()
	s.handlers.Wait()
}

// connection is one client connection.
type connection struct {
	server   *Server
	netConn  net.Conn
	mu       sync.Mutex // guards cancels and writes to netConn
	closed   chan struct{}
	searches sync.WaitGroup
	cancels  map[int64]chan struct{} // searches by message id; closing a channel abandons the search
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
		time.Sleep(s.currentFaults().ResponseDelay)
		switch op.Tag {
		case tagBind:
			code := codeSuccess
			if len(op.Children) < 3 {
				code = codeProtocolError
			} else if name, _ := op.Children[1].Value.(string); name != "" && op.Children[2].Data.String() != s.requiredPassword() {
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
			conn.send(id, newResult(int(op.Tag)+1, conn.update(op)), nil) // the tag of a response is one above its request's
		default:
			conn.send(id, newResult(tagSearchResultDone, codeProtocolError), nil)
		}
	}
}

// newResult returns a response that consists of an LDAPResult without matched DN and diagnostic message.
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

// newControl returns a control with its value.
func newControl(oid string, value *ber.Packet) *ber.Packet {
	control := ber.NewSequence("")
	control.AppendChild(octetString(oid))
	control.AppendChild(octetString(encodedString(value)))
	return control
}

// send writes a message and reports whether the write succeeded.
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

// encodeEntry encodes an entry with the requested attributes: all user attributes, or those named (RFC 4511 section
// 4.5.1.8).
func encodeEntry(entry *Entry, requestedNames []string) *ber.Packet {
	packet := ber.Encode(ber.ClassApplication, ber.TypeConstructed, tagSearchResultEntry, nil, "")
	packet.AppendChild(octetString(entry.DN))
	attrs := ber.NewSequence("")
	add := func(name string, values []string) {
		attr := ber.NewSequence("")
		attr.AppendChild(octetString(name))
		set := ber.Encode(ber.ClassUniversal, ber.TypeConstructed, ber.TagSet, nil, "")
		for _, v := range values {
			set.AppendChild(octetString(v))
		}
		attr.AppendChild(set)
		attrs.AppendChild(attr)
	}
	requested := func(name string) bool {
		return slices.ContainsFunc(requestedNames, func(other string) bool { return strings.EqualFold(other, name) })
	}
	for _, k := range sortedNames(entry.Attrs) {
		if len(requestedNames) == 0 || requested("*") || requested(k) {
			add(k, entry.Attrs[k])
		}
	}
	for _, k := range []string{"entryUUID", "modifyTimestamp"} {
		if requested(k) {
			add(k, entry.values(k))
		}
	}
	packet.AppendChild(attrs)
	return packet
}

// FormatUUID formats a UUID in its text form (RFC 4122).
func FormatUUID(uuid [16]byte) string {
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

// search serves a search request: in full, paged, or as content synchronization.
func (conn *connection) search(id int64, op *ber.Packet, controls []*ber.Packet, canceled chan struct{}) {
	server := conn.server
	done := func(code int, controls ...*ber.Packet) { conn.send(id, newResult(tagSearchResultDone, code), controls) }
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
	if faults.Referral != "" {
		response := newResult(tagSearchResultDone, codeReferral)
		referral := ber.Encode(ber.ClassContext, ber.TypeConstructed, 3, nil, "")
		referral.AppendChild(octetString(faults.Referral))
		response.AppendChild(referral)
		conn.send(id, response, nil)
		return
	}
	if faults.ContinuationRef != "" {
		response := ber.Encode(ber.ClassApplication, ber.TypeConstructed, tagSearchResultReference, nil, "")
		response.AppendChild(octetString(faults.ContinuationRef))
		conn.send(id, response, nil)
	}
	sent := 0
	sendEntry := func(e *Entry, controls ...*ber.Packet) bool {
		if faults.TruncateAfter > 0 && sent >= faults.TruncateAfter {
			_ = conn.netConn.Close()
			return false
		}
		sent++
		return conn.send(id, encodeEntry(e, requestedNames), controls)
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

// pagedSearch returns one page of results (RFC 2696). Its size estimate is deliberately wrong, as the RFC allows.
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

// syncSearch serves content synchronization (RFC 4533): with a cookie the changes and deletions since then, without
// one all entries. In refreshAndPersist mode it then sends further changes as they occur.
func (conn *connection) syncSearch(id int64, request *ber.Packet, selects func(*Entry) bool, sendEntry func(*Entry, ...*ber.Packet) bool,
	done func(int, ...*ber.Packet), canceled chan struct{}) {
	server := conn.server
	mode, seq, full := int64(1), uint64(0), true
	for _, field := range request.Children {
		switch field.Tag {
		case ber.TagEnumerated:
			mode, _ = field.Value.(int64)
		case ber.TagOctetString:
			n, err := strconv.ParseUint(strings.TrimPrefix(field.Data.String(), "seq="), 10, 64)
			if err != nil {
				done(codeSyncRefreshRequired)
				return
			}
			seq, full = n, false
		}
	}
	stateControl := func(uuid [16]byte, code int64, cookie uint64) *ber.Packet {
		value := ber.NewSequence("")
		value.AppendChild(ber.NewInteger(ber.ClassUniversal, ber.TypePrimitive, ber.TagEnumerated, code, ""))
		value.AppendChild(octetString(string(uuid[:])))
		if cookie > 0 {
			value.AppendChild(octetString("seq=" + strconv.FormatUint(cookie, 10)))
		}
		return newControl(oidSyncState, value)
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
				deleted = append(deleted, e.UUID) // it may have matched the search before
				continue
			}
			if !sendEntry(e, stateControl(e.UUID, 1, cookie)) {
				return
			}
		}
		if !(full && first) {
			for _, uuid := range deleted {
				if !sendEntry(&Entry{DN: "", UUID: uuid}, stateControl(uuid, 3, 0)) {
					return
				}
			}
		}
		if first {
			if mode == 1 {
				value := ber.NewSequence("")
				value.AppendChild(octetString("seq=" + strconv.FormatUint(now, 10)))
				value.AppendChild(ber.NewBoolean(ber.ClassUniversal, ber.TypePrimitive, ber.TagBoolean, !full, ""))
				done(codeSuccess, newControl(oidSyncDone, value))
				return
			}
			tag := ber.Tag(1) // refreshDelete
			if full {
				tag = 2 // refreshPresent: entries that were not sent no longer exist
			}
			value := ber.Encode(ber.ClassContext, ber.TypeConstructed, tag, nil, "")
			value.AppendChild(octetString("seq=" + strconv.FormatUint(now, 10)))
			value.AppendChild(ber.NewBoolean(ber.ClassUniversal, ber.TypePrimitive, ber.TagBoolean, true, ""))
			message := ber.Encode(ber.ClassApplication, ber.TypeConstructed, tagIntermediate, nil, "")
			message.AppendChild(contextString(0, oidSyncInfo))
			message.AppendChild(contextString(1, encodedString(value)))
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
			if !server.currentFaults().SilentSync {
				break
			}
		}
	}
}

// contextString returns a string with a context-specific tag.
func contextString(tag ber.Tag, s string) *ber.Packet {
	return ber.NewString(ber.ClassContext, ber.TypePrimitive, tag, s, "")
}

var errUnsupportedFilter = errors.New("unsupported or malformed search filter")

// matchesFilter reports whether an entry matches a filter (RFC 4511 section 4.5.1.7): and, or, not, equalityMatch,
// greaterOrEqual and present. Any other filter matches nothing.
func matchesFilter(filter *ber.Packet, entry *Entry) bool {
	ok, err := evaluateFilter(filter, entry)
	return err == nil && ok
}

func evaluateFilter(filter *ber.Packet, entry *Entry) (bool, error) {
	switch filter.Tag {
	case 0, 1: // and, or
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
	case 2: // not
		if len(filter.Children) != 1 {
			return false, errUnsupportedFilter
		}
		ok, err := evaluateFilter(filter.Children[0], entry)
		return !ok, err
	case 3, 5: // equalityMatch, greaterOrEqual
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
	case 7: // present
		return len(entry.values(filter.Data.String())) > 0, nil
	}
	return false, errUnsupportedFilter
}
