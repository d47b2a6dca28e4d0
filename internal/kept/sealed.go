package kept

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"fmt"
)

// SaveSealed replaces a snapshot whose content only the key opens (AES-256-GCM; the key is hashed to its size).
func SaveSealed(path, kind string, key []byte, from any) error {
	body, err := json.Marshal(from)
	if err != nil {
		return err
	}
	seal, err := newAEAD(key)
	if err != nil {
		return err
	}
	nonce := make([]byte, seal.NonceSize())
	if _, err := rand.Read(nonce); err != nil {
		return err
	}
	return Save(path, kind, seal.Seal(nonce, nonce, body, []byte(kind)))
}

// LoadSealed reads one. With another key it is as good as damaged.
func LoadSealed(path, kind string, key []byte, into any) error {
	var text []byte
	if err := Load(path, kind, &text); err != nil {
		return err
	}
	seal, err := newAEAD(key)
	if err != nil {
		return err
	}
	if len(text) < seal.NonceSize() {
		return fmt.Errorf("%s: %w", path, ErrBad)
	}
	body, err := seal.Open(nil, text[:seal.NonceSize()], text[seal.NonceSize():], []byte(kind))
	if err != nil {
		return fmt.Errorf("%s: %w, or sealed with another key", path, ErrBad)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%s: %w: %w", path, ErrBad, err)
	}
	return nil
}

func newAEAD(key []byte) (cipher.AEAD, error) {
	sum := sha256.Sum256(key)
	b, err := aes.NewCipher(sum[:])
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(b)
}
