package mglink

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
)

// MaxFrameBytes is the maximum size of a frame in bytes. A frame usually holds a few
// tokens; the tokens that resume a long answer are split into several frames.
const MaxFrameBytes = 256 << 10

// ErrFrame is returned for bytes that can't be decoded as a frame.
var ErrFrame = errors.New("link: not a frame: both ends must run compatible versions")

// WriteFrame writes one frame with a length prefix.
func WriteFrame(w io.Writer, f *mgrpc.Frame) error {
	if _, err := protodelim.MarshalTo(w, f); err != nil {
		return fmt.Errorf("link: write: %w", err)
	}
	return nil
}

// ReadFrame reads one frame. It returns io.EOF when the stream ends between
// frames and io.ErrUnexpectedEOF when it ends within one.
func ReadFrame(r *bufio.Reader) (*mgrpc.Frame, error) {
	f := new(mgrpc.Frame)
	options := protodelim.UnmarshalOptions{
		MaxSize: MaxFrameBytes,
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

// IsHeartbeat reports whether f is a heartbeat, a frame without content.
func IsHeartbeat(f *mgrpc.Frame) bool {
	return len(f.GetText()) == 0 && !IsFinal(f)
}

// IsFinal reports whether f is the last frame of its stream.
func IsFinal(f *mgrpc.Frame) bool {
	return f.GetEnd() != "" || f.GetFault() != "" || f.GetMoved() != ""
}
