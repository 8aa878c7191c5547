// Package mgrpc holds the messages between the system's own processes: the
// agent's calls, the peers' exchange and the token frames. The code is
// generated from the .proto files beside it by generate.sh and committed.
package mgrpc

// FramesPath is the agent's path of a generation's frames. The generation
// follows it, and the query's from is the first token that is wanted, from 1.
const FramesPath = "/frames/"
