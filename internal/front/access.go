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

// Gate is who may play what. Its core is the front's own: asked in its turns, and settled with it.
type Gate struct {
	Core    *tenants.Core
	Ask     func(tenants.Want) // carries out what the core wants to know
	Realm   string             // of authentication; empty for none: accounts are taken at their word
	Basic   bool               // passwords are taken too, over encrypted connections only
	Guesses tenants.Guesses
	Rows    tenants.Rows // of tenants that the settings do not name, in the module's table
}

// nonceFor is how long a nonce is good, in session time-outs.
const nonceSessionTimeouts = 8

// gated puts a new playback before the gate.
func (f *Front) authorize(pb *playback, message *rtsp.Message) {
	authorization := parseAuthorization(message.Get("Authorization"))
	pb.credentials = requestCredentials{authorization: authorization, method: message.Method, token: message.Get("Come-Again"), requestBytes: requestSize(message)}
	account := pb.target.tenantName
	if f.Gate.Realm != "" {
		if account = authorization["username"]; account == "" || !f.Gate.Guesses.May(tenants.Fold(account), hostOf(pb.player.address), f.now) {
			f.challenge(pb, false)
			return
		}
	}
	pb.account = account
	f.requestAuthorization(pb)
}

// question asks the gate's core.
func (f *Front) requestAuthorization(pb *playback) {
	f.lastQueueID++
	pb.authorizationID = f.lastQueueID
	f.authorizing[pb.authorizationID] = pb
	f.authorized(f.Gate.Core.Ask(tenants.Question{ID: pb.authorizationID, Account: pb.account, Plan: f.Plans[pb.target.plan].Name,
		Until: decisionDeadline(pb.receivedAt, pb.abandonTime), Doubt: pb.rechecked}))
}

// admitted takes the gate's answer. What an account may not do and one that does not exist get the same.
func (f *Front) authorized(answer tenants.Answer) {
	pb := f.authorizing[answer.ID]
	if pb == nil || answer.Verdict == tenants.Wait {
		return
	}
	delete(f.authorizing, answer.ID)
	if pb.authorizationID = 0; pb.finished {
		return
	}
	if f.Gate.Realm != "" && answer.Verdict != tenants.Busy {
		if ok, stale := f.verifyCredentials(pb); !ok {
			if !stale && !pb.rechecked { // the password may be new; and one that is not there has been looked up too
				pb.rechecked = true
				f.requestAuthorization(pb)
				return
			}
			if !stale {
				f.Gate.Guesses.Failed(tenants.Fold(pb.credentials.authorization["username"]), hostOf(pb.player.address))
			}
			f.challenge(pb, stale)
			return
		}
	}
	switch answer.Verdict {
	case tenants.Allowed:
		pb.target.tenantName = answer.Tenant
		ok := false
		if pb.seat, ok = f.Gate.Core.Plays(answer.Tenant); !ok {
			f.Figures.Refused++
			f.reject(pb, retryLaterResponse(f.retryAdvice()))
			return
		}
		pb.target.queueTenant = pb.seat // over a rename too
		if pb.target.tenant = slices.Index(f.Tenants, answer.Tenant); pb.target.tenant < 0 {
			pb.target.tenant = f.Gate.Rows.Row(pb.seat)
		}
		f.enqueue(pb)
	case tenants.Unknown, tenants.NotPlan:
		f.Figures.Refused++
		f.reject(pb, rtsp.Answer(rtsp.StatusForbidden, 0))
	default:
		f.Figures.Refused++
		f.reject(pb, retryLaterResponse(f.retryAdvice()))
	}
}

// unauthorised asks for credentials (RFC 2326 section 11.3, RFC 7616 section 3.3).
func (f *Front) challenge(pb *playback, stale bool) {
	f.Figures.Refused++
	challenge := `nonce="` + f.newNonce(f.now) + `", algorithm=SHA-256, qop="auth"`
	if stale {
		challenge += ", stale=true"
	}
	response := rtsp.Answer(rtsp.StatusUnauthorized, 0).With("WWW-Authenticate", `Digest realm="`+f.Gate.Realm+`", `+challenge)
	if f.Gate.Basic && pb.player.conn.Secure {
		response.With("WWW-Authenticate", `Basic realm="`+f.Gate.Realm+`"`)
	}
	f.reject(pb, response)
	pb.player.lastRefused = nil // the same playback may come again at once, with credentials
}

// nonce says when it was made, under a key: nothing is kept for it.
func (f *Front) newNonce(at Time) string {
	if f.nonceMAC == nil {
		f.nonceMAC = hmac.New(sha256.New, f.Secret)
	}
	b := append(binary.BigEndian.AppendUint64(make([]byte, 0, 64), uint64(at)), "nonce"...)
	f.nonceMAC.Reset()
	f.nonceMAC.Write(b)
	return base64.RawURLEncoding.EncodeToString(append(b[:8], f.nonceMAC.Sum(nil)[:12]...))
}

