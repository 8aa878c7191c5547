package mglink

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
)

// MaxFrame bounds a frame in bytes. A frame holds a few tokens; one that
// resumes a long answer is cut into several.
const MaxFrame = 256 << 10

// ErrFrame is returned for bytes that are no frame.
var ErrFrame = errors.New("link: not a frame: both ends must run compatible versions")

// WriteFrame writes one frame with its length before it.
func WriteFrame(w io.Writer, f *mgrpc.Frame) error {
	if _, err := protodelim.MarshalTo(w, f); err != nil {
		return fmt.Errorf("link: write: %w", err)
	}
	return nil
}

// ReadFrame reads one frame. It returns io.EOF at the end of the stream and
// io.ErrUnexpectedEOF within a frame.
func ReadFrame(r *bufio.Reader) (*mgrpc.Frame, error) {
	f := new(mgrpc.Frame)
	options := protodelim.UnmarshalOptions{
		MaxSize: MaxFrame,
	}
	err := options.UnmarshalFrom(r, f)
	switch {
	case err == nil:
		return f, nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil, err
	default:
		return nil, fmt.Errorf("%w: %w", ErrFrame, err)
	}
}

// Heartbeat reports whether f only says that its sender lives.
func Heartbeat(f *mgrpc.Frame) bool {
	return len(f.GetText()) == 0 && !Final(f)
}

// Final reports whether no frame follows f.
func Final(f *mgrpc.Frame) bool {
	return f.GetEnd() != "" || f.GetFault() != "" || f.GetMoved() != ""
}
