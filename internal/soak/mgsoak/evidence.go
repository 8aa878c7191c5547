package mgsoak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// Finding is a promise that was broken, with the observation that shows it.
type Finding struct {
	Promise string `json:"promise"`
	Seen    string `json:"seen"`
}

// String formats the finding as one line.
func (f Finding) String() string { return f.Promise + ": " + f.Seen }

func newFinding(promise, format string, args ...any) Finding {
	return Finding{
		Promise: promise,
		Seen:    fmt.Sprintf(format, args...),
	}
}

// Promises, as they appear in findings.
const (
	oneGeneration          = "one generation, each token once and in order"
	generationStartsOnce   = "a generation starts once"
	ownAnswerOnly          = "each caller has the answer to its own request"
	notRunIsTrue           = "not run is true"
	writeRunsOnce          = "a write runs at most once"
	versionMonotonic       = "a version in force does not go back"
	versionPropagates      = "a version is in force everywhere in time"
	revokedKey             = "a key that was taken away opens nothing"
	plannedStopCutsNothing = "a planned stop cuts nothing"
	failureHasCause        = "nothing fails without a fault"
	cordonRespected        = "a cordoned zone gets no new work"
	crashPromptBlocked     = "a prompt that ends engines is held back"
	crashLateBlocked       = "a prompt that ends engines late is held back, also once all entries were lost"
	soundHotServed         = "a sound prompt that many callers send isn't held"
	crashPartBlocked       = "prompts with a part that ends engines are held back"
	soundPartsServed       = "sound prompts aren't held for a part that others crash on"
	funnelServed           = "most new connections at one entry are served as often as before"
	oneSoftwareVersion     = "a stream has events of one software version"
	brokenIsVisible        = "an answer that broke off doesn't look whole"
	streamsResume          = "streams are resumed nearly as often as they begin"
)

// callerAnswer is an answer as its caller received it.
type callerAnswer struct {
	prompt string
	length int
	text   string
	tokens int
	err    error
	began  mgclock.Millis
	ended  mgclock.Millis
}

// ticket is a write as its caller saw it.
type ticket struct {
	operation string
	body      []byte
	reply     []byte
	status    int
	err       error
}

// tableObservation is the version of the table in force that was read from an entry.
type tableObservation struct {
	entry       string
	incarnation int // of the entry's process
	version     int
}

// evidence collects what callers and upstreams observed during a run.
type evidence struct {
	answers      []callerAnswer
	tickets      []ticket
	observations []tableObservation
	generations  map[string]mgstandin.Record
	runs         map[string]int // number of executions of each write, by operation
	crashes      int            // engine crashes caused by the crash prompt
	partCrashes  int            // engine crashes caused by prompts with one part
	parts        partPrompts
	lateCrashes  int         // engine crashes caused by the prompt that crashes engines late
	hot          partPrompts // sound prompts of one text beside it
	streams      []*readStream
}

// merge adds the counters of one engine. Both engines of a migrated generation have a
// record of it.
func (e *evidence) merge(counts mgstandin.EngineCounts) {
	if e.generations == nil {
		e.generations = map[string]mgstandin.Record{}
	}
	e.crashes += counts.Crashes
	e.partCrashes += counts.PartCrashes
	e.lateCrashes += counts.LateCrashes
	for id, record := range counts.Generations {
		all := e.generations[id]
		all.Starts += record.Starts
		if record.Prompt != "" {
			all.Prompt = record.Prompt
		}
		if record.Tokens > all.Tokens {
			all.Tokens = record.Tokens
		}
		e.generations[id] = all
	}
}

