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

const maxAuthAttempts = 2 // the second where the first one's nonce was too old

var challengeParam = regexp.MustCompile(`(\w+)="?([^",]*)"?`)

// proof is what a viewer shows of who it is, by the first scheme that it can use: Digest (RFC 7616), or Basic (RFC
// 7617) where it wants that and the door offers it.
func (a *playAttempt) authorization(method, uri string) string {
	return Proof(a.challenge, a.profile.Account, a.profile.Password, method, uri)
}

// Proof answers a challenge; empty without one, or without an account.
func Proof(challenge, account, password, method, uri string) string {
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

// HA1 is what a directory keeps of a password (RFC 7616 section 3.4.2).
func HA1(realm, account, password string, newHash func() hash.Hash) string {
	return hashJoined(newHash, account, realm, password)
}

// challengedBy takes a 401: with an account the SETUPs are sent once more, with proof.
func (g *Crowd) retryWithAuth(attempt *playAttempt, response *rtsp.Message) bool {
	if response.Status != rtsp.StatusUnauthorized || attempt.profile.Account == "" || attempt.authAttempts >= maxAuthAttempts {
		return false
	}
	for _, method := range attempt.pending {
		if method == rtsp.Setup {
			return true // the other tracks' answers are on their way
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
