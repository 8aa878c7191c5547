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

// The load of each scenario: reports that stream while tickets are booked.
const (
	reportCount = 8
	ticketCount = 8
	// reportTokens is the length of a report, about a second of an idle engine.
	reportTokens = 150
	// faultToken is the token of the first report at which a scenario's failure
	// is injected.
	faultToken = 20
)

// injection injects a scenario's failure into the fleet. It reports whether it
// hit work in progress: a failure that hits nothing proves nothing.
type injection func(f *fleet) bool

// reportResult is one answer as its caller received it.
type reportResult struct {
	prompt string
	answer mgclient.Answer
	err    error
}

// ticketResult is one write as its caller received it.
type ticketResult struct {
	operation string
	reply     mgclient.Reply
	err       error
}

// newClient returns a client that prefers one of the entries.
func (f *fleet) newClient(i int) *mgclient.Client {
	first := i % len(f.entries)
	return mgclient.New(mgclient.Spec{
		Bases:          append(slices.Clone(f.entries[first:]), f.entries[:first]...),
		Key:            "sample-tankline",
		SilenceTimeout: 2500,
		BeginTimeout:   20000,
		MaxTries:       12,
		Jitter:         func() float64 { return 0.5 },
	})
}

// loadResult is what the callers of a scenario received.
type loadResult struct {
	reports []reportResult
	tickets []ticketResult
	hitWork bool
}

// runLoad sends a scenario's load, injects its failure once each report has
// started and the first has reached faultToken, and returns what the callers
// received once all have an answer or a problem.
func (f *fleet) runLoad(ctx context.Context, scenarioName string, inject injection) loadResult {
	var injectOnce sync.Once
	var callers, allStarted sync.WaitGroup
	hitWork := false
	injected := make(chan struct{})
	allStarted.Add(reportCount)
	reports := make([]reportResult, reportCount)
	tickets := make([]ticketResult, ticketCount)
	for i := range reportCount {
		callers.Go(func() {
			first := sync.OnceFunc(allStarted.Done)
			defer first()
			reports[i] = f.sendReport(ctx, scenarioName, i, func(token mgclient.Token) error {
				first()
				if token.Seq() == faultToken {
					injectOnce.Do(func() {
						allStarted.Wait()
						hitWork = inject(f)
						close(injected)
					})
				}
				return nil
			})
		})
	}
	for i := range ticketCount {
		callers.Go(func() {
			// Half of the tickets are booked after the failure.
			if i%2 == 1 {
				select {
				case <-injected:
				case <-ctx.Done():
				}
			}
			tickets[i] = f.bookTicket(ctx, scenarioName, i)
		})
	}
	callers.Wait()
	return loadResult{
		reports: reports,
		tickets: tickets,
		hitWork: hitWork,
	}
}

func (f *fleet) sendReport(ctx context.Context, scenarioName string, i int, each func(mgclient.Token) error) reportResult {
	prompt := fmt.Sprintf("%s, report %d, len=%d.", scenarioName, i, reportTokens)
	answer, err := f.newClient(i).Complete(ctx, mgclient.Request{
		Model: "report",
		Messages: []mgclient.Message{
			{
				Role:    "user",
				Content: prompt,
			},
		},
	}, each)
	return reportResult{
		prompt: prompt,
		answer: answer,
		err:    err,
	}
}

func (f *fleet) bookTicket(ctx context.Context, scenarioName string, i int) ticketResult {
	client := f.newClient(i)
	operation, err := client.NewOperationID(ctx, "ticket")
	if err != nil {
		return ticketResult{
			err: err,
		}
	}
	reply, err := client.Call(ctx, mgclient.CallSpec{
		Service:   "ticket",
		Method:    http.MethodPost,
		Path:      "/book",
		Mime:      "text/plain",
		Body:      ticketBody(scenarioName, i),
		Operation: operation,
	})
	return ticketResult{
		operation: operation,
		reply:     reply,
		err:       err,
	}
}

func ticketBody(scenarioName string, i int) []byte {
	return fmt.Appendf(nil, "%s, ticket %d", scenarioName, i)
}