// check returns a finding for each promise that the evidence shows broken.
func (e *evidence) check() []Finding {
	var found []Finding
	for id, record := range e.generations {
		if record.Starts > 1 {
			found = append(found, newFinding(generationStartsOnce, "generation %s was started %d times", id, record.Starts))
		}
	}
	for _, r := range e.answers {
		found = append(found, e.checkAnswer(r)...)
	}
	for operation, runs := range e.runs {
		if runs > 1 {
			found = append(found, newFinding(writeRunsOnce, "operation %s ran %d times", operation, runs))
		}
	}
	for _, t := range e.tickets {
		found = append(found, e.checkTicket(t)...)
	}
	return append(found, e.checkVersionOrder()...)
}

// generationsOf returns the ids of the generations started for a prompt.
func (e *evidence) generationsOf(prompt string) []string {
	var ids []string
	for id, record := range e.generations {
		if strings.Contains(record.Prompt, prompt) {
			ids = append(ids, id)
		}
	}
	return ids
}

// isPrefix reports whether the received text is a prefix of a generation as one software version
// writes it.
func isPrefix(id string, r callerAnswer) bool {
	for _, version := range []string{"", oldVersion, newVersion} {
		if mgstandin.FirstTokens(mgstandin.WrittenBy(id, version), r.tokens) == r.text {
			return true
		}
	}
	return false
}

func (e *evidence) checkAnswer(r callerAnswer) []Finding {
	ids := e.generationsOf(r.prompt)
	matches := r.tokens == 0 && r.text == ""
	for _, id := range ids {
		matches = matches || isPrefix(id, r)
	}
	var found []Finding
	if !matches {
		promise := oneGeneration
		for id := range e.generations {
			if isPrefix(id, r) {
				promise = ownAnswerOnly
			}
		}
		found = append(found, newFinding(promise, "%s: the received text of %d tokens is a prefix of none of its generations %v", r.prompt, r.tokens, ids))
	}
	if r.err == nil && r.tokens != r.length {
		found = append(found, newFinding(oneGeneration, "%s: reported as whole with %d of %d tokens", r.prompt, r.tokens, r.length))
	}
	if r.err != nil && mgproblem.From(r.err).Outcome() == mgproblem.NotRun && len(ids) > 0 {
		found = append(found, newFinding(notRunIsTrue, "%s: reported as not run, but generation %v began: %v", r.prompt, ids, r.err))
	}
	return found
}

func (e *evidence) checkTicket(t ticket) []Finding {
	runs := e.runs[t.operation]
	if t.err != nil {
		if t.operation != "" && runs > 0 && mgproblem.From(t.err).Outcome() == mgproblem.NotRun {
			return []Finding{newFinding(notRunIsTrue, "ticket %q ran: %v", t.body, t.err)}
		}
		return nil
	}
	if t.status == http.StatusServiceUnavailable {
		if runs > 0 {
			return []Finding{newFinding(notRunIsTrue, "ticket %q was refused by the service and ran", t.body)}
		}
		return nil
	}
	var reply mgstandin.ServiceReply
	if err := json.Unmarshal(t.reply, &reply); err != nil {
		return []Finding{newFinding(ownAnswerOnly, "ticket %q: status %d without a reply of the service: %v", t.body, t.status, err)}
	}
	if reply.Digest != mgstandin.Digest(t.body) || reply.Operation != t.operation {
		return []Finding{newFinding(ownAnswerOnly, "ticket %q: the reply belongs to another call", t.body)}
	}
	if runs == 0 {
		return []Finding{newFinding(writeRunsOnce, "ticket %q was answered and did not run", t.body)}
	}
	return nil
}

// checkVersionOrder finds table versions that went back within one process.
func (e *evidence) checkVersionOrder() []Finding {
	type process struct {
		entry       string
		incarnation int
	}
	newest := map[process]int{}
	var found []Finding
	for _, l := range e.observations {
		p := process{
			entry:       l.entry,
			incarnation: l.incarnation,
		}
		if l.version < newest[p] {
			found = append(found, newFinding(versionMonotonic, "%s showed version %d after %d", l.entry, l.version, newest[p]))
		}
		newest[p] = max(newest[p], l.version)
	}
	return found
}
