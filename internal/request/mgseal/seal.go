package mgseal

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
)

// The bounds of keys and texts in bytes.
const (
	MinKey  = 16  // shorter keys can be guessed
	MaxText = 512 // longer texts are refused without any work on them
	tagSize = 16  // half of SHA-256's length: as hard to forge as a collision of SHA-256 is to find
)

var (
	// ErrKey is returned for a key that is too short.
	ErrKey = errors.New("seal: key too short: give at least 16 bytes, the same to every process")
	// ErrForeign is returned for a text that was not signed for this owner. It
	// gives no details, so that a caller can't learn anything about names of
	// others.
	ErrForeign = errors.New("seal: no such name: use the name as it was given to this account")
)

var encoding = base64.RawURLEncoding.Strict()

// A Spec holds the keys that all processes share.
type Spec struct {
	// Current is the key that signs and opens names.
	Current []byte
	// Previous is the key that opens names signed before the last change of keys.
	// It may be empty.
	Previous []byte
}

// A Signer signs and opens names. The zero Signer uses a random key of its own,
// so that its names are valid within one process only.
type Signer struct {
	once sync.Once
	keys [][]byte
}

// New returns a Signer with shared keys.
func New(spec Spec) (*Signer, error) {
	if len(spec.Current) < MinKey {
		return nil, fmt.Errorf("current key: %w", ErrKey)
	}
	s := &Signer{
		keys: [][]byte{spec.Current},
	}
	if len(spec.Previous) == 0 {
		return s, nil
	}
	if len(spec.Previous) < MinKey {
		return nil, fmt.Errorf("previous key: %w", ErrKey)
	}
	s.keys = append(s.keys, spec.Previous)
	return s, nil
}

// Sign returns the text of a name of a kind that belongs to owner.
func (s *Signer) Sign(kind, owner string, fields ...string) string {
	payload := encodeFields(fields)
	return encoding.EncodeToString(append(payload, tag(s.keyRing()[0], kind, owner, payload)...))
}

// Open verifies and decodes a name signed for owner and returns its fields, or
// ErrForeign.
func (s *Signer) Open(kind, owner, text string) ([]string, error) {
	if len(text) > MaxText {
		return nil, ErrForeign
	}
	raw, err := encoding.DecodeString(text)
	if err != nil || len(raw) < tagSize {
		return nil, ErrForeign
	}
	payload, gotTag := raw[:len(raw)-tagSize], raw[len(raw)-tagSize:]
	for _, key := range s.keyRing() {
		// If tags were compared byte by byte, the response time would reveal one byte
		// after another; Equal takes the same time for every tag.
		if hmac.Equal(gotTag, tag(key, kind, owner, payload)) {
			return decodeFields(payload)
		}
	}
	return nil, ErrForeign
}

// keyRing returns the keys, beginning with the one that signs.
func (s *Signer) keyRing() [][]byte {
	s.once.Do(func() {
		if s.keys != nil {
			return
		}
		key := make([]byte, sha256.Size)
		_, _ = rand.Read(key) // never fails, see crypto/rand
		s.keys = [][]byte{key}
	})
	return s.keys
}

func tag(key []byte, kind, owner string, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	// The length prefixes distinguish ("ab", "c") from ("a", "bc").
	h.Write(encodeFields([]string{kind, owner}))
	h.Write(payload)
	return h.Sum(nil)[:tagSize]
}

func encodeFields(fields []string) []byte {
	var b []byte
	for _, field := range fields {
		b = binary.AppendUvarint(b, uint64(len(field)))
		b = append(b, field...)
	}
	return b
}

func decodeFields(b []byte) ([]string, error) {
	var fields []string
	for len(b) > 0 {
		size, n := binary.Uvarint(b)
		if n <= 0 || size > uint64(len(b)-n) {
			return nil, ErrForeign
		}
		fields = append(fields, string(b[n:n+int(size)]))
		b = b[n+int(size):]
	}
	return fields, nil
}
