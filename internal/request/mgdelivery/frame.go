package mgdelivery

// A Frame is one message of a generation's stream. One without tokens, end and
// fault is a heartbeat.
type Frame struct {
	Generation string   // the generation that it belongs to
	Seq        uint64   // sequence number of its first token, from 1
	Tokens     []string // its tokens, in order
	End        string   // finish reason: why the generation ended, on its last frame
	Fault      string   // why the generation can't be continued
	Total      uint64   // tokens of the whole generation, with End
}
