package mgorigin

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A Key identifies a stream.
type Key [16]byte

// KeyOf returns the key of a stream. Request ids are the callers' own, so that two client
// accounts may use the same one.
func KeyOf(account, request string) Key {
	data := binary.AppendUvarint(nil, uint64(len(account)))
	data = append(append(data, account...), request...)
	sum := sha256.Sum256(data)
	return Key(sum[:len(Key{})])
}

// String returns the key as text.
func (k Key) String() string { return base64.RawURLEncoding.EncodeToString(k[:]) }

// MarshalText returns the key as text.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses the output of MarshalText.
func (k *Key) UnmarshalText(text []byte) error {
	data, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(data) != len(k) {
		return fmt.Errorf("key %q: is not that of a stream: send %d bytes as unpadded base64", text, len(k))
	}
	*k = Key(data)
	return nil
}

// A Record states the origin of a stream.
type Record struct {
	Key     Key    `json:"key"`
	Service string `json:"service"`
	Version string `json:"version,omitempty"` // software version, "" if unknown
	// Upstream and Start name the upstream and when its incarnation started, 0 if no other
	// incarnation can have its name. The version is that of this incarnation.
	Upstream string         `json:"upstream,omitempty"`
	Start    int64          `json:"born,omitempty"`
	Left     mgclock.Millis `json:"left"` // time until the record expires
}

// Origin returns the origin that the record states.
func (r Record) Origin() Origin {
	return Origin{
		Service: r.Service,
		Version: r.Version,
	}
}

// equal reports whether two records of a stream differ at most in their time.
func (r Record) equal(other Record) bool {
	other.Left = r.Left
	return r == other
}

// Message is what processes send one another about streams.
type Message struct {
	Records []Record `json:"records,omitempty"` // to keep, each in place of an earlier one
	Find    []Key    `json:"find,omitempty"`    // of records that the sender asks for
}

// Reply answers a Message.
type Reply struct {
	Incarnation string   `json:"incarnation"` // of the process that answers
	Records     []Record `json:"records,omitempty"`
}
