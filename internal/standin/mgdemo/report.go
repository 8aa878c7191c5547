package mgdemo

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mganswer"
	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclient"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

const (
	// maxRecordedGap is the maximum recorded gap in ms.
	maxRecordedGap = 60_000
	// gapDigits is the precision of the histograms in decimal digits.
	gapDigits = 3
	// minStall is the shortest gap between tokens that counts as a stall, ten times
	// the gap of a full engine.
	minStall = 500 * mgclock.Millis(1)
)

// results collects what the callers of one kind of request got.
type results struct {
	name      string
	sent      atomic.Int64
	done      atomic.Int64
	notRun    atomic.Int64
	unknown   atomic.Int64
	retried   atomic.Int64
	resumed   atomic.Int64
	preempted atomic.Int64

	mu        sync.Mutex
	gaps      *hdrhistogram.Histogram
	stallTime mgclock.Millis
	answers   []receivedAnswer
	writes    map[string]mgclient.Reply
	problems  []string
}

// receivedAnswer is an answer as its caller received it.
type receivedAnswer struct {
	account      string
	answer       mgclient.Answer
	wantedTokens int
}

func newResults(name string) *results {
	return &results{
		name:   name,
		gaps:   hdrhistogram.New(1, maxRecordedGap, gapDigits),
		writes: map[string]mgclient.Reply{},
	}
}

// gapTimer measures the gaps between the tokens of an answer.
type gapTimer struct {
	tally *results
	clock mgclock.Clock
	last  mgclock.Millis
}

func (t *results) newGapTimer(clock mgclock.Clock) *gapTimer {
	return &gapTimer{
		tally: t,
		clock: clock,
	}
}

func (w *gapTimer) token(token mgclient.Token) error {
	now := w.clock.Now()
	if token.Seq() > 1 {
		w.tally.recordGap(now - w.last)
	}
	w.last = now
	return nil
}

func (t *results) recordGap(gap mgclock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.gaps.RecordValue(min(int64(gap), maxRecordedGap))
	if gap >= minStall {
		t.stallTime += gap
	}
}

func (t *results) recordAnswer(account string, answer mgclient.Answer, wanted int) {
	t.done.Add(1)
	t.resumed.Add(int64(answer.ResumeCount()))
	t.preempted.Add(int64(answer.PreemptionCount()))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers = append(t.answers, receivedAnswer{
		account:      account,
		answer:       answer,
		wantedTokens: wanted,
	})
}

func (t *results) recordCall(took mgclock.Millis, operation string, reply mgclient.Reply) {
	t.done.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.gaps.RecordValue(min(int64(took), maxRecordedGap))
	if operation != "" {
		t.writes[operation] = reply
	}
}

func (t *results) recordFailure(err error) {
	problem := mgproblem.From(err)
	if problem.Outcome() == mgproblem.NotRun {
		t.notRun.Add(1)
	} else {
		t.unknown.Add(1)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.problems = append(t.problems, problem.Error())
}

// Report is the result of Play.
type Report struct {
	rows   []*results
	faults []string
}

// Faults describes the answers and writes that were lost, doubled or crossed.
func (r *Report) Faults() []string { return r.faults }

// Write prints one line per kind of request, and the faults.
func (r *Report) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "kind\tsent\tdone\tnot run\tunknown\tasked again\tresumed\tp50 ms\tp99 ms\tstall ms\tpreempted\t")
	for _, t := range r.rows {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", t.name, t.sent.Load(), t.done.Load(),
			t.notRun.Load(), t.unknown.Load(), t.retried.Load(), t.resumed.Load(),
			t.gaps.ValueAtQuantile(50), t.gaps.ValueAtQuantile(99), t.stallTime, t.preempted.Load())
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, fault := range r.faults {
		fmt.Fprintln(w, "fault: "+fault)
	}
	return nil
}

// report checks every answer and write against the stand-ins' counters.
func (p *playRun) report() *Report {
	r := &Report{}
	executed := p.executions()
	for _, k := range requestKinds {
		t := p.tallies[k.name]
		r.rows = append(r.rows, t)
		for _, g := range t.answers {
			if fault := p.check(g); fault != "" {
				r.faults = append(r.faults, k.name+": "+fault)
			}
		}
		for operation, reply := range t.writes {
			if fault := checkWrite(operation, reply, executed); fault != "" {
				r.faults = append(r.faults, k.name+": "+fault)
			}
		}
		for _, problem := range t.problems {
			r.faults = append(r.faults, k.name+": lost: "+problem)
		}
	}
	for operation, count := range executed {
		if count > 1 {
			r.faults = append(r.faults, fmt.Sprintf("operation %s ran %d times", operation, count))
		}
	}
	return r
}

// executions returns the number of executions of each write, by operation.
func (p *playRun) executions() map[string]int {
	executed := map[string]int{}
	for _, name := range []string{"books", "portal"} {
		for operation, count := range p.deployment.Service(name).Counts().Runs {
			if isOperation(operation) {
				executed[operation] += count
			}
		}
	}
	return executed
}

// isOperation reports whether name is an operation id. The stand-in counts calls
// without an operation by method and path, which contain a space and a slash.
func isOperation(name string) bool {
	for _, r := range name {
		if r == ' ' || r == '/' {
			return false
		}
	}
	return true
}

func checkWrite(operation string, reply mgclient.Reply, executed map[string]int) string {
	var body mgstandin.ServiceReply
	if err := json.Unmarshal(reply.Body, &body); err != nil {
		return "a write's reply can't be read: " + err.Error()
	}
	if body.Operation != operation {
		return fmt.Sprintf("crossed: operation %s got the reply of %s", operation, body.Operation)
	}
	if executed[operation] != 1 {
		return fmt.Sprintf("operation %s was answered done and ran %d times", operation, executed[operation])
	}
	return ""
}

// check compares an answer with the tokens that the engine generated. All of them must
// be there once and in order, with none of another generation.
func (p *playRun) check(g receivedAnswer) string {
	seal := p.deployment.Node("entry-2").Signer()
	name, err := mganswer.NewSigner(seal).Open(g.account, g.answer.Name())
	if err != nil {
		return "an answer's name can't be opened: " + err.Error()
	}
	if g.answer.Tokens() != uint64(g.wantedTokens) {
		return fmt.Sprintf("answer has %d tokens, asked for %d", g.answer.Tokens(), g.wantedTokens)
	}
	if g.answer.Text() != mgstandin.FirstTokens(name.Generation(), g.wantedTokens) {
		return fmt.Sprintf("generation %s: the text is not what the engine made", name.Generation())
	}
	return ""
}
