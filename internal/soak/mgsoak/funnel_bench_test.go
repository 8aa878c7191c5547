package mgsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// funnelTime is how long new connections come in a benchmark, funnelEvents the length of the
	// stream that each of them asks for.
	funnelTime   = 5 * mgclock.Second
	funnelEvents = 20
	// sampleInterval is the interval at which the entry's memory and descriptors are read.
	sampleInterval = 50 * mgclock.Millis(1)
	// ticksPerSecond is the unit of processor times in /proc.
	ticksPerSecond = 100
)

// processUsage is what a process uses, by /proc.
type processUsage struct {
	cpu       mgclock.Millis // since its start
	memoryKiB int
	files     int
}

func usageOf(pid int) (processUsage, error) {
	var used processUsage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return used, err
	}
	var user, system mgclock.Millis
	_, afterName, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(afterName)
	if _, err := fmt.Sscan(fields[11]+" "+fields[12], &user, &system); err != nil {
		return used, err
	}
	used.cpu = (user + system) * mgclock.Second / ticksPerSecond
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return used, err
	}
	_, resident, _ := strings.Cut(string(status), "VmRSS:")
	if _, err := fmt.Sscan(resident, &used.memoryKiB); err != nil {
		return used, err
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	used.files = len(files)
	return used, err
}

// BenchmarkFunnel sends all new connections to one entry with one core, at the rate of an availability
// zone and of a region at the target size, and beyond. Each asks for a stream.
func BenchmarkFunnel(b *testing.B) {
	binary := buildProgram(b)
	b.Setenv("GOMAXPROCS", "1")
	for _, rate := range []int{560, 1300, 2500} {
		b.Run(fmt.Sprintf("new/s=%d", rate), func(b *testing.B) {
			d, err := newDeployment(context.Background(), binary, b.TempDir(), Size{
				Entries: 1,
				Engines: 1,
			})
			if err != nil {
				b.Fatal(err)
			}
			defer d.close()
			for b.Loop() {
				playFunnel(b, d, rate)
			}
		})
	}
}

// playFunnel sends new connections to a deployment's only entry and reports what they and the entry saw.
func playFunnel(b *testing.B, d *deployment, rate int) {
	pid := d.processes[d.names.entries[0]].Pid()
	before, err := usageOf(pid)
	if err != nil {
		b.Fatal(err)
	}
	var callers sync.WaitGroup
	var served atomic.Int64
	var mu sync.Mutex
	var firstEvents []time.Duration
	most := before
	interval := time.Second / time.Duration(rate)
	begin := time.Now()
	nextSample := begin
	for n := range rate * int(funnelTime/mgclock.Second) {
		time.Sleep(time.Until(begin.Add(time.Duration(n) * interval)))
		if !time.Now().Before(nextSample) {
			nextSample = time.Now().Add(sampleInterval.Duration())
			used, err := usageOf(pid)
			if err != nil {
				b.Fatal(err)
			}
			most.memoryKiB, most.files = max(most.memoryKiB, used.memoryKiB), max(most.files, used.files)
		}
		callers.Go(func() {
			first, ok := readWhole(d.entries[0], rand.Uint64())
			if !ok {
				return
			}
			served.Add(1)
			mu.Lock()
			defer mu.Unlock()
			firstEvents = append(firstEvents, first)
		})
	}
	callers.Wait()
	after, err := usageOf(pid)
	if err != nil {
		b.Fatal(err)
	}
	slices.Sort(firstEvents)
	b.ReportMetric(float64(served.Load())/float64(rate*int(funnelTime/mgclock.Second)), "served")
	b.ReportMetric(float64(after.cpu-before.cpu)/float64(max(served.Load(), 1)), "cpu-ms/served")
	b.ReportMetric(float64(most.memoryKiB)/1024, "MiB")
	b.ReportMetric(float64(most.files), "files")
	if len(firstEvents) > 0 {
		b.ReportMetric(firstEvents[len(firstEvents)/2].Seconds()*1000, "first-p50-ms")
		b.ReportMetric(firstEvents[len(firstEvents)*99/100].Seconds()*1000, "first-p99-ms")
	}
}

// readWhole reads a stream on a new connection and returns when its first event came. Answers that the
// upstream breaks off count as served.
func readWhole(base string, id uint64) (first time.Duration, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("%s/caller-%d/%d", base, id, funnelEvents), nil)
	if err != nil {
		return 0, false
	}
	request.Host = streamHost
	request.Header.Set("Authorization", "Bearer "+firstKey)
	request.Header.Set("Request-Id", fmt.Sprint(id))
	began := time.Now()
	response, err := unpooledClient.Do(request)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	if _, err := io.ReadFull(response.Body, make([]byte, 1)); err != nil || response.StatusCode != http.StatusOK {
		return 0, false
	}
	first = time.Since(began)
	_, _ = io.Copy(io.Discard, response.Body)
	return first, true
}
