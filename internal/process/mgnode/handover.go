package mgnode

import (
	"errors"

	"github.com/twitchtv/twirp"

	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
)

// A hub or coordinator that stops refuses the calls of its role, so that each caller learns at its
// next call that another process has taken over. Peers learn of a stop from periodic exchanges
// only, which takes seconds; meanwhile two hubs would assign the same capacity.

// errHandedOver is the error of a call to a hub or coordinator that is stopping.
var errHandedOver = twirp.NewError(twirp.FailedPrecondition, "this process is stopping: ask the one that ranks next")

// hasHandedOver reports whether this process is stopping and another one of its cell can take over its
// roles.
func (n *Node) hasHandedOver() bool { return n.leaving.Load() && n.hubPeer() != nil }

// recordHandover reports whether a call failed because the process is stopping, and records
// the stop: from now on this process asks another one.
func (n *Node) recordHandover(peer *mgmember.Member, err error) bool {
	var failure twirp.Error
	if !errors.As(err, &failure) || failure.Code() != twirp.FailedPrecondition {
		return false
	}
	n.recordPeerAnnouncement(peer.Name(), peer.Incarnation(), true)
	n.metrics.Counter("hub.handovers").Inc(1)
	n.log.Info("a process has handed its roles over, as it is stopping", "peer", peer.Name())
	return true
}
