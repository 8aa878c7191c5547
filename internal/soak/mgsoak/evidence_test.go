package mgsoak

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// validEvidence returns the evidence of a run that kept every promise: a whole answer,
// one that was cut and reported so, one that was refused, a migrated generation, a
// write, and observations of two incarnations of an entry.
func validEvidence() *evidence {
	reply, err := json.Marshal(mgstandin.ServiceReply{
		Operation: "op",
		Digest:    mgstandin.Digest([]byte("ticket 1")),
	})
	if err != nil {
		panic(err)
	}
	e := &evidence{
		answers: []callerAnswer{
			{
				prompt: "report 1.",
				length: 9,
				text:   mgstandin.FirstTokens("g1", 9),
				tokens: 9,
			},
			{
				prompt: "report 2.",
				length: 9,
				text:   mgstandin.FirstTokens("g2", 4),
				tokens: 4,
				err:    errors.New("cut"),
			},
			{
				prompt: "report 3.",
				err:    mgproblem.New(mgproblem.Overloaded, mgproblem.NotRun, "full", "wait"),
			},
		},
		tickets: []ticket{{
			operation: "op",
			body:      []byte("ticket 1"),
			reply:     reply,
			status:    http.StatusOK,
		}},
		observations: []tableObservation{
			{
				entry:   "entry-1",
				version: 2,
			},
			{
				entry:       "entry-1",
				incarnation: 1,
				version:     1,
			},
			{
				entry:       "entry-1",
				incarnation: 1,
				version:     2,
			},
		},
		runs: map[string]int{"op": 1},
	}
	e.merge(mgstandin.EngineCounts{Generations: map[string]mgstandin.Record{
		"g1": {Starts: 1, Prompt: "report 1.", End: "moved"},
		"g2": {Starts: 1, Prompt: "report 2."},
	}})
	e.merge(mgstandin.EngineCounts{Generations: map[string]mgstandin.Record{
		"g1": {Tokens: 9, End: "stop"},
	}})
	return e
}

// Guards against checks that never fail and so miss later faults. Each case breaks one
// promise in what callers and upstreams observe.
func TestChecksMissABrokenPromise(t *testing.T) {
	cases := []struct {
		name    string
		promise string
		broken  func(e *evidence)
	}{
		{"a token comes twice", oneGeneration, func(e *evidence) {
			e.answers[0].text = mgstandin.Text("g1", 1) + mgstandin.FirstTokens("g1", 9)
			e.answers[0].tokens = 10
			e.answers[0].length = 10
		}},
		{"a token is missing", oneGeneration, func(e *evidence) {
			e.answers[0].text = mgstandin.FirstTokens("g1", 9)[len(mgstandin.Text("g1", 1)):]
		}},
		{"two generations are joined", oneGeneration, func(e *evidence) {
			e.answers[0].text = mgstandin.FirstTokens("g1", 8) + mgstandin.Text("g2", 9)
		}},
		{"a part looks whole", oneGeneration, func(e *evidence) { e.answers[1].err = nil }},
		{"another's answer comes", ownAnswerOnly, func(e *evidence) {
			e.answers[1].text = mgstandin.FirstTokens("g1", 4)
		}},
		{"a generation is started at two engines", generationStartsOnce, func(e *evidence) {
			e.merge(mgstandin.EngineCounts{Generations: map[string]mgstandin.Record{"g1": {Starts: 1}}})
		}},
		{"a refused request has run", notRunIsTrue, func(e *evidence) {
			e.generations["g3"] = mgstandin.Record{Starts: 1, Prompt: "report 3."}
		}},
		{"a write runs twice", writeRunsOnce, func(e *evidence) { e.runs["op"] = 2 }},
		{"a write is answered and did not run", writeRunsOnce, func(e *evidence) { e.runs["op"] = 0 }},
		{"a refused write has run", notRunIsTrue, func(e *evidence) {
			e.tickets[0].err = mgproblem.New(mgproblem.Overloaded, mgproblem.NotRun, "full", "wait")
		}},
		{"a write gets another's reply", ownAnswerOnly, func(e *evidence) { e.tickets[0].body = []byte("ticket 2") }},
		{"a table goes back", versionMonotonic, func(e *evidence) {
			e.observations = append(e.observations, tableObservation{
				entry:       "entry-1",
				incarnation: 1,
				version:     1,
			})
		}},
	}
	Convey("Valid evidence has no findings", t, func() {
		So(validEvidence().check(), ShouldBeEmpty)
	})
	Convey("A finding is reported when", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				e := validEvidence()
				c.broken(e)
				found := e.check()
				So(found, ShouldNotBeEmpty)
				So(found[0].Promise, ShouldEqual, c.promise)
			})
		}
	})
}

// Guards against a seed that draws another schedule the next time, so that its
// findings can't be reproduced.
func TestSeedDrawsAnotherSchedule(t *testing.T) {
	size := Size{
		Entries: 2,
		Engines: 3,
	}
	Convey("A seed draws one schedule", t, func() {
		schedule := Draw(7, size, 60000)
		So(schedule, ShouldResemble, Draw(7, size, 60000))
		So(schedule, ShouldNotResemble, Draw(8, size, 60000))
		So(len(schedule), ShouldBeGreaterThan, 20)
		revokes := 0
		for _, f := range schedule {
			So(f.At+f.Duration, ShouldBeLessThanOrEqualTo, 60000-faultFreeEnd)
			if f.Kind == RevokeKey {
				revokes++
			}
		}
		So(revokes, ShouldBeLessThanOrEqualTo, 1)
	})
	Convey("All kinds of faults are drawn", t, func() {
		seen := map[Kind]bool{}
		for seed := range uint64(20) {
			for _, f := range Draw(seed, size, 60000) {
				seen[f.Kind] = true
			}
		}
		So(len(seen), ShouldEqual, len(faultWeights)+5) // the cordon, the prompt, the part, the upgrades and the funnel are drawn separately
	})
}
