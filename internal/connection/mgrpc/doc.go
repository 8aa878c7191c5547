// Package mgrpc defines the messages between the system's own processes: the
// calls to agents, the exchange between peers and the token frames. The code is
// generated from the .proto files of this folder by generate.sh and committed.
package mgrpc

// FramesPath is the URL path prefix of the frames of a generation on an agent. The
// generation's id follows it; the query parameter from is the number of the first
// requested token, counted from 1.
const FramesPath = "/frames/"
