package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	streamEvents = 200
	streamCount  = 6
)

// unframedMove streams answers that have no length and end with their connections, and empties the engine
// that makes them. The rules are ORDER (a stream ends as complete before its last piece) and MIXED.
func unframedMove(d *deployment, trouble bool) (bool, error) {
	unframed := os.Getenv("FRAMED") == "" // with FRAMED=1 the same with answers in chunks
	var engines []*modelEngine
	for i, id := range []string{"i-one", "i-two"} {
		e, err := d.startModelEngine(id, "recon-llm", 101+i, streamEvents, unframed)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	for _, e := range engines {
		for _, other := range engines {
			if other != e {
				e.peers[other.address] = other
			}
		}
	}
	route := plainRoute("r-recon", shortHost, "/recon/", "streaming", "recon-llm", 39000, 1)
	route["goalMs"], route["gapGoalMs"], route["sticky"] = 1800, 180, true
	d.store.put("op/config", configuration(3, []any{route}, []any{modelService("recon-llm")}, keptKey))
	if err := d.addEntries(2); err != nil {
		return false, err
	}
	if err := d.startEntries(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // stableWindowMs
	answers := make([]streamAnswer, streamCount)
	var all sync.WaitGroup
	for i := range answers {
		all.Add(1)
		go func() {
			defer all.Done()
			answers[i] = d.readStream(d.entries[i%len(d.entries)], fmt.Sprintf("report-%d", i+1))
		}()
	}
	time.Sleep(time.Second)
	leaving := engines[0]
	if engines[1].running() > leaving.running() {
		leaving = engines[1]
	}
	d.record.line("%s runs %d streams, %s runs %d", engines[0].id, engines[0].running(), engines[1].id, engines[1].running())
	if trouble {
		d.record.line("%s reports that it is draining", leaving.id)
		leaving.draining.Store(true)
		d.store.put("servers/"+leaving.id, map[string]any{
			"service": "recon-llm", "address": leaving.address, "zone": zone, "version": "v1", "slots": 24,
			"state": "draining", "coldLeftMs": 0, "seq": 1000,
		})
	}
	all.Wait()
	cut := 0
	for _, a := range answers {
		verdict := "whole"
		switch {
		case a.status == http.StatusOK && a.err == nil && a.events < streamEvents:
			verdict = "NOT WHOLE, BUT ENDS AS COMPLETE"
			cut++
		case a.err != nil:
			verdict = "broken off"
		}
		d.record.line("%s: status %d, %d of %d events, framing %q, end: %v: %s", a.id, a.status, a.events, streamEvents, a.framing, a.err, verdict)
	}
	return cut > 0, nil
}

// streamAnswer is what a client has seen of a stream.
type streamAnswer struct {
	id      string
	status  int
	events  int
	framing string
	err     error // how the body ended; nil for an end that looks complete
}

// readStream sends a request for a stream and reads the answer to its end.
func (d *deployment) readStream(e *entry, id string) streamAnswer {
	a := streamAnswer{
		id: id,
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+e.front()+"/recon/2f", strings.NewReader(strings.Repeat("prompt ", 400)+id))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = shortHost
	for name, value := range map[string]string{
		"Authorization": "Bearer " + keptKey, "X-Request-Id": id, "X-Deadline-Ms": "39000", "X-Model": "m",
		"X-Token-Count": "700,900", "X-Prompt-Prefix": "5c1e07a2:50,91bd3f0" + id[len(id)-1:] + ":650", "X-Length-Hint": "800",
	} {
		request.Header.Set(name, value)
	}
	response, err := newClient().Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	a.framing = "ends with its connection"
	if len(response.TransferEncoding) > 0 {
		a.framing = response.TransferEncoding[0]
	}
	body, err := io.ReadAll(response.Body)
	a.err = err
	a.events = strings.Count(string(body), "\n\n")
	return a
}
