// Package mgentry is the process that callers reach.
//
// It authenticates client accounts, keeps their caps, asks a few agents for
// offers, starts a generation at the best and delivers its tokens: every token
// once, in order, from one generation. It routes plain-service calls as well,
// those that may not be repeated to the one agent that minted their operation.
//
// An entry keeps nothing that another entry needs: an answer's name tells any
// of them where its generation is.
package mgentry
