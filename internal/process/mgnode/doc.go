// Package mgnode is what an entry and an agent have in common as processes:
// listeners, the operators' page, the configuration in force, the list of VMs,
// and an orderly stop.
//
// A planned stop goes in this order, so that it cuts off nothing: readiness is
// withdrawn; after a notice, in which the balancer and the peers look
// elsewhere, new work is refused; what is in progress ends; each listener
// closes once it has answered what had reached it. A second signal, or the
// longest drain, ends the drain at once.
package mgnode
