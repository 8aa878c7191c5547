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
	lengthMin = 20
	lengthMax = 400
	// ticketPart is one in so many requests that is a write.
	ticketPart = 3
	// watchEvery is how often an entry's table is looked at, in ms.
	watchEvery = 100 * mgclock.Millis(1)
	// longGap is the gap between two tokens that the report shows, ms.
	longGap = 200
)

// caller sends one request after another until ctx ends, and notes what it got.
// What is under way then is read to its end.
func (r *run) caller(ctx context.Context, number int) {
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
		if draw.IntN(ticketPart) == 0 {
			r.book(client, name)
		} else {
			r.ask(client, name, lengthMin+draw.IntN(lengthMax-lengthMin))
		}
		r.clock.Sleep(ctx, mgclock.Millis(draw.IntN(100)))
	}
}

// ask asks for a report of a length.
func (r *run) ask(client *mgclient.Client, name string, length int) {
	seen := report{
		prompt: fmt.Sprintf("%s report len=%d.", name, length),
		length: length,
		began:  r.now(),
	}
	last := mgclock.Millis(0)
	answer, err := client.Complete(context.Background(), mgclient.Request{
		Model: "report",
		Messages: []mgclient.Message{{
			Role:    "user",
			Content: seen.prompt,
		}},
	}, func(mgclient.Token) error {
		now := r.now()
		if last > 0 {
			r.gap(now, now-last)
		}
		last = now
		return nil
	})
	seen.text, seen.tokens, seen.err, seen.ended = answer.Text(), int(answer.Tokens()), err, r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.reports = append(r.evidence.reports, seen)
}

// book books a ticket under an operation that is minted first.
func (r *run) book(client *mgclient.Client, name string) {
	ctx := context.Background()
	seen := ticket{
		body: []byte(name + " ticket"),
	}
	seen.operation, seen.err = client.Mint(ctx, "ticket")
	if seen.err == nil {
		var reply mgclient.Reply
		reply, seen.err = client.Call(ctx, mgclient.CallSpec{
			Service:   "ticket",
			Method:    http.MethodPost,
			Path:      "/book",
			Mime:      "text/plain",
			Body:      seen.body,
			Operation: seen.operation,
		})
		seen.reply, seen.status = reply.Body, reply.Status
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.tickets = append(r.evidence.tickets, seen)
}

// observer looks at the table in force at an entry over one connection, which it
// holds until that breaks, as a caller does that uses a connection until its
// process is gone.
func (r *run) observer(ctx context.Context, i int) {
	entry := r.d.names.entries[i]
	client := &http.Client{
		Transport: &http.Transport{},
	}
	defer client.CloseIdleConnections()
	for r.clock.Sleep(ctx, watchEvery) {
		before := r.life(entry)
		version, ok := markAt(ctx, client, r.d.entries[i], firstKey)
		if !ok || r.life(entry) != before {
			continue // it may be the process before or after
		}
		r.mu.Lock()
		r.evidence.looks = append(r.evidence.looks, look{
			entry:   entry,
			life:    before,
			version: version,
		})
		r.mu.Unlock()
	}
}

// markAt returns the version of the table in force at an entry.
func markAt(ctx context.Context, client *http.Client, base, key string) (int, bool) {
	ctx, cancel := context.WithTimeout(ctx, askWait)
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
