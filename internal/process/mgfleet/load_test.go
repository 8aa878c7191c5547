package mgfleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclient"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// The load of each scene: reports that stream while tickets are booked.
const (
	reports = 8
	tickets = 8
	// length is the tokens of a report, about a second of an idle engine.
	length = 150
	// fixed is the token of the first report at which a scene's harm is done.
	fixed = 20
)

// harm is what a scene does to the fleet at its fixed point. It reports
// whether it struck work in progress: a scene whose harm strikes nothing
// proves nothing.
type harm func(f *fleet) bool

// report is one answer as its caller has it.
type report struct {
	prompt string
	answer mgclient.Answer
	err    error
}

// ticket is one write as its caller has it.
type ticket struct {
	operation string
	reply     mgclient.Reply
	err       error
}

// caller returns a caller that prefers one of the entries.
func (f *fleet) caller(i int) *mgclient.Client {
	first := i % len(f.entries)
	return mgclient.New(mgclient.Spec{
		Bases:   append(slices.Clone(f.entries[first:]), f.entries[:first]...),
		Key:     "sample-tankline",
		Silence: 2500,
		Begin:   20000,
		Tries:   12,
		Jitter:  func() float64 { return 0.5 },
	})
}

// outcome is what callers of a scene got.
type outcome struct {
	reports []report
	tickets []ticket
	struck  bool
}

// play sends a scene's load, does its harm once each report has begun and the
// first is at the fixed point, and returns what callers got once all have an
// answer or a problem.
func (f *fleet) play(ctx context.Context, scene string, do harm) outcome {
	var once sync.Once
	var callers, begun sync.WaitGroup
	struck := false
	harmed := make(chan struct{})
	begun.Add(reports)
	reported := make([]report, reports)
	booked := make([]ticket, tickets)
	for i := range reports {
		callers.Go(func() {
			first := sync.OnceFunc(begun.Done)
			defer first()
			reported[i] = f.report(ctx, scene, i, func(token mgclient.Token) error {
				first()
				if token.Seq() == fixed {
					once.Do(func() {
						begun.Wait()
						struck = do(f)
						close(harmed)
					})
				}
				return nil
			})
		})
	}
	for i := range tickets {
		callers.Go(func() {
			// Half of the tickets come after the harm.
			if i%2 == 1 {
				select {
				case <-harmed:
				case <-ctx.Done():
				}
			}
			booked[i] = f.book(ctx, scene, i)
		})
	}
	callers.Wait()
	return outcome{
		reports: reported,
		tickets: booked,
		struck:  struck,
	}
}

func (f *fleet) report(ctx context.Context, scene string, i int, each func(mgclient.Token) error) report {
	prompt := fmt.Sprintf("%s, report %d, len=%d.", scene, i, length)
	answer, err := f.caller(i).Complete(ctx, mgclient.Request{
		Model: "report",
		Messages: []mgclient.Message{
			{
				Role:    "user",
				Content: prompt,
			},
		},
	}, each)
	return report{
		prompt: prompt,
		answer: answer,
		err:    err,
	}
}

func (f *fleet) book(ctx context.Context, scene string, i int) ticket {
	client := f.caller(i)
	operation, err := client.Mint(ctx, "ticket")
	if err != nil {
		return ticket{
			err: err,
		}
	}
	reply, err := client.Call(ctx, mgclient.CallSpec{
		Service:   "ticket",
		Method:    http.MethodPost,
		Path:      "/book",
		Mime:      "text/plain",
		Body:      body(scene, i),
		Operation: operation,
	})
	return ticket{
		operation: operation,
		reply:     reply,
		err:       err,
	}
}

func body(scene string, i int) []byte { return fmt.Appendf(nil, "%s, ticket %d", scene, i) }

