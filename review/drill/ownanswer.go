package main

import (
	"fmt"
	"net/http"
	"time"
)

// ownAnswer removes the route of a path that the entry's own interface has, too. The rule is MIXED: no client
// gets a success without the engine's X-Response-Signature.
func ownAnswer(d *deployment, trouble bool) (bool, error) {
	if _, err := d.startPlainEngine("i-book", "tankbook", 101); err != nil {
		return false, err
	}
	d.store.put("op/config", slashConfig(3, "/other/", "/v1/"))
	if err := d.addEntries(2); err != nil {
		return false, err
	}
	if err := d.startEntries(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // stableWindowMs
	unsigned := d.askModels("before")
	if unsigned > 0 {
		return false, fmt.Errorf("%d answers had no signature before the change", unsigned)
	}
	if trouble {
		revision := d.store.put("op/config", slashConfig(6, "/other/"))
		d.record.line("version 6 is acknowledged at revision %d: the route with the prefix /v1/ is gone", revision)
	}
	time.Sleep(propagation + time.Second)
	return d.askModels("after") > 0, nil
}

// askModels returns how many answers were successes without a signature.
func (d *deployment) askModels(when string) int {
	count := 0
	for i, e := range d.entries {
		request, err := http.NewRequest(http.MethodGet, "http://"+e.front()+"/v1/models", nil)
		if err != nil {
			continue
		}
		request.Host = shortHost
		request.Header.Set("Authorization", "Bearer "+keptKey)
		request.Header.Set("X-Request-Id", fmt.Sprintf("models-%s-%d", when, i))
		response, err := newClient().Do(request)
		if err != nil {
			d.record.line("%s: no answer: %v", when, err)
			continue
		}
		signature := response.Header.Get("X-Response-Signature")
		d.record.line("%s: GET /v1/models at %s: %s, signature %q", when, e.name, response.Status, signature)
		if response.StatusCode < 300 && signature == "" {
			count++
		}
		_ = response.Body.Close() // its status and header are what counts
	}
	return count
}
