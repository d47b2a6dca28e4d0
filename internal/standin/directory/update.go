package directory

import (
	"slices"
	"strings"

	ber "github.com/go-asn1-ber/asn1-ber"
)

// update carries out a Modify, Add, Delete or Modify DN operation (RFC 4511 sections 4.6 to 4.9) and returns its
// result code.
func (conn *connection) update(op *ber.Packet) int {
	switch op.Tag {
	case tagDelete:
		if !conn.server.store.Delete(op.Data.String()) {
			return codeNoSuchObject
		}
		return codeSuccess
	case tagAdd:
		if len(op.Children) < 2 {
			return codeProtocolError
		}
		dn := op.Children[0].Data.String()
		if conn.server.store.Get(dn) != nil {
			return codeEntryAlreadyExists
		}
		attrs := map[string][]string{}
		for _, attr := range op.Children[1].Children {
			name, values, ok := parseAttribute(attr)
			if !ok {
				return codeProtocolError
			}
			attrs[name] = values
		}
		conn.server.store.Put(dn, attrs)
		return codeSuccess
	case tagModifyDN:
		return conn.rename(op)
	}
	return conn.modify(op)
}

// parseAttribute returns the lower-cased name and the values of an attribute; ok is false if it is malformed.
func parseAttribute(attr *ber.Packet) (name string, values []string, ok bool) {
	if len(attr.Children) < 2 {
		return "", nil, false
	}
	for _, v := range attr.Children[1].Children {
		values = append(values, v.Data.String())
	}
	return strings.ToLower(attr.Children[0].Data.String()), values, true
}

// modify applies all changes of a Modify operation, or none of them.
func (conn *connection) modify(op *ber.Packet) int {
	if len(op.Children) < 2 {
		return codeProtocolError
	}
	dn := op.Children[0].Data.String()
	entry := conn.server.store.Get(dn)
	if entry == nil {
		return codeNoSuchObject
	}
	attrs := map[string][]string{}
	for k, v := range entry.Attrs {
		attrs[k] = slices.Clone(v)
	}
	const add, del, replace = 0, 1, 2
	for _, change := range op.Children[1].Children {
		if len(change.Children) < 2 {
			return codeProtocolError
		}
		operation, _ := change.Children[0].Value.(int64)
		name, values, ok := parseAttribute(change.Children[1])
		if !ok {
			return codeProtocolError
		}
		switch operation {
		case add:
			attrs[name] = append(attrs[name], values...)
		case replace:
			attrs[name] = values
		case del:
			if len(attrs[name]) == 0 {
				return codeNoSuchAttribute
			}
			remaining := slices.DeleteFunc(attrs[name], func(v string) bool { return len(values) == 0 || slices.Contains(values, v) })
			attrs[name] = remaining
		default:
			return codeProtocolError
		}
		if len(attrs[name]) == 0 {
			delete(attrs, name)
		}
	}
	conn.server.store.Put(dn, attrs)
	return codeSuccess
}

// rename changes the RDN of an entry, and moves it below another parent where the request names one.
func (conn *connection) rename(op *ber.Packet) int {
	if len(op.Children) < 3 {
		return codeProtocolError
	}
	dn, newRDN := op.Children[0].Data.String(), op.Children[1].Data.String()
	_, parent, _ := strings.Cut(dn, ",")
	if len(op.Children) > 3 {
		parent = op.Children[3].Data.String()
	}
	switch {
	case conn.server.store.Get(dn) == nil:
		return codeNoSuchObject
	case !conn.server.store.Rename(dn, newRDN+","+parent):
		return codeEntryAlreadyExists
	}
	return codeSuccess
}
