package mgsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclient"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// minReportTokens and maxReportTokens bound the length of a report. The maximum
	// takes an idle engine about two seconds.
	minReportTokens = 20
	maxReportTokens = 400
	// requestsPerTicket is the average number of requests of which one is a write.
	requestsPerTicket = 3
	// observeInterval is the interval at which an entry's table version is read, in
	// ms.
	observeInterval = 100 * mgclock.Millis(1)
	// minRecordedGap is the shortest gap between two tokens that is recorded for the
	// plot, in ms.
	minRecordedGap = 200
)

// runCaller sends requests one after another until ctx ends and records the results. A
// request in progress at that time is completed.
func (r *run) runCaller(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(r.seed, uint64(number)+1))
	first := number % len(r.deployment.entries)
	client := mgclient.New(mgclient.Spec{
		Bases:          append(slices.Clone(r.deployment.entries[first:]), r.deployment.entries[:first]...),
		Key:            firstKey,
		SilenceTimeout: 2500,
		BeginTimeout:   20000,
		MaxTries:       12,
		Jitter:         rng.Float64,
		Dial:           r.deployment.dial,
	})
	for n := 0; ctx.Err() == nil; n++ {
		name := fmt.Sprintf("caller %d, request %d,", number, n)
		if rng.IntN(requestsPerTicket) == 0 {
			r.bookTicket(client, name)
		} else {
			r.requestReport(client, name, minReportTokens+rng.IntN(maxReportTokens-minReportTokens))
		}
		r.clock.Sleep(ctx, mgclock.Millis(rng.IntN(100)))
	}
}

// requestReport requests a report of the given length and records the answer.
func (r *run) requestReport(client *mgclient.Client, name string, length int) {
	result := callerAnswer{
		prompt: fmt.Sprintf("%s report len=%d.", name, length),
		length: length,
		began:  r.now(),
	}
	last := mgclock.Millis(0)
	answer, err := client.Complete(context.Background(), mgclient.Request{
		Model: "report",
		Messages: []mgclient.Message{{
			Role:    "user",
			Content: result.prompt,
		}},
	}, func(mgclient.Token) error {
		now := r.now()
		if last > 0 {
			r.recordGap(now, now-last)
		}
		last = now
		return nil
	})
	result.text, result.tokens, result.err, result.ended = answer.Text(), int(answer.Tokens()), err, r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.answers = append(r.evidence.answers, result)
}

// bookTicket books a ticket under an operation id that it mints first.
func (r *run) bookTicket(client *mgclient.Client, name string) {
	ctx := context.Background()
	result := ticket{
		body: []byte(name + " ticket"),
	}
	result.operation, result.err = client.NewOperationID(ctx, "ticket")
	if result.err == nil {
		var reply mgclient.Reply
		reply, result.err = client.Call(ctx, mgclient.CallSpec{
			Service:   "ticket",
			Method:    http.MethodPost,
			Path:      "/book",
			Mime:      "text/plain",
			Body:      result.body,
			Operation: result.operation,
		})
		result.reply, result.status = reply.Body, reply.Status
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.tickets = append(r.evidence.tickets, result)
}

// runObserver reads the table version in force at an entry over one persistent
// connection, which it replaces only when it breaks. It so covers callers that keep a
// connection until the process exits.
func (r *run) runObserver(ctx context.Context, i int) {
	entry := r.deployment.names.entries[i]
	client := &http.Client{
		Transport: &http.Transport{},
	}
	defer client.CloseIdleConnections()
	for r.clock.Sleep(ctx, observeInterval) {
		before := r.incarnation(entry)
		version, ok := versionAt(ctx, client, r.deployment.entries[i], firstKey)
		if !ok || r.incarnation(entry) != before {
			continue // the answer may come from either incarnation
		}
		r.mu.Lock()
		r.evidence.observations = append(r.evidence.observations, tableObservation{
			entry:       entry,
			incarnation: before,
			version:     version,
		})
		r.mu.Unlock()
	}
}

// versionAt returns the version of the table in force at an entry.
func versionAt(ctx context.Context, client *http.Client, base, key string) (int, bool) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/models", nil)
	if err != nil {
		return 0, false
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&list) != nil {
		return 0, false
	}
	for _, model := range list.Data {
		if text, is := strings.CutPrefix(model.ID, "mark"); is {
			version, err := strconv.Atoi(text)
			return version, err == nil
		}
	}
	return 0, false
}
