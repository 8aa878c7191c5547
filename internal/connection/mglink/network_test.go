package mglink_test

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgnetwork"
)

// runWithNetwork runs body in virtual time, with a simulated network on which
// handler serves the agent.
func runWithNetwork(t *testing.T, handler http.Handler, body func(*mgnetwork.Network)) {
	synctest.Test(t, func(*testing.T) {
		var n mgnetwork.Network
		n.Serve("agent", handler)
		body(&n)
		n.Close()
		synctest.Wait()
	})
}

func tokenFrame(seq uint64, text string) *mgrpc.Frame {
	return &mgrpc.Frame{
		Generation: "g",
		Seq:        seq,
		Text:       []string{text},
	}
}

func finalFrame(total uint64) *mgrpc.Frame {
	return &mgrpc.Frame{
		Generation: "g",
		End:        "stop",
		Total:      total,
	}
}
