package mgquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// A Digest identifies a request by its content, independent of the entry that receives it:
// the client account, the host, the path with its query, and the body; or a part of prompts. It is the first half
// of a SHA-256, so that no caller can construct a request that collides with another's.
type Digest [sha256.Size / 2]byte

// DigestOf returns the digest of a request. The account is empty on routes that need none.
func DigestOf(account, host, target string, body []byte) Digest {
	sum := sha256.New()
	for _, part := range []string{account, host, target} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		sum.Write(size[:])
		sum.Write([]byte(part))
	}
	sum.Write(body)
	return Digest(sum.Sum(nil)[:len(Digest{})])
}

// PartDigestOf returns the digest of a part that prompts have in common, the same for all requests
// that a service and a model run with it.
func PartDigestOf(service, model, part string) Digest {
	sum := sha256.New()
	sum.Write([]byte{0xff}) // separates parts from requests, whose first size is below 2^56
	for _, text := range []string{service, model, part} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(text)))
		sum.Write(size[:])
		sum.Write([]byte(text))
	}
	return Digest(sum.Sum(nil)[:len(Digest{})])
}

// trialDigestOf returns the digest under which trials of a request or part are recorded. To a process
// of an earlier release such a record is an answer to a request that it doesn't suspect.
func trialDigestOf(d Digest) Digest {
	sum := sha256.New()
	sum.Write([]byte{0xfe}) // separates trials from requests and parts
	sum.Write(d[:])
	return Digest(sum.Sum(nil)[:len(Digest{})])
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses the output of String.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(d) {
		return d, fmt.Errorf("digest %q: want %d hexadecimal digits", text, hex.EncodedLen(len(d)))
	}
	return Digest(data), nil
}
