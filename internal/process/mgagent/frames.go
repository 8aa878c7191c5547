package mgagent

import (
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglink"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// Handler returns the handler of the RPC calls and frame streams that entries
// use.
func (a *Agent) Handler() http.Handler {
	router := chi.NewRouter()
	router.Mount(mgrpc.AgentPathPrefix, mglink.WithHeartbeats(mgrpc.NewAgentServer(a), a.spec.Clock, mgclock.Millis(a.spec.Settings.HeartbeatInterval)))
	router.Get(mgrpc.FramesPath+"{generation}", a.serveFrames)
	return router
}

func (a *Agent) serveFrames(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "generation")
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from == 0 {
		mgproblem.Write(w, mgproblem.New(mgproblem.Invalid, mgproblem.Unknown,
			"from is not a token's number", "give from=1 for the first token"))
		return
	}
	g := a.find(r.Context(), id)
	if g == nil {
		mgproblem.Write(w, mgproblem.New(mgproblem.NotFound, mgproblem.Unknown,
			"no such generation", "send the request again for a new answer"))
		return
	}
	g.addReader()
	defer func() { g.removeReader(a.spec.Clock.Now()) }()
	a.streamFrames(w, r, g, from)
}

// streamFrames writes the generation's frames, starting with token number from,
// until the generation ends.
func (a *Agent) streamFrames(w http.ResponseWriter, r *http.Request, g *generation, from uint64) {
	writer := mglink.NewResponseWriter(w, g.id, a.spec.Clock, mgclock.Millis(a.spec.Settings.HeartbeatInterval))
	if writer.WriteHeartbeat() != nil {
		return
	}
	sent := from - 1
	for {
		current := g.viewAfter(sent)
		if len(current.tokens) > 0 || current.isFinal() {
			if writer.Write(newFrame(g.id, sent, current)) != nil || current.isFinal() {
				return
			}
			sent += uint64(len(current.tokens))
		}
		if !current.hasMore && !waitForChange(r, writer, current.changed) {
			return
		}
	}
}

// waitForChange waits for the generation's next change and sends heartbeats
// meanwhile. It returns false if the reader is gone.
func waitForChange(r *http.Request, writer *mglink.Writer, changed <-chan struct{}) bool {
	for {
		select {
		case <-changed:
			return true
		case <-r.Context().Done():
			return false
		case <-writer.Idle():
			if writer.WriteHeartbeatIfIdle() != nil {
				return false
			}
		}
	}
}

func newFrame(id string, sent uint64, current view) *mgrpc.Frame {
	f := &mgrpc.Frame{
		Generation: id,
		Seq:        sent + 1,
		Text:       current.tokens,
		End:        current.end,
		Preempted:  current.preemptions,
	}
	if current.end != "" {
		f.Total = current.total
	}
	if current.movedTo.agent != "" {
		f.Moved = current.movedTo.agent
		f.Incarnation = current.movedTo.incarnation
	}
	if current.problem != nil {
		f.Fault = string(current.problem.Kind())
		f.Outcome = string(current.problem.Outcome())
		f.Remedy = current.problem.Remedy()
		f.Retry = int64(current.problem.RetryAfter())
	}
	return f
}
