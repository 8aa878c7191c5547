// Package mgcrowd plays crowds of clients that send requests without regard to limits, and measures what
// they take of a process: its memory, the bytes in its receive queues, and its descriptors.
//
// A Crowd opens its connections, plays a Script on each, and opens each anew when it is closed. Scripts
// stand for one way of misbehaving each: bodies that stop short of their end, in one piece or in chunks,
// heads without an end, pipelined requests.
package mgcrowd
