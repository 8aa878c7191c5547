package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

// The added host and the key that goes. Labels of a host name have at most 63 characters and
// all of it 253 (RFC 1035, 2.3.4).
const (
	longName = "inventory-level-lookups.burnaby-hall.lower-mainland.terminals.tankline.example"
	lostKey  = "key-of-the-tablet"
)

// hostConfig returns a configuration. The second one moves the route to another service, takes a key away
// and adds a route of the added host.
func hostConfig(version int, addedHost string) map[string]any {
	routes := []any{plainRoute("r-levels", shortHost, "/levels/", "idempotent", "old-book", 1200, 2)}
	keys := []string{keptKey, lostKey}
	if version > 1 {
		routes = []any{
			plainRoute("r-levels", shortHost, "/levels/", "idempotent", "new-book", 1200, 2),
			plainRoute("r-added", addedHost, "/levels/", "idempotent", "new-book", 1200, 2),
		}
		keys = []string{keptKey}
	}
	return configuration(3*version, routes, []any{plainService("old-book"), plainService("new-book")}, keys...)
}

// longHost changes the configuration: a route moves, a key goes, and a route of a host with a long name is
// added. The rule is CONFIG: later than propagationMs after the acknowledgement nothing is handled as only
// the older version allows.
func longHost(d *deployment, trouble bool) (bool, error) {
	added := longName
	if os.Getenv("SHORT") != "" {
		added = "levels.example" // the same change without the long name
	}
	oldBook, err := d.startPlainEngine("i-old", "old-book", 101)
	if err != nil {
		return false, err
	}
	newBook, err := d.startPlainEngine("i-new", "new-book", 102)
	if err != nil {
		return false, err
	}
	d.store.put("op/config", hostConfig(1, added))
	if err := d.addEntries(3); err != nil {
		return false, err
	}
	if err := d.startEntries(); err != nil {
		return false, err
	}
	d.record.line("three entries are ready with version 3: %s leads to old-book, two keys", shortHost)
	time.Sleep(3 * time.Second) // stableWindowMs
	if bad := d.askAll("before", shortHost, keptKey, "old-book") + d.askAll("before", shortHost, lostKey, "old-book"); bad > 0 {
		return false, fmt.Errorf("%d requests were not answered as version 3 says", bad)
	}
	if !trouble {
		time.Sleep(propagation + time.Second)
		return d.askAll("later", shortHost, keptKey, "old-book")+d.askAll("later", shortHost, lostKey, "old-book") > 0, nil
	}
	revision := d.store.put("op/config", hostConfig(2, added))
	d.record.line("version 6 is acknowledged at revision %d: %s leads to new-book, one key is gone, and host %s (%d characters) is added",
		revision, shortHost, added, len(added))
	isBroken := false
	for _, wait := range []time.Duration{propagation + time.Second, 5 * time.Second, 10 * time.Second} {
		time.Sleep(wait)
		stale := d.askAll("moved route", shortHost, keptKey, "new-book")
		stale += d.askAll("dropped key", shortHost, lostKey, "")
		stale += d.askAll("added route", added, keptKey, "new-book")
		d.record.line("%d of %d requests were handled as only version 3 allows", stale, 3*len(d.entries)*asks)
		isBroken = stale > 0
	}
	d.record.line("runs: old-book %d, new-book %d", oldBook.ran(), newBook.ran())
	if isBroken && os.Getenv("RESTART") != "" {
		d.restartAll()
	}
	return isBroken, nil
}

// asks is the number of requests to each entry.
const asks = 10

// askAll sends requests to each entry and returns how many of them weren't answered by a service, or, if
// that is "", weren't refused with 401.
func (d *deployment) askAll(what, host, key, service string) int {
	client := newClient()
	bad := 0
	for _, e := range d.entries {
		seen := map[string]int{}
		for n := range asks {
			status, body := ask(client, e, host, key, fmt.Sprintf("%d-%d", time.Now().UnixNano(), n))
			isRight := status == http.StatusOK && service != "" && strings.HasPrefix(body, "answer of "+service+" ") ||
				status == http.StatusUnauthorized && service == ""
			if !isRight {
				bad++
			}
			if status == http.StatusOK {
				body, _, _ = strings.Cut(body, " to ")
			} else {
				body = ""
			}
			seen[strings.TrimSpace(fmt.Sprintf("%d %s", status, body))]++
		}
		d.record.line("%s at %s, host %.20s, %s: %v", what, e.name, host, key, seen)
	}
	return bad
}

// ask sends one request and returns the status, 0 if there was no answer, and the body.
func ask(client *http.Client, e *entry, host, key, id string) (int, string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+e.front()+"/levels/7", nil)
	if err != nil {
		return 0, ""
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "1200")
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

// restartAll kills all entries, starts them again and records whether they become ready within recoverS.
func (d *deployment) restartAll() {
	for _, e := range d.entries {
		e.signal(9)
		<-e.exited
	}
	d.record.line("all entries were killed and are started again")
	for _, e := range d.entries {
		if err := d.startEntry(e); err != nil {
			d.record.line("%v", err)
		}
	}
	time.Sleep(recoverTime)
	for _, e := range d.entries {
		d.record.line("%s is ready %v after the restart: %v", e.name, recoverTime, e.isReady())
	}
}
