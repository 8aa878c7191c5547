//go:build !linux

package mgdial

import (
	"errors"
	"net"
	"time"
)

// endedFor isn't supported.
func endedFor(net.Conn) (time.Duration, error) { return 0, errors.ErrUnsupported }

// isEnded isn't supported: it reports false.
func isEnded(net.Conn) bool { return false }
