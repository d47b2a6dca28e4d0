package client

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/go-ldap/ldap/v3"

	"pierlink/internal/tenants"
)

const (
	maxNameBytes = 64
	maxPlans     = 64
	maxNumber    = 1e9
)

// Read makes a record of an entry. Attributes (docs/tenants.md): of pierlinkTenant cn, pierlinkPlan,
// pierlinkWeight, pierlinkQuota, pierlinkSeats; of pierlinkMember uid, pierlinkTenant, pierlinkPlan,
// pierlinkDigest; of both entryUUID, and modifyTimestamp where it is told. The error says what was expected.
func Read(e *ldap.Entry) (r tenants.Record, err error) {
	one := func(name string, most int, need bool) string {
		all := e.GetEqualFoldAttributeValues(name)
		switch {
		case err != nil:
		case len(all) == 0 && need:
			err = fmt.Errorf("%s: a value is expected", name)
		case len(all) > 1:
			err = fmt.Errorf("%s: one value is expected, there are %d", name, len(all))
		case len(all) == 1 && (len(all[0]) > most || !utf8.ValidString(all[0]) || strings.ContainsAny(all[0], "\x00\r\n")):
			err = fmt.Errorf("%s: at most %d bytes of text in UTF-8 are expected", name, most)
		case len(all) == 1:
			return strings.TrimSpace(all[0])
		}
		return ""
	}
	number := func(name string) float64 {
		s := one(name, maxNameBytes, false)
		if s == "" || err != nil {
			return 0
		}
		x, bad := strconv.ParseFloat(s, 64)
		if bad != nil || !(x >= 0 && x <= maxNumber) {
			err = fmt.Errorf("%s: a number from 0 on is expected", name)
		}
		return x
	}
	r.DN = strings.ToLower(e.DN)
	r.ID, r.Stamp = entryUUID(e), modifyStamp(e)
	if _ = one("entryUUID", maxNameBytes, true); err != nil {
		return r, err
	}
	switch classes := e.GetEqualFoldAttributeValues("objectClass"); {
	case slices.ContainsFunc(classes, func(s string) bool { return strings.EqualFold(s, "pierlinkTenant") }):
		r.Kind, r.Name = tenants.Tenant, one("cn", maxNameBytes, true)
		r.Weight, r.Quota, r.Seats = number("pierlinkWeight"), number("pierlinkQuota"), int(number("pierlinkSeats"))
	case slices.ContainsFunc(classes, func(s string) bool { return strings.EqualFold(s, "pierlinkMember") }):
		r.Kind, r.Name, r.Tenant = tenants.Member, one("uid", maxNameBytes, true), one("pierlinkTenant", maxNameBytes, true)
		r.Digest = one("pierlinkDigest", maxNameBytes, false)
	default:
		err = errors.New("objectClass: pierlinkTenant or pierlinkMember is expected")
	}
	if err == nil && r.Name == "" {
		err = errors.New("a name that is not empty is expected")
	}
	for _, p := range e.GetEqualFoldAttributeValues("pierlinkPlan") {
		if p = strings.TrimSpace(p); len(p) > maxNameBytes || !utf8.ValidString(p) {
			err = errors.Join(err, errors.New("pierlinkPlan: names of plans are expected"))
		} else if p != "" && !slices.Contains(r.Plans, p) {
			r.Plans = append(r.Plans, p)
		}
	}
	if len(r.Plans) > maxPlans {
		err = errors.Join(err, fmt.Errorf("pierlinkPlan: at most %d values are expected", maxPlans))
	}
	return r, err
}

func entryUUID(e *ldap.Entry) string {
	return strings.ToLower(e.GetEqualFoldAttributeValue("entryUUID"))
}

// stamp is an entry's modifyTimestamp, 0 where there is none that can be read: generalized time (RFC 4517 section
// 3.3.13) in UTC, with or without parts of a second.
func modifyStamp(e *ldap.Entry) tenants.Time {
	t, err := time.Parse("20060102150405Z", e.GetEqualFoldAttributeValue("modifyTimestamp"))
	if err != nil || t.Year() < 1970 {
		return 0
	}
	return t.UnixMicro()
}

// generalized writes a time for a filter, in whole seconds.
func generalizedTime(t tenants.Time) string { return time.UnixMicro(t).UTC().Format("20060102150405Z") }