// engines returns what both engines generated.
func (f *fleet) engines() mgstandin.EngineCounts {
	all := mgstandin.EngineCounts{
		Generations: map[string]mgstandin.Record{},
	}
	for _, name := range []string{"engine-a", "engine-b"} {
		var counts mgstandin.EngineCounts
		f.counts(name, &counts)
		for id, record := range counts.Generations {
			record.Starts += all.Generations[id].Starts
			all.Generations[id] = record
		}
	}
	return all
}

// checkReports compares what callers got with what the engines generated and
// returns what is wrong. Lossless is whether the scene may lose no report.
func (f *fleet) checkReports(reported []report, lossless bool) []string {
	var wrong []string
	engines := f.engines()
	for id, record := range engines.Generations {
		if record.Starts != 1 {
			wrong = append(wrong, fmt.Sprintf("generation %s was started %d times", id, record.Starts))
		}
	}
	for _, r := range reported {
		if fault := checkReport(engines, r, lossless); fault != "" {
			wrong = append(wrong, r.prompt+" "+fault)
		}
	}
	return wrong
}

func checkReport(engines mgstandin.EngineCounts, r report, lossless bool) string {
	text := r.answer.Text()
	if r.err == nil {
		id, record, found := engines.Find(text)
		switch {
		case !found:
			return fmt.Sprintf("the text of %d tokens is no generation's", r.answer.Tokens())
		case !strings.Contains(record.Prompt, r.prompt):
			return fmt.Sprintf("crossed: generation %s was for %q", id, record.Prompt)
		case record.Tokens != length:
			return fmt.Sprintf("generation %s has %d tokens", id, record.Tokens)
		}
		return ""
	}
	if lossless {
		return "lost: " + r.err.Error()
	}
	return checkProblem(engines, r)
}

// checkProblem checks that a report that isn't whole is told so truly: it is
// the beginning of one generation, and not told not run where one began.
func checkProblem(engines mgstandin.EngineCounts, r report) string {
	beginning := r.answer.Tokens() == 0
	for id, record := range engines.Generations {
		mine := strings.Contains(record.Prompt, r.prompt)
		beginning = beginning || mine && mgstandin.Whole(id, int(r.answer.Tokens())) == r.answer.Text()
	}
	switch {
	case mgproblem.From(r.err).Outcome() == mgproblem.NotRun && began(engines, r.prompt):
		return "told not run, and a generation began: " + r.err.Error()
	case !beginning:
		return "what came is the beginning of no generation"
	}
	return ""
}

// checkTickets compares what callers got with what the service ran.
func (f *fleet) checkTickets(scene string, booked []ticket, lossless bool) []string {
	var wrong []string
	var counts mgstandin.ServiceCounts
	f.counts("books", &counts)
	for operation, runs := range counts.Runs {
		if runs > 1 {
			wrong = append(wrong, fmt.Sprintf("operation %s ran %d times", operation, runs))
		}
	}
	for i, b := range booked {
		runs := counts.Runs[b.operation]
		if fault := checkTicket(body(scene, i), b, runs, lossless); fault != "" {
			wrong = append(wrong, fmt.Sprintf("ticket %d, run %d times: %s", i, runs, fault))
		}
	}
	return wrong
}

func checkTicket(sent []byte, b ticket, runs int, lossless bool) string {
	if b.err == nil && b.reply.Status == http.StatusServiceUnavailable {
		if runs > 0 {
			return "refused by the service, and run"
		}
		return ""
	}
	if b.err == nil {
		var reply mgstandin.ServiceReply
		err := json.Unmarshal(b.reply.Body, &reply)
		switch {
		case err != nil:
			return fmt.Sprintf("status %d and no reply of the service's: %v", b.reply.Status, err)
		case reply.Digest != mgstandin.Digest(sent) || reply.Operation != b.operation:
			return "crossed: the reply is another ticket's"
		case runs != 1:
			return "answered, and not run once"
		}
		return ""
	}
	notRun := mgproblem.From(b.err).Outcome() == mgproblem.NotRun
	switch {
	case notRun && runs > 0:
		return "told not run: " + b.err.Error()
	case lossless:
		return "lost: " + b.err.Error()
	}
	return ""
}
