package mgrelay

import (
	"context"
	"errors"
)

// hasIncarnationEnded reports whether the incarnation of an upstream that host states has ended: its
// address refuses connections, or another incarnation accepts them. An error means that this is
// unknown.
func (y *Relay) hasIncarnationEnded(ctx context.Context, host Host) (bool, error) {
	refused, err := y.hasEnded(host)
	if refused || err != nil {
		return refused, err
	}
	if !y.isListed(host.Name, host.IncarnationStart) {
		return true, nil
	}
	start, err := y.statedIncarnation(ctx, host)
	switch {
	case errors.Is(err, errNoIncarnation):
		return false, nil
	case err != nil:
		return false, err
	}
	return start != host.IncarnationStart, nil
}
