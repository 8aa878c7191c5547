package mgnode

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"sync"
)

// gzipWriters reuses compressors, since each takes most of a megabyte and a hub compresses a
// message for each process of its cell every three seconds.
var gzipWriters = sync.Pool{
	New: func() any { return gzip.NewWriter(nil) },
}

// compressJSON encodes a value as JSON, compressed by gzip.
func compressJSON(value any) ([]byte, error) {
	var body bytes.Buffer
	writer := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(writer)
	writer.Reset(&body)
	if err := json.NewEncoder(writer).Encode(value); err != nil {
		return nil, fmt.Errorf("%T can't be encoded: %w", value, err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("%T can't be compressed: %w", value, err)
	}
	return body.Bytes(), nil
}

// decompressJSON decodes the output of compressJSON. It reads at most maxBytes of JSON.
func decompressJSON(r io.Reader, maxBytes int64, value any) error {
	reader, err := gzip.NewReader(r)
	if err != nil {
		return fmt.Errorf("%T can't be decompressed: send it again: %w", value, err)
	}
	if err := json.NewDecoder(io.LimitReader(reader, maxBytes)).Decode(value); err != nil {
		return fmt.Errorf("%T is not JSON: send it again: %w", value, err)
	}
	return nil
}
