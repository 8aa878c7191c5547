package mgorigin

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
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
	Key     Key
	Service string
	Version string // software version, "" if unknown
	// Upstream and Start name the upstream and when its incarnation started, 0 if no other
	// incarnation can have its name. The version is that of this incarnation.
	Upstream string
	Start    int64
	Left     mgclock.Millis // time until the record expires
}

// MarshalJSON returns the record as an array, which takes two thirds of the bytes of an object.
func (r Record) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{r.Key, r.Service, r.Version, r.Upstream, r.Start, r.Left})
}

// UnmarshalJSON parses the output of MarshalJSON.
func (r *Record) UnmarshalJSON(data []byte) error {
	fields := []any{&r.Key, &r.Service, &r.Version, &r.Upstream, &r.Start, &r.Left}
	count := len(fields)
	if err := json.Unmarshal(data, &fields); err != nil || len(fields) != count {
		return fmt.Errorf("record of a stream: is no array of %d fields: do all processes run the same release?", count)
	}
	return nil
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
