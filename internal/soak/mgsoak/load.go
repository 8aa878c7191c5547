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
	// lengthMin and lengthMax bound the tokens of a report, up to about two seconds
	// of an idle engine.
	minReportTokens = 20
	maxReportTokens = 400
	// ticketPart is one in so many requests that is a write.
	requestsPerTicket = 3
	// watchEvery is how often an entry's table is looked at, in ms.
	observeInterval = 100 * mgclock.Millis(1)
	// longGap is the gap between two tokens that the report shows, ms.
	minRecordedGap = 200
)

// caller sends one request after another until ctx ends, and notes what it got.
// What is under way then is read to its end.
func (r *run) runCaller(ctx context.Context, number int) {
	draw := rand.New(rand.NewPCG(r.seed, uint64(number)+1))
	first := number % len(r.d.entries)
	client := mgclient.New(mgclient.Spec{
		Bases:   append(slices.Clone(r.d.entries[first:]), r.d.entries[:first]...),
		Key:     firstKey,
		Silence: 2500,
		Begin:   20000,
		Tries:   12,
		Jitter:  draw.Float64,
		Dial:    r.d.dial,
	})
	for n := 0; ctx.Err() == nil; n++ {
		name := fmt.Sprintf("caller %d, request %d,", number, n)
		if draw.IntN(requestsPerTicket) == 0 {
			r.bookTicket(client, name)
		} else {
			r.requestReport(client, name, minReportTokens+draw.IntN(maxReportTokens-minReportTokens))
		}
		r.clock.Sleep(ctx, mgclock.Millis(draw.IntN(100)))
	}
}

// ask asks for a report of a length.
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

// book books a ticket under an operation that is minted first.
func (r *run) bookTicket(client *mgclient.Client, name string) {
	ctx := context.Background()
	result := ticket{
		body: []byte(name + " ticket"),
	}
	result.operation, result.err = client.Mint(ctx, "ticket")
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

// observer looks at the table in force at an entry over one connection, which it
// holds until that breaks, as a caller does that uses a connection until its
// process is gone.
func (r *run) runObserver(ctx context.Context, i int) {
	entry := r.d.names.entries[i]
	client := &http.Client{
		Transport: &http.Transport{},
	}
	defer client.CloseIdleConnections()
	for r.clock.Sleep(ctx, observeInterval) {
		before := r.incarnation(entry)
		version, ok := versionAt(ctx, client, r.d.entries[i], firstKey)
		if !ok || r.incarnation(entry) != before {
			continue // it may be the process before or after
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

// markAt returns the version of the table in force at an entry.
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
