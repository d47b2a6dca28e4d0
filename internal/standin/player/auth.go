package player

import (
	"crypto/md5"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"hash"
	"regexp"
	"strings"

	"pierlink/internal/rtsp"
)

const maxAuthAttempts = 2 // the second covers a nonce that was stale at the first

// challengeParam matches one parameter of a WWW-Authenticate challenge.
var challengeParam = regexp.MustCompile(`(\w+)="?([^",]*)"?`)

// authorization returns the Authorization header of a request: Digest (RFC 7616), or Basic (RFC 7617) if the profile
// selects it and the front offers it. It is empty before a challenge.
func (a *playAttempt) authorization(method, uri string) string {
	return Authorization(a.challenge, a.profile.Account, a.profile.Password, method, uri)
}

// Authorization returns the Authorization header that answers a challenge; it is empty without a challenge or an account.
func Authorization(challenge, account, password, method, uri string) string {
	if challenge == "" || account == "" {
		return ""
	}
	if strings.HasPrefix(challenge, "Basic ") {
		return "Basic " + base64.StdEncoding.EncodeToString([]byte(account+":"+password))
	}
	params := map[string]string{}
	for _, m := range challengeParam.FindAllStringSubmatch(challenge, -1) {
		params[m[1]] = m[2]
	}
	newHash := md5.New
	if params["algorithm"] == "SHA-256" {
		newHash = sha256.New
	}
	hashParts := func(parts ...string) string { return hashJoined(newHash, parts...) }
	const nc, cnonce = "00000001", "0a4f113b"
	response := hashParts(HA1(params["realm"], account, password, newHash), params["nonce"], nc, cnonce, "auth", hashParts(method, uri))
	return `Digest username="` + account + `", realm="` + params["realm"] + `", nonce="` + params["nonce"] + `", uri="` + uri +
		`", algorithm=` + params["algorithm"] + `, qop=auth, nc=` + nc + `, cnonce="` + cnonce + `", response="` + response + `"`
}

func hashJoined(newHash func() hash.Hash, parts ...string) string {
	sum := newHash()
	sum.Write([]byte(strings.Join(parts, ":")))
	return hex.EncodeToString(sum.Sum(nil))
}

// HA1 returns the hash of user name, realm and password that a directory stores (RFC 7616 section 3.4.2), in hex.
func HA1(realm, account, password string, newHash func() hash.Hash) string {
	return hashJoined(newHash, account, realm, password)
}

// retryWithAuth handles status 401: with an account configured, it repeats the SETUP requests with credentials. It
// reports whether the response has been dealt with.
func (g *Group) retryWithAuth(attempt *playAttempt, response *rtsp.Message) bool {
	if response.Status != rtsp.StatusUnauthorized || attempt.profile.Account == "" || attempt.authAttempts >= maxAuthAttempts {
		return false
	}
	for _, method := range attempt.pending {
		if method == rtsp.Setup {
			return true // responses for other tracks are still pending
		}
	}
	for _, field := range response.Header {
		if strings.EqualFold(field.Name, "WWW-Authenticate") && strings.HasPrefix(field.Value, "Basic ") == attempt.profile.Basic {
			attempt.challenge = field.Value
		}
	}
	if attempt.challenge == "" {
		return false
	}
	attempt.authAttempts++
	g.sendSetups(attempt)
	return true
}
