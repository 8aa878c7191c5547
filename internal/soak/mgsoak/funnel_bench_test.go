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
	var firstEvents, refusals []time.Duration // times from the start of a connection
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
			took, ok := readWhole(d.entries[0], rand.Uint64())
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				refusals = append(refusals, took)
				return
			}
			served.Add(1)
			firstEvents = append(firstEvents, took)
		})
	}
	callers.Wait()
	after, err := usageOf(pid)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(served.Load())/float64(rate*int(funnelTime/mgclock.Second)), "served")
	b.ReportMetric(float64(after.cpu-before.cpu)/float64(max(served.Load(), 1)), "cpu-ms/served")
	b.ReportMetric(float64(most.memoryKiB)/1024, "MiB")
	b.ReportMetric(float64(most.files), "files")
	reportQuantiles(b, "first", firstEvents)
	reportQuantiles(b, "refused", refusals)
}

// reportQuantiles reports the median and the 99th percentile of times, if there are any.
func reportQuantiles(b *testing.B, name string, times []time.Duration) {
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2].Seconds()*1000, name+"-p50-ms")
	b.ReportMetric(times[len(times)*99/100].Seconds()*1000, name+"-p99-ms")
}

// readWhole reads a stream on a new connection and returns how long its first event took, or the
// failure in its place. Answers that the upstream breaks off count as served.
func readWhole(base string, id uint64) (took time.Duration, ok bool) {
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
		return time.Since(began), false
	}
	defer response.Body.Close()
	_, err = io.ReadFull(response.Body, make([]byte, 1))
	took = time.Since(began)
	if err != nil || response.StatusCode != http.StatusOK {
		return took, false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return took, true
}
