// Package mgdelivery decides what a caller is given of a generation's frames:
// every token once, in order, from one generation. It holds no I/O: frames and
// losses go in, decisions come out.
//
// Terms: a generation is one run of a model; an attempt is one start of one; a
// frame carries a generation's tokens from a sequence number on. A streaming
// caller gets tokens as they come and so is bound to the generation of its
// first token. A caller of whole delivery gets all at the end, and until then
// the answer may start over elsewhere.
//
// References: Saltzer, Reed, Clark (1984), End-to-End Arguments in System
// Design; Stenning (1976), A Data Transfer Protocol.
package mgdelivery
