package kept

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"fmt"
)

// SaveSealed writes a snapshot whose content is encrypted with AES-256-GCM. The cipher key is the SHA-256 of key.
func SaveSealed(path, kind string, key []byte, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	aead, err := newAEAD(key)
	if err != nil {
		return err
	}
	nonce := make([]byte, aead.NonceSize())
	if _, err := rand.Read(nonce); err != nil {
		return err
	}
	return Save(path, kind, aead.Seal(nonce, nonce, body, []byte(kind)))
}

// LoadSealed reads a snapshot written by SaveSealed. A wrong key is reported like corrupt content.
func LoadSealed(path, kind string, key []byte, value any) error {
	var content []byte
	if err := Load(path, kind, &content); err != nil {
		return err
	}
	aead, err := newAEAD(key)
	if err != nil {
		return err
	}
	if len(content) < aead.NonceSize() {
		return fmt.Errorf("%s: %w", path, ErrCorrupt)
	}
	body, err := aead.Open(nil, content[:aead.NonceSize()], content[aead.NonceSize():], []byte(kind))
	if err != nil {
		return fmt.Errorf("%s: %w, or encrypted with another key", path, ErrCorrupt)
	}
	if err := json.Unmarshal(body, value); err != nil {
		return fmt.Errorf("%s: %w: %w", path, ErrCorrupt, err)
	}
	return nil
}

func newAEAD(key []byte) (cipher.AEAD, error) {
	sum := sha256.Sum256(key)
	block, err := aes.NewCipher(sum[:])
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(block)
}
