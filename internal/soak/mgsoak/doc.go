// Package mgsoak runs a whole deployment as separate processes on loopback, loads
// it, harms it by a schedule drawn from a seed, and checks the system's promises
// by what callers and upstreams see while it runs.
//
// Terms:
//
//   - deployment: entries and agents of the built binary, stand-ins of engines, a
//     plain service and the platform, and links before each of them.
//   - fault: something that is done to a process, a link or a stand-in for a
//     while. Faults come in series and overlap.
//   - schedule: the faults of a run with their times. A seed always draws the
//     same one.
//   - finding: a promise that was broken, with what was seen.
//
// Promises: an answer's text is the beginning of one generation of the caller's
// own prompt, and all of it where it is said to be whole; no engine starts a
// generation twice; a write runs at most once, and "not run" is true; a version of
// the table that was in force at an entry does not go back in the same process,
// and is in force everywhere some seconds after all is well; a key that was taken
// away opens nothing then; a planned stop cuts no answer that its process took,
// where nothing else is harmed.
package mgsoak
