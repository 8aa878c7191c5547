package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The deployment of the case: a report of the sheet of elda-stock (aim 4,000 ms, deadline 39,000 ms) at two
// engines.
const (
	host       = "ficu95.example"
	reportPath = "/lohu930/2f"
	tenantKey  = "xd9dnn2ctnfzs989anu6"
)

func reportConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{
				"name": "r-report", "host": host, "prefix": "/lohu930/", "kind": "streaming", "timeoutMs": 39000,
				"goalMs": 4000, "priority": 1, "service": "llm", "attempts": 1, "public": false, "sticky": true,
				"canResume": false, "gapGoalMs": 180,
			},
		},
		"services": []any{
			map[string]any{
				"name": "llm", "healthPath": "/healthz", "maxConns": 332, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 24, "kvTokens": 26868, "kvBytes": 163840, "linkMbps": 24000.0, "moves": true, "backups": true,
					"stride": 4, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0,
					"models": []any{map[string]any{"name": "m"}},
				},
			},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "apiKeys": []any{tenantKey}, "priority": 1}},
	}
}

// report returns a request for a report.
func report(prompt, output int) request {
	id := newID()
	return request{
		id:     id,
		method: http.MethodPost,
		path:   reportPath,
		host:   host,
		key:    tenantKey,
		header: map[string]string{
			"X-Model":         "m",
			"X-Token-Count":   fmt.Sprintf("%d,%d", prompt, output),
			"X-Length-Hint":   fmt.Sprint(output),
			"X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:79,%s:%d", id[:8], prompt-79),
		},
		body:    "report " + id,
		timeout: 39 * time.Second,
	}
}

// beginReports starts two engines for reports and entries in three zones.
func (d *deployment) beginReports(ctx context.Context) error {
	if err := d.begin(); err != nil {
		return err
	}
	for n := range 2 {
		_, err := d.addEngine(engineSpec{
			id:       fmt.Sprintf("i-%d", n+1),
			service:  "llm",
			zone:     fmt.Sprintf("zone-%d", n+1),
			slots:    24,
			kvTokens: 26868,
			stride:   4,
			step:     9 * time.Millisecond,
		})
		if err != nil {
			return err
		}
	}
	d.store.put("op/config", reportConfig())
	if err := d.addEntries("zone-1", "zone-2", "zone-3"); err != nil {
		return err
	}
	if err := d.awaitReady(ctx); err != nil {
		return err
	}
	sleep(ctx, meetTime)
	return nil
}

// meetTime is the time after which the entries know each other.
const meetTime = 8 * time.Second

// slack is the time after its last byte from which a request must be answered (slackMs).
const slack = 200 * time.Millisecond

// queued: entries are stopped one after the other while requests wait in them for an engine. A request that
// was read must be answered.
func queued(ctx context.Context, d *deployment, calm bool) (bool, error) {
	if err := d.beginReports(ctx); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var results []result
	var clients sync.WaitGroup
	sendTo := func(e *entry, q request) {
		clients.Go(func() {
			r := send(ctx, d.log, e, q)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		})
	}
	// Long reports fill the memory of both engines. The first entry to be stopped relays most of them.
	first, second, third := d.entries[1], d.entries[0], d.entries[2]
	for _, e := range []*entry{second, third} {
		sendTo(e, report(1500, 2200))
		sleep(ctx, 300*time.Millisecond)
	}
	for n := range 8 {
		if n < 6 {
			sendTo(first, report(6000, 2200))
		} else {
			sendTo(first, report(1500, 2200))
		}
		sleep(ctx, 300*time.Millisecond)
	}
	sleep(ctx, time.Second)
	if !calm {
		go func() {
			for _, e := range []*entry{first, second, third} {
				e.terminate()
				sleep(ctx, time.Second)
			}
		}()
	}
	sleep(ctx, 2100*time.Millisecond)
	for range 3 {
		sendTo(first, report(3000, 748))
		sleep(ctx, 100*time.Millisecond)
	}
	clients.Wait()
	held := true
	for _, r := range results {
		late := r.ended.Sub(r.sentAt)
		if r.wasRead() && late > slack && !d.hasArrived(r.id) {
			held = false
			d.log.printf("BROKEN: %s was read and reached no engine, and its connection ended without an answer %.3f s after its last byte", r.id, late.Seconds())
		}
	}
	return held, nil
}