// credentials reads an Authorization header: the scheme under "", a Basic's parts as username and password.
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
	for len(rest) > 0 { // name=value or name="value", with commas between
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

// unknown stands for the secret of an account that is not there: what is done for it takes as long.
var unknownAccountDigest = strings.Repeat("0", 64)

// proved checks a playback's credentials against what the directory has. stale tells of a nonce that is too old,
// or another process's, under which the proof itself may be good.
func (f *Front) verifyCredentials(pb *playback) (ok, stale bool) {
	authorization := pb.credentials.authorization
	ha1, known := f.Gate.Core.Digest(authorization["username"])
	if !known {
		ha1 = unknownAccountDigest
	}
	legacyMD5 := len(ha1) == 2*md5.Size // a directory of before RFC 7616
	hash := func(parts ...string) string {
		b := f.scratch[:0]
		for i, p := range parts {
			if i > 0 {
				b = append(b, ':')
			}
			b = append(b, p...)
		}
		if f.scratch = b; legacyMD5 {
			x := md5.Sum(b)
			return hex.EncodeToString(x[:])
		}
		x := sha256.Sum256(b)
		return hex.EncodeToString(x[:])
	}
	equal := func(x, y string) bool { return subtle.ConstantTimeCompare([]byte(x), []byte(y)) == 1 }
	if authorization[""] == "basic" {
		return equal(hash(authorization["username"], f.Gate.Realm, authorization["password"]), ha1) && known && f.Gate.Basic && pb.player.conn.Secure, false
	}
	expected := hash(ha1, authorization["nonce"], authorization["nc"], authorization["cnonce"], authorization["qop"], hash(pb.credentials.method, authorization["uri"]))
	if authorization["qop"] == "" { // RFC 2069
		expected = hash(ha1, authorization["nonce"], hash(pb.credentials.method, authorization["uri"]))
	}
	valid := equal(expected, authorization["response"]) && known && authorization[""] == "digest" && authorization["realm"] == f.Gate.Realm && strings.HasPrefix(authorization["uri"], pb.target.pathPrefix())
	b, err := base64.RawURLEncoding.DecodeString(authorization["nonce"])
	if err != nil || len(b) != 20 {
		return false, valid
	}
	issuedAt := Time(binary.BigEndian.Uint64(b))
	fresh := equal(f.newNonce(issuedAt), authorization["nonce"]) && issuedAt <= f.now && f.now-issuedAt < nonceSessionTimeouts*f.SessionTimeout
	return valid && fresh, valid && !fresh
}

// path is the beginning of a playback's URLs, without query.
func (target *playbackTarget) pathPrefix() string {
	base, _, _ := strings.Cut(target.baseURL, "?")
	return base
}

// share gives tenants' shares that have changed to the module and to the door, all of a turn in one go. It tells when
// it wants to be called again.
func (f *Front) applyShares() Time {
	rows := &f.Gate.Rows
	rows.First, rows.Size, rows.Rest = len(f.Tenants), len(f.Site.Tenants), f.SessionTimeout
	weights := map[string]float64{}
	for _, record := range f.changedShares {
		if i := slices.Index(f.Tenants, record.Name); i >= 0 {
			f.Site.Tenants[i].QuotaPerS = record.Quota
		} else {
			rows.Want(record.ID, record.Quota)
		}
		weights[record.ID] = record.Weight
		if record.Weight == 0 && f.Queue != nil && record.Kind == tenants.Tenant { // none of its own: what the settings say for its name
			weights[record.ID] = f.Queue.Weights[record.Name]
		}
	}
	f.changedShares = f.changedShares[:0]
	next := rows.Settle(f.now, func(i int, quota float64) { f.Site.Tenants[i].QuotaPerS = quota })
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
		f.queue.Tell(terms)
	}
	if next == 0 {
		return core.Never
	}
	return next
}

// Named is the name of who has a standing at the door.
func (f *Front) Named(standing string) string {
	if f.Gate != nil {
		if name := f.Gate.Core.Name(standing); name != "" {
			return name
		}
	}
	return standing
}

// proof is what a playback brought to show who it is, and what is needed of its request later.
type requestCredentials struct {
	authorization map[string]string
	method, token string
	requestBytes  int
}

func requestSize(message *rtsp.Message) int {
	bytes := len(message.URI) + len(message.Body)
	for i := range message.Header {
		bytes += len(message.Header[i].Name) + len(message.Header[i].Value)
	}
	return bytes
}
