package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// propagation is the time after its acknowledgement from which a version is in force (propagationMs).
	propagation = 2 * time.Second
	// configBytes is the size of the configuration, below the store's largest value (valueBytes).
	configBytes = 1_030_000
	// stormGap and stormSteps are those of a series of versions: one each 0.06 s for 1.5 s.
	stormGap   = 60 * time.Millisecond
	stormSteps = 25
	// storms is the number of such series, and stormPause the time between them.
	storms     = 5
	stormPause = 8 * time.Second
)

const lookupPath = "/puxa403/2f"

// bigConfig returns a configuration with many routes, whose route for lookups leads to a service.
func bigConfig(version, count int, service string) map[string]any {
	config := reportConfig()
	config["version"] = version
	plain := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}
	}
	lookup := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": "idempotent", "timeoutMs": 600, "goalMs": 100,
			"priority": 2, "service": service, "attempts": 2, "public": false, "sticky": false, "canResume": false, "gapGoalMs": 0,
		}
	}
	config["services"] = append(config["services"].([]any), plain("book-1"), plain("book-2"))
	routes := append(config["routes"].([]any), lookup("r-lookup", "/puxa403/", service))
	for n := range count {
		routes = append(routes, lookup(fmt.Sprintf("r-%d", n), fmt.Sprintf("/more%d/", n), "book-1"))
	}
	config["routes"] = routes
	return config
}

// routesFor returns the number of routes with which a configuration has about configBytes.
func routesFor() int {
	size := func(count int) int {
		return len(encode(bigConfig(1000, count, "book-1")))
	}
	return 1000 * (configBytes - size(0)) / (size(4000) - size(3000))
}

// bigconfig: versions of a large configuration come in quick succession. The last one must be in force in time.
func bigconfig(ctx context.Context, d *deployment, calm bool) (bool, error) {
	if err := d.beginReports(ctx); err != nil {
		return false, err
	}
	for n := range 2 {
		_, err := d.addEngine(engineSpec{
			id:      fmt.Sprintf("i-book-%d", n+1),
			service: fmt.Sprintf("book-%d", n+1),
			zone:    "zone-1",
			slots:   6,
			work:    5 * time.Millisecond,
		})
		if err != nil {
			return false, err
		}
	}
	count := routesFor()
	d.log.printf("the configuration has %d routes", count)
	version, service := 1000, "book-1"
	d.store.put("op/config", bigConfig(version, count, service))
	sleep(ctx, 5*time.Second)
	held := true
	for n := range storms {
		old := d.engines[2+n%2]
		service = fmt.Sprintf("book-%d", 2-n%2)
		steps := stormSteps
		if calm {
			steps = 1
		}
		var versions [][]byte
		for step := range steps {
			version += 3
			leadsTo := old.spec.service
			if step == steps-1 {
				leadsTo = service
			}
			versions = append(versions, encode(bigConfig(version, count-version%7, leadsTo)))
		}
		var acked time.Time
		for _, text := range versions {
			d.store.putText("op/config", text)
			acked = time.Now()
			sleep(ctx, stormGap)
		}
		d.log.printf("version %d is acknowledged: lookups go to %s", version, service)
		var wait sync.WaitGroup
		var mu sync.Mutex
		for _, e := range d.entries {
			wait.Go(func() {
				lastOld := time.Duration(0)
				for time.Since(acked) < stormPause {
					q := request{
						id:      newID(),
						method:  http.MethodGet,
						path:    lookupPath,
						host:    host,
						key:     tenantKey,
						timeout: 600 * time.Millisecond,
					}
					sent := time.Since(acked)
					if r := send(ctx, d.log, e, q); r.status == http.StatusOK && old.hasArrived(q.id) {
						lastOld = sent
					}
					sleep(ctx, 100*time.Millisecond)
				}
				d.log.printf("%s: the last request that the old service ran was sent %.3f s after the acknowledgement", e.name, lastOld.Seconds())
				if lastOld > propagation {
					mu.Lock()
					defer mu.Unlock()
					held = false
					d.log.printf("BROKEN: %s ran a request by the old service", e.name)
				}
			})
		}
		wait.Wait()
	}
	return held, nil
}
