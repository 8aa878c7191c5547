//go:build !linux

package mgdial

import (
	"errors"
	"net"
	"time"
)

// endedFor isn't supported.
func endedFor(net.Conn) (time.Duration, error) { return 0, errors.ErrUnsupported }

// stateOf isn't supported.
func stateOf(net.Conn) (connState, error) { return unknownState, errors.ErrUnsupported }

// isClosedBeforeReset reports false: a write fails in the same way whether the peer had closed the
// connection or not.
func isClosedBeforeReset(net.Conn, error) bool { return false }
