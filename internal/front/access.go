package front

import (
	"crypto/hmac"
	"crypto/md5"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"maps"
	"slices"
	"strings"

	"pierlink/internal/core"
	"pierlink/internal/rtsp"
	"pierlink/internal/tenants"
)

// AccessControl authenticates accounts and checks which titles they may play. Its core belongs to the front: it is
// called and settled in the front's turns.
type AccessControl struct {
	Core         *tenants.Core
	Lookup       func(tenants.Request)  // starts the directory requests that the core wants
	Realm        string                 // authentication realm; empty disables authentication and trusts the account in the URL
	Basic        bool                   // also accept Basic authentication, over encrypted connections only
	FailedLogins tenants.FailureLimiter // limits failed authentication attempts
	Rows         tenants.QuotaRows      // rows in the module's tenant table for tenants that the settings do not name
}

// nonceSessionTimeouts is the lifetime of a nonce, in session timeouts.
const nonceSessionTimeouts = 8

// authorize starts access control for a new playback.
func (f *Front) authorize(pb *playback, request *rtsp.Message) {
	authorization := parseAuthorization(request.Get("Authorization"))
	pb.credentials = requestCredentials{authorization: authorization, method: request.Method,
		token: request.Get("Come-Again"), requestBytes: requestSize(request)}
	account := pb.target.tenantName
	if f.Access.Realm != "" {
		if account = authorization["username"]; account == "" || !f.Access.FailedLogins.Allow(tenants.Fold(account), hostOf(pb.player.address), f.now) {
			f.challenge(pb, false)
			return
		}
	}
	pb.account = account
	f.requestAuthorization(pb)
}

// requestAuthorization asks the core of the access control; the answer may come in a later turn.
func (f *Front) requestAuthorization(pb *playback) {
	f.lastQueueID++
	pb.authorizationID = f.lastQueueID
	f.authorizing[pb.authorizationID] = pb
	f.authorized(f.Access.Core.Ask(tenants.Query{ID: pb.authorizationID, Account: pb.account, Plan: f.Plans[pb.target.plan].Name,
		Deadline: decisionDeadline(pb.receivedAt, pb.abandonTime), ForceLookup: pb.rechecked}))
}

// authorized handles the answer of the access control. An account without permission and an account that does
// not exist get the same response.
func (f *Front) authorized(answer tenants.Answer) {
	pb := f.authorizing[answer.ID]
	if pb == nil || answer.Verdict == tenants.Pending {
		return
	}
	delete(f.authorizing, answer.ID)
	if pb.authorizationID = 0; pb.finished {
		return
	}
	if f.Access.Realm != "" && answer.Verdict != tenants.Busy {
		if ok, stale := f.verifyCredentials(pb); !ok {
			if !stale && !pb.rechecked { // the password may have changed: look the account up again, known or not
				pb.rechecked = true
				f.requestAuthorization(pb)
				return
			}
			if !stale {
				f.Access.FailedLogins.RecordFailure(tenants.Fold(pb.credentials.authorization["username"]), hostOf(pb.player.address))
			}
			f.challenge(pb, stale)
			return
		}
	}
	switch answer.Verdict {
	case tenants.Allowed:
		pb.target.tenantName = answer.Tenant
		ok := false
		if pb.seat, ok = f.Access.Core.TakeSeat(answer.Tenant); !ok {
			f.Figures.Refused++
			f.reject(pb, retryLaterResponse(f.retryAdvice()))
			return
		}
		pb.target.queueTenant = pb.seat // the directory entry's id survives a rename
		if pb.target.tenant = slices.Index(f.Tenants, answer.Tenant); pb.target.tenant < 0 {
			pb.target.tenant = f.Access.Rows.Row(pb.seat)
		}
		f.enqueue(pb)
	case tenants.Unknown, tenants.PlanNotAllowed:
		f.Figures.Refused++
		f.reject(pb, rtsp.NewResponse(rtsp.StatusForbidden, 0))
	default:
		f.Figures.Refused++
		f.reject(pb, retryLaterResponse(f.retryAdvice()))
	}
}

