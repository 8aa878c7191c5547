package mgnode

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"sync"
)

// packers keeps the state of compressions, which takes most of a megabyte each: a hub
// packs for each process of its cell every three seconds.
var packers = sync.Pool{
	New: func() any { return gzip.NewWriter(nil) },
}

// pack writes a value as JSON, compressed by gzip.
func pack(value any) ([]byte, error) {
	var body bytes.Buffer
	packer := packers.Get().(*gzip.Writer)
	defer packers.Put(packer)
	packer.Reset(&body)
	if err := json.NewEncoder(packer).Encode(value); err != nil {
		return nil, fmt.Errorf("%T can't be written: %w", value, err)
	}
	if err := packer.Close(); err != nil {
		return nil, fmt.Errorf("%T can't be packed: %w", value, err)
	}
	return body.Bytes(), nil
}

// unpack reads what pack wrote, up to a number of bytes.
func unpack(from io.Reader, most int64, value any) error {
	unpacker, err := gzip.NewReader(from)
	if err != nil {
		return fmt.Errorf("%T can't be unpacked: send it again: %w", value, err)
	}
	if err := json.NewDecoder(io.LimitReader(unpacker, most)).Decode(value); err != nil {
		return fmt.Errorf("%T is not JSON: send it again: %w", value, err)
	}
	return nil
}
