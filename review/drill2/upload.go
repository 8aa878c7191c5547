package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// lateSend is the time after SIGTERM from which a request that is sent must not be cut, whatever its engine does.
const lateSend = 3 * time.Second

// upload: an entry is stopped while a client sends it a large request. What arrives whole later than lateSend
// must not be passed on to an engine and then cut.
func upload(ctx context.Context, d *deployment, calm bool) (bool, error) {
	if err := d.beginReports(ctx); err != nil {
		return false, err
	}
	stopped := d.entries[0]
	begin := time.Now()
	if !calm {
		stopped.terminate()
	}
	sleep(ctx, 1100*time.Millisecond)
	var clients sync.WaitGroup
	results := make([]result, 3)
	for n := range results {
		q := report(3000, 400)
		q.header["X-Length-Hint"] = "100"
		q.header["X-Token-Count"] = "3000,400"
		q.body = strings.Repeat(fmt.Sprintf("report %s ", q.id), 2<<20/24)
		q.upload = 4 * time.Second
		clients.Go(func() { results[n] = send(ctx, d.log, stopped, q) })
		sleep(ctx, 100*time.Millisecond)
	}
	clients.Wait()
	held := true
	for _, r := range results {
		sentAfter := r.sentAt.Sub(begin)
		if !r.sentAt.IsZero() && sentAfter > lateSend && r.status != 0 && !r.whole && d.hasArrived(r.id) {
			held = false
			d.log.printf("BROKEN: %s was sent %.3f s after SIGTERM, passed on to an engine, and its answer was cut", r.id, sentAfter.Seconds())
		}
	}
	return held, nil
}
