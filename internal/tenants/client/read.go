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
	maxNameBytes = 64 // of any single value
	maxPlans     = 64
	maxNumber    = 1e9
)

// Read decodes an entry into a record. It reads these attributes (docs/tenants.md): cn, pierlinkPlan, pierlinkWeight,
// pierlinkQuota and pierlinkSeats of a pierlinkTenant; uid, pierlinkTenant, pierlinkPlan and pierlinkDigest of a
// pierlinkMember; entryUUID of both, and modifyTimestamp if present. The error states what was expected.
func Read(entry *ldap.Entry) (record tenants.Record, err error) {
	single := func(name string, maxBytes int, required bool) string {
		values := entry.GetEqualFoldAttributeValues(name)
		switch {
		case err != nil:
		case len(values) == 0 && required:
			err = fmt.Errorf("%s: missing, expected a value", name)
		case len(values) > 1:
			err = fmt.Errorf("%s: expected one value, found %d", name, len(values))
		case len(values) == 1 && (len(values[0]) > maxBytes || !utf8.ValidString(values[0]) || strings.ContainsAny(values[0], "\x00\r\n")):
			err = fmt.Errorf("%s: expected at most %d bytes of UTF-8 text in one line", name, maxBytes)
		case len(values) == 1:
			return strings.TrimSpace(values[0])
		}
		return ""
	}
	number := func(name string) float64 {
		text := single(name, maxNameBytes, false)
		if text == "" || err != nil {
			return 0
		}
		parsed, parseErr := strconv.ParseFloat(text, 64)
		if parseErr != nil || !(parsed >= 0 && parsed <= maxNumber) {
			err = fmt.Errorf("%s: expected a number of 0 or more", name)
		}
		return parsed
	}
	record.DN = strings.ToLower(entry.DN)
	record.ID, record.Stamp = entryUUID(entry), modifyStamp(entry)
	if _ = single("entryUUID", maxNameBytes, true); err != nil {
		return record, err
	}
	switch classes := entry.GetEqualFoldAttributeValues("objectClass"); {
	case slices.ContainsFunc(classes, func(class string) bool { return strings.EqualFold(class, "pierlinkTenant") }):
		record.Kind, record.Name = tenants.Tenant, single("cn", maxNameBytes, true)
		record.Weight, record.Quota, record.Seats = number("pierlinkWeight"), number("pierlinkQuota"), int(number("pierlinkSeats"))
	case slices.ContainsFunc(classes, func(class string) bool { return strings.EqualFold(class, "pierlinkMember") }):
		record.Kind, record.Name, record.Tenant = tenants.Member, single("uid", maxNameBytes, true), single("pierlinkTenant", maxNameBytes, true)
		record.Digest = single("pierlinkDigest", maxNameBytes, false)
	default:
		err = errors.New("objectClass: expected pierlinkTenant or pierlinkMember")
	}
	if err == nil && record.Name == "" {
		err = errors.New("name: expected a value that is not empty")
	}
	for _, plan := range entry.GetEqualFoldAttributeValues("pierlinkPlan") {
		if plan = strings.TrimSpace(plan); len(plan) > maxNameBytes || !utf8.ValidString(plan) {
			err = errors.Join(err, errors.New("pierlinkPlan: expected a plan name of valid length in UTF-8"))
		} else if plan != "" && !slices.Contains(record.Plans, plan) {
			record.Plans = append(record.Plans, plan)
		}
	}
	if len(record.Plans) > maxPlans {
		err = errors.Join(err, fmt.Errorf("pierlinkPlan: expected at most %d values", maxPlans))
	}
	return record, err
}

// entryUUID returns the id of an entry in lower case.
func entryUUID(entry *ldap.Entry) string {
	return strings.ToLower(entry.GetEqualFoldAttributeValue("entryUUID"))
}

// modifyStamp returns the modifyTimestamp of an entry, 0 if it is missing or invalid: generalized time (RFC 4517
// section 3.3.13) in UTC, with or without fractional seconds.
func modifyStamp(entry *ldap.Entry) tenants.Time {
	t, err := time.Parse("20060102150405Z", entry.GetEqualFoldAttributeValue("modifyTimestamp"))
	if err != nil || t.Year() < 1970 {
		return 0
	}
	return t.UnixMicro()
}

// generalizedTime formats a time for a filter, in whole seconds.
func generalizedTime(t tenants.Time) string { return time.UnixMicro(t).UTC().Format("20060102150405Z") }
