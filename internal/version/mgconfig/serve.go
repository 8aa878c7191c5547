package mgconfig

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
)

const (
	// maxReplyBytes limits the size of the values of one reply before compression. A
	// peer that lacks more asks again.
	maxReplyBytes = 1 << 20
	// maxValueBytes limits the size of one decompressed value: the platform's own
	// limit.
	maxValueBytes = 1 << 20
)

// errDamagedValue is the error of a value that can't be decompressed.
var errDamagedValue = errors.New("mgconfig: a peer's value is damaged: ask another peer")

// Serve answers a fetch from a snapshot and the compressed list of VMs.
func Serve(s *Snapshot, compressedList []byte, request *mgrpc.FetchRequest) *mgrpc.FetchReply {
	reply := &mgrpc.FetchReply{}
	if request.GetList() {
		reply.List = compressedList
	}
	size := 0
	for _, digest := range request.GetDigests() {
		value, ok := s.value(digest)
		if !ok {
			continue
		}
		size += len(value)
		if size > maxReplyBytes && len(reply.Values) > 0 {
			break
		}
		reply.Values = append(reply.Values, compress(value))
	}
	return reply
}

// decompressReply decompresses the values and the list of a reply.
func decompressReply(reply *mgrpc.FetchReply) (values [][]byte, list []byte, err error) {
	if compressed := reply.GetList(); compressed != nil {
		list, err = decompress(compressed)
		if err != nil {
			return nil, nil, err
		}
	}
	for _, compressed := range reply.GetValues() {
		value, err := decompress(compressed)
		if err != nil {
			return nil, nil, err
		}
		values = append(values, value)
	}
	return values, list, nil
}

// writers pools compressors, because the state of each takes over a megabyte.
var writers sync.Pool

func compress(data []byte) []byte {
	var b bytes.Buffer
	w, ok := writers.Get().(*flate.Writer)
	if ok {
		w.Reset(&b)
	} else {
		// The level is a constant in range.
		w, _ = flate.NewWriter(&b, flate.BestSpeed)
	}
	// A buffer's Write doesn't fail.
	_, _ = w.Write(data)
	_ = w.Close()
	writers.Put(w)
	return b.Bytes()
}

func decompress(data []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxValueBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDamagedValue, err)
	}
	if len(value) > maxValueBytes {
		return nil, fmt.Errorf("%w: it exceeds %d bytes", errDamagedValue, maxValueBytes)
	}
	return value, nil
}
