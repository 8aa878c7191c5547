// Package mgdelivery decides which tokens of a generation's frames are
// delivered to a caller: every token once, in order, from one generation. It
// holds no I/O: frames and losses go in, decisions come out.
//
// Terms: a generation is one run of a model; an attempt is one start of, or one
// connection to, a generation (in mgoperation only the start); a frame carries
// a generation's tokens from a sequence number on. A streaming caller gets
// tokens as they arrive and is therefore bound to the generation of its first
// token. With buffered delivery (Spec.Whole) the caller gets all tokens at the
// end, and until then the answer may start over elsewhere.
//
// References: Saltzer, Reed, Clark (1984), End-to-End Arguments in System
// Design; Stenning (1976), A Data Transfer Protocol.
package mgdelivery