// engineCounts returns what both engines generated.
func (f *fleet) engineCounts() mgstandin.EngineCounts {
	all := mgstandin.EngineCounts{
		Generations: map[string]mgstandin.Record{},
	}
	for _, name := range []string{"engine-a", "engine-b"} {
		var counts mgstandin.EngineCounts
		f.readCounts(name, &counts)
		for id, record := range counts.Generations {
			record.Starts += all.Generations[id].Starts
			all.Generations[id] = record
		}
	}
	return all
}

// checkReports compares what callers received with what the engines generated
// and returns the violations. If lossless is set, no report may be lost.
func (f *fleet) checkReports(reports []reportResult, lossless bool) []string {
	var violations []string
	engines := f.engineCounts()
	for id, record := range engines.Generations {
		if record.Starts != 1 {
			violations = append(violations, fmt.Sprintf("generation %s was started %d times", id, record.Starts))
		}
	}
	for _, r := range reports {
		if fault := checkReport(engines, r, lossless); fault != "" {
			violations = append(violations, r.prompt+" "+fault)
		}
	}
	return violations
}

func checkReport(engines mgstandin.EngineCounts, r reportResult, lossless bool) string {
	text := r.answer.Text()
	if r.err == nil {
		id, record, found := engines.Find(text)
		switch {
		case !found:
			return fmt.Sprintf("the text of %d tokens matches no generation", r.answer.Tokens())
		case !strings.Contains(record.Prompt, r.prompt):
			return fmt.Sprintf("crossed: generation %s was for %q", id, record.Prompt)
		case record.Tokens != reportTokens:
			return fmt.Sprintf("generation %s has %d tokens", id, record.Tokens)
		}
		return ""
	}
	if lossless {
		return "lost: " + r.err.Error()
	}
	return checkProblem(engines, r)
}

// checkProblem checks that the problem of an incomplete report is truthful: its
// text is a prefix of one generation, and it is not reported as not run if a
// generation was started.
func checkProblem(engines mgstandin.EngineCounts, r reportResult) string {
	isPrefix := r.answer.Tokens() == 0
	for id, record := range engines.Generations {
		sameRequest := strings.Contains(record.Prompt, r.prompt)
		isPrefix = isPrefix || sameRequest && mgstandin.FirstTokens(id, int(r.answer.Tokens())) == r.answer.Text()
	}
	switch {
	case mgproblem.From(r.err).Outcome() == mgproblem.NotRun && wasStarted(engines, r.prompt):
		return "reported as not run, but a generation was started: " + r.err.Error()
	case !isPrefix:
		return "the received text is a prefix of no generation"
	}
	return ""
}

// checkTickets compares what callers received with what the service ran.
func (f *fleet) checkTickets(scenarioName string, tickets []ticketResult, lossless bool) []string {
	var violations []string
	var counts mgstandin.ServiceCounts
	f.readCounts("books", &counts)
	for operation, runs := range counts.Runs {
		if runs > 1 {
			violations = append(violations, fmt.Sprintf("operation %s ran %d times", operation, runs))
		}
	}
	for i, b := range tickets {
		runs := counts.Runs[b.operation]
		if fault := checkTicket(ticketBody(scenarioName, i), b, runs, lossless); fault != "" {
			violations = append(violations, fmt.Sprintf("ticket %d, run %d times: %s", i, runs, fault))
		}
	}
	return violations
}

func checkTicket(sent []byte, b ticketResult, runs int, lossless bool) string {
	if b.err == nil && b.reply.Status == http.StatusServiceUnavailable {
		if runs > 0 {
			return "refused by the service, but it ran"
		}
		return ""
	}
	if b.err == nil {
		var reply mgstandin.ServiceReply
		err := json.Unmarshal(b.reply.Body, &reply)
		switch {
		case err != nil:
			return fmt.Sprintf("status %d and not a reply of the service: %v", b.reply.Status, err)
		case reply.Digest != mgstandin.Digest(sent) || reply.Operation != b.operation:
			return "crossed: the reply is another ticket's"
		case runs != 1:
			return "answered, but it did not run exactly once"
		}
		return ""
	}
	notRun := mgproblem.From(b.err).Outcome() == mgproblem.NotRun
	switch {
	case notRun && runs > 0:
		return "reported as not run, but it ran: " + b.err.Error()
	case lossless:
		return "lost: " + b.err.Error()
	}
	return ""
}
