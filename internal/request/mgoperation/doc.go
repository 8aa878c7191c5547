// Package mgoperation keeps the Ledger with which an agent guarantees "at most
// once" and attests "not run". It holds no I/O: calls go in with the time, and
// verdicts come out.
//
// Terms: an attempt is one start of a generation at one agent; a plain service
// is an upstream that is no engine; an operation is one call of a plain service
// that must not be repeated. Both are entries of a Ledger, with different
// windows; the process that callers connect to is called an entry too, here
// "entry process". An offer is an agent's reply to the entry process's query
// before a start. A stamp is the time on the agent's own clock at which it made
// the offer or minted (issued) the operation's ID. It is returned with each
// message about the entry, so that the agent computes the message's age from
// its own clock alone. A tombstone is an entry that never ran and never will.
//
// One rule makes forgetting safe: an entry is forgotten only once its stamp is
// older than the window, and a message for an entry that isn't in the ledger
// runs nothing if its stamp is older than the window. So "absent and within the
// window" means "never ran here", and "absent and older" means "unknown".
//
// The Ledger lasts as long as one incarnation of its agent. IDs name the
// incarnation, and another one answers "unknown", never "not run".
//
// References: Lampson (1983), Hints for Computer System Design, on idempotent
// messages; Liskov (1991), Practical Uses of Synchronized Clocks, on
// at-most-once messages with a bounded record; Helland (2012), Idempotence Is
// Not a Medical Condition.
package mgoperation
