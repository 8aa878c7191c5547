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

// Routes returns the handler of the agent's calls and frames for entries.
func (a *Agent) Routes() http.Handler {
	router := chi.NewRouter()
	router.Mount(mgrpc.AgentPathPrefix, mglink.Alive(mgrpc.NewAgentServer(a), a.spec.Clock, mgclock.Millis(a.spec.Settings.Beat)))
	router.Get(mgrpc.FramesPath+"{generation}", a.frames)
	return router
}

func (a *Agent) frames(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "generation")
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from == 0 {
		mgproblem.Write(w, mgproblem.New(mgproblem.Invalid, mgproblem.Unknown,
			"from is not a token's number", "give from=1 for the first token"))
		return
	}
	g := a.find(r.Context(), id)
	if g == nil {
		mgproblem.Write(w, mgproblem.New(mgproblem.Missing, mgproblem.Unknown,
			"no such generation", "send the request again for a new answer"))
		return
	}
	g.join()
	defer func() { g.leave(a.spec.Clock.Now()) }()
	a.copy(w, r, g, from)
}

// copy writes the generation's frames from a token on until its end.
func (a *Agent) copy(w http.ResponseWriter, r *http.Request, g *generation, from uint64) {
	writer := mglink.Response(w, g.id, a.spec.Clock, mgclock.Millis(a.spec.Settings.Beat))
	if writer.Beat() != nil {
		return
	}
	sent := from - 1
	for {
		seen := g.after(sent)
		if len(seen.tokens) > 0 || seen.over() {
			if writer.Write(frame(g.id, sent, seen)) != nil || seen.over() {
				return
			}
			sent += uint64(len(seen.tokens))
		}
		if !seen.more && !await(r, writer, seen.changed) {
			return
		}
	}
}

// await waits for the next change and keeps the stream alive meanwhile.
func await(r *http.Request, writer *mglink.Writer, changed <-chan struct{}) bool {
	for {
		select {
		case <-changed:
			return true
		case <-r.Context().Done():
			return false
		case <-writer.Idle():
			if writer.Tend() != nil {
				return false
			}
		}
	}
}

func frame(id string, sent uint64, seen view) *mgrpc.Frame {
	f := &mgrpc.Frame{
		Generation: id,
		Seq:        sent + 1,
		Text:       seen.tokens,
		End:        seen.end,
		Preempted:  seen.preempted,
	}
	if seen.end != "" {
		f.Total = seen.total
	}
	if seen.next.agent != "" {
		f.Moved = seen.next.agent
		f.Incarnation = seen.next.incarnation
	}
	if seen.problem != nil {
		f.Fault = string(seen.problem.Kind())
		f.Outcome = string(seen.problem.Outcome())
		f.Remedy = seen.problem.Remedy()
		f.Retry = int64(seen.problem.Retry())
	}
	return f
}