// challenge answers 401 with a request for credentials (RFC 2326 section 11.3, RFC 7616 section 3.3).
func (f *Front) challenge(pb *playback, stale bool) {
	f.Figures.Refused++
	challenge := `nonce="` + f.newNonce(f.now) + `", algorithm=SHA-256, qop="auth"`
	if stale {
		challenge += ", stale=true"
	}
	response := rtsp.NewResponse(rtsp.StatusUnauthorized, 0).With("WWW-Authenticate", `Digest realm="`+f.Access.Realm+`", `+challenge)
	if f.Access.Basic && pb.player.conn.Secure {
		response.With("WWW-Authenticate", `Basic realm="`+f.Access.Realm+`"`)
	}
	f.reject(pb, response)
	pb.player.lastRefused = nil // the player may retry the playback at once, with credentials
}

// newNonce returns a nonce that holds its time of issue and a MAC of it, so that the front stores no nonces.
func (f *Front) newNonce(at Time) string {
	if f.nonceMAC == nil {
		f.nonceMAC = hmac.New(sha256.New, f.Secret)
	}
	b := append(binary.BigEndian.AppendUint64(make([]byte, 0, 64), uint64(at)), "nonce"...)
	f.nonceMAC.Reset()
	f.nonceMAC.Write(b)
	return base64.RawURLEncoding.EncodeToString(append(b[:8], f.nonceMAC.Sum(nil)[:12]...))
}

// parseAuthorization parses an Authorization header into its parameters. The scheme is under the empty name,
// and Basic credentials are under username and password.
func parseAuthorization(header string) map[string]string {
	scheme, rest, _ := strings.Cut(strings.TrimSpace(header), " ")
	parameters := map[string]string{"": strings.ToLower(scheme)}
	if parameters[""] == "basic" {
		b, err := base64.StdEncoding.DecodeString(strings.TrimSpace(rest))
		if err != nil {
			return parameters
		}
		parameters["username"], parameters["password"], _ = strings.Cut(string(b), ":")
		return parameters
	}
	for len(rest) > 0 { // name=value or name="value", separated by commas
		name, after, ok := strings.Cut(rest, "=")
		if !ok {
			break
		}
		name = strings.ToLower(strings.Trim(name, " ,\t"))
		if after = strings.TrimLeft(after, " "); strings.HasPrefix(after, `"`) {
			end := 1
			var b strings.Builder
			for ; end < len(after) && after[end] != '"'; end++ {
				if after[end] == '\\' && end+1 < len(after) {
					end++
				}
				b.WriteByte(after[end])
			}
			parameters[name], rest = b.String(), after[min(end+1, len(after)):]
			continue
		}
		value, next, _ := strings.Cut(after, ",")
		parameters[name], rest = strings.TrimSpace(value), next
	}
	return parameters
}

// unknownAccountDigest replaces the digest of an unknown account, so that the check takes as long as for a
// known one.
var unknownAccountDigest = strings.Repeat("0", 64)

