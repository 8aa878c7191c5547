package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	bodyBytes     = 4 << 20 // maxBodyBytes of the configuration
	burstUsers    = 30      // at each entry at once: the users of one zone
	burstRequests = 60      // to each entry in a burst
	bursts        = 3
)

// bigBodies sends requests with bodies of the greatest size that the configuration allows: one after the
// other, or, with the disruption, from many users at once. An entry is killed when it exceeds memoryMb, and
// started again, as the platform does. The rule is Fault: processes don't end by themselves three times on
// two machines.
func bigBodies(d *deployment, trouble bool) (bool, error) {
	engine, err := d.startPlainEngine("i-book", "tankbook", 101)
	if err != nil {
		return false, err
	}
	engine.work = 30 * time.Millisecond
	d.store.put("op/config", configuration(3, []any{plainRoute("r-ticket", shortHost, "/tickets/", "non_idempotent", "tankbook", 10000, 1)},
		[]any{plainService("tankbook")}, keptKey))
	if err := d.addEntries(2); err != nil {
		return false, err
	}
	if err := d.startEntries(); err != nil {
		return false, err
	}
	users := 1
	if trouble {
		users = burstUsers
	}
	ends := map[string]int{}
	for burst := range bursts {
		time.Sleep(3 * time.Second) // stableWindowMs
		d.record.line("burst %d: %d requests of %d bytes to each entry, %d users at once", burst+1, burstRequests, bodyBytes, users)
		var all sync.WaitGroup
		for _, e := range d.entries {
			all.Add(1)
			go func() {
				defer all.Done()
				watch := watchMemory(e)
				counts := sendBodies(e, users, fmt.Sprintf("%s-%d", e.name, burst))
				d.record.line("%s: answers by status (0: none) %v; its memory without files peaked at %.1f MB of %d MB",
					e.name, counts, float64(watch.end())/1e6, memoryMB)
			}()
		}
		all.Wait()
		time.Sleep(100 * time.Millisecond) // a process that was killed has ended by then
		for _, e := range d.entries {
			if !e.hasExited() {
				continue
			}
			ends[e.name]++
			d.record.line("%s exceeded its memory and was killed", e.name)
			if err := d.startEntry(e); err != nil {
				return false, err
			}
			if !e.awaitReady(20 * time.Second) {
				return false, fmt.Errorf("%s is not ready 20 s after its restart", e.name)
			}
		}
	}
	d.record.line("runs at the engine: %d; ends of processes: %v", engine.ran(), ends)
	machines := 0
	for _, count := range ends {
		if count >= 3 {
			machines++
		}
	}
	return machines >= 2, nil
}

// sendBodies sends the requests and returns how many had each status, 0 for none.
func sendBodies(to *entry, users int, name string) map[int]int {
	var mu sync.Mutex
	counts := map[int]int{}
	next := make(chan int, burstRequests)
	for n := range burstRequests {
		next <- n
	}
	close(next)
	var all sync.WaitGroup
	body := bytes.Repeat([]byte("ticket "), bodyBytes/7+1)[:bodyBytes]
	for range users {
		all.Add(1)
		go func() {
			defer all.Done()
			client := newClient()
			for n := range next {
				status := sendBody(client, to, fmt.Sprintf("%s-%d", name, n), body)
				mu.Lock()
				counts[status]++
				mu.Unlock()
			}
		}()
	}
	all.Wait()
	return counts
}

func sendBody(client *http.Client, to *entry, id string, body []byte) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+to.front()+"/tickets/2f", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = shortHost
	request.Header.Set("Authorization", "Bearer "+keptKey)
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "10000")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// memoryWatch kills a process that exceeds its memory.
type memoryWatch struct {
	stop chan struct{}
	peak chan int64
}

func watchMemory(e *entry) memoryWatch {
	w := memoryWatch{
		stop: make(chan struct{}),
		peak: make(chan int64),
	}
	go func() {
		var peak int64
		ticker := time.NewTicker(2 * time.Millisecond)
		defer ticker.Stop()
		for {
			if used := anonymousMemory(e.command.Process.Pid); used > peak {
				peak = used
				if peak > memoryMB*1e6 {
					e.signal(syscall.SIGKILL)
				}
			}
			select {
			case <-ticker.C:
			case <-w.stop:
				w.peak <- peak
				return
			}
		}
	}()
	return w
}

// end ends the watch and returns the most memory that was used.
func (w memoryWatch) end() int64 {
	close(w.stop)
	return <-w.peak
}

// anonymousMemory returns the resident memory of a process without that of files, in bytes.
func anonymousMemory(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "RssAnon:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return 1024 * kilobytes
		}
	}
	return 0
}