// verifyCredentials checks a playback's credentials against the directory's digest. stale reports that they are
// valid but for a nonce that is too old or was issued by another process.
func (f *Front) verifyCredentials(pb *playback) (ok, stale bool) {
	params := pb.credentials.authorization
	ha1, known := f.Access.Core.Digest(params["username"])
	if !known {
		ha1 = unknownAccountDigest
	}
	legacyMD5 := len(ha1) == 2*md5.Size // the directory holds MD5 digests, from before RFC 7616
	hash := func(parts ...string) string {
		b := f.scratch[:0]
		for i, part := range parts {
			if i > 0 {
				b = append(b, ':')
			}
			b = append(b, part...)
		}
		if f.scratch = b; legacyMD5 {
			sum := md5.Sum(b)
			return hex.EncodeToString(sum[:])
		}
		sum := sha256.Sum256(b)
		return hex.EncodeToString(sum[:])
	}
	equal := func(x, y string) bool { return subtle.ConstantTimeCompare([]byte(x), []byte(y)) == 1 }
	if params[""] == "basic" {
		return equal(hash(params["username"], f.Access.Realm, params["password"]), ha1) && known &&
			f.Access.Basic && pb.player.conn.Secure, false
	}
	expected := hash(ha1, params["nonce"], params["nc"], params["cnonce"], params["qop"],
		hash(pb.credentials.method, params["uri"]))
	if params["qop"] == "" { // client of RFC 2069
		expected = hash(ha1, params["nonce"], hash(pb.credentials.method, params["uri"]))
	}
	valid := equal(expected, params["response"]) && known && params[""] == "digest" &&
		params["realm"] == f.Access.Realm && strings.HasPrefix(params["uri"], pb.target.pathPrefix())
	b, err := base64.RawURLEncoding.DecodeString(params["nonce"])
	if err != nil || len(b) != 20 {
		return false, valid
	}
	issuedAt := Time(binary.BigEndian.Uint64(b))
	fresh := equal(f.newNonce(issuedAt), params["nonce"]) && issuedAt <= f.now && f.now-issuedAt < nonceSessionTimeouts*f.SessionTimeout
	return valid && fresh, valid && !fresh
}

// pathPrefix returns the common beginning of a playback's URLs, without query.
func (target *playbackTarget) pathPrefix() string {
	base, _, _ := strings.Cut(target.baseURL, "?")
	return base
}

// applyShares passes the tenant shares that changed in a turn to the module and to the admission queue, all at
// once. It returns when it is due next.
func (f *Front) applyShares() Time {
	rows := &f.Access.Rows
	rows.First, rows.Size, rows.ReuseDelay = len(f.Tenants), len(f.Site.Tenants), f.SessionTimeout
	weights := map[string]float64{}
	for _, record := range f.changedShares {
		if i := slices.Index(f.Tenants, record.Name); i >= 0 {
			f.Site.Tenants[i].QuotaPerS = record.Quota
		} else {
			rows.SetQuota(record.ID, record.Quota)
		}
		weights[record.ID] = record.Weight
		if record.Weight == 0 && f.Queue != nil && record.Kind == tenants.Tenant { // no weight in the directory: use the one in the settings
			weights[record.ID] = f.Queue.Weights[record.Name]
		}
	}
	f.changedShares = f.changedShares[:0]
	next := rows.Process(f.now, func(i int, quota float64) { f.Site.Tenants[i].QuotaPerS = quota })
	if f.queue != nil && f.Queue != nil && len(weights) > 0 {
		terms := *f.Queue
		terms.Weights = maps.Clone(f.Queue.Weights)
		if terms.Weights == nil {
			terms.Weights = map[string]float64{}
		}
		for id, weight := range weights {
			if terms.Weights[id] = weight; weight == 0 {
				delete(terms.Weights, id)
			}
		}
		f.Queue = &terms
		f.queue.Reconfigure(terms)
	}
	if next == 0 {
		return core.Never
	}
	return next
}

// TenantName returns the name of a tenant in the admission queue: the directory entry's name, or the id itself.
func (f *Front) TenantName(id string) string {
	if f.Access != nil {
		if name := f.Access.Core.Name(id); name != "" {
			return name
		}
	}
	return id
}

// requestCredentials holds the credentials of a playback's first SETUP and what is needed of that request later.
type requestCredentials struct {
	authorization map[string]string // parameters of the Authorization header
	method, token string            // the token is that of Come-Again
	requestBytes  int
}

func requestSize(request *rtsp.Message) int {
	bytes := len(request.URI) + len(request.Body)
	for i := range request.Header {
		bytes += len(request.Header[i].Name) + len(request.Header[i].Value)
	}
	return bytes
}
