package mgdemo_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgdemo"
)

// concurrentStreams is the number of concurrent answers. With 32, tokens are sent one
// by one, as at the usual speed of an engine.
const concurrentStreams = 32

// cpuTime returns the processor time of this process in ns.
func cpuTime(b *testing.B) float64 {
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		b.Fatal(err)
	}
	return float64(use.Utime.Nano() + use.Stime.Nano())
}

// ignoreToken is the token callback of reads that measure no latency.
func ignoreToken() {}

func startBenchDeployment(b *testing.B) *mgdemo.Deployment {
	d, err := mgdemo.Start(context.Background(), mgdemo.Spec{
		Entries: 1,
		Engines: 1,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(d.Close)
	return d
}

// BenchmarkToken compares the processor time per token through entry and agent with
// that of calling the same engine directly. All processes and the caller run in this
// process, so that each figure includes both ends of every hop. The ratio is path over
// direct.
func BenchmarkToken(b *testing.B) {
	d := startBenchDeployment(b)
	var direct, path float64
	b.Run("direct", func(b *testing.B) {
		direct = cpuPerToken(b, func(i, tokens int) error { return readDirect(b, d, i, tokens, ignoreToken) })
	})
	b.Run("path", func(b *testing.B) {
		path = cpuPerToken(b, func(_, tokens int) error { return readPath(d, tokens, ignoreToken) })
		b.ReportMetric(path/direct, "ratio")
	})
}

// cpuPerToken reads b.N tokens in concurrentStreams answers and returns the processor
// time per token.
func cpuPerToken(b *testing.B, read func(i, tokens int) error) float64 {
	tokens := max(b.N/concurrentStreams, 1)
	before := cpuTime(b)
	b.ReportAllocs()
	var readers sync.WaitGroup
	for i := range concurrentStreams {
		readers.Go(func() {
			if err := read(i, tokens); err != nil {
				b.Error(err)
			}
		})
	}
	readers.Wait()
	spent := (cpuTime(b) - before) / float64(tokens*concurrentStreams)
	b.ReportMetric(spent, "cpu-ns/token")
	return spent
}

// readDirect reads an answer from the engine and calls seen for each token.
func readDirect(b *testing.B, d *mgdemo.Deployment, i, tokens int, seen func()) error {
	ctx := context.Background()
	client := d.EngineClient("engine-1")
	id := fmt.Sprintf("direct-%d-%d", b.N, i)
	if err := client.Start(ctx, mgengine.StartSpec{
		ID:           id,
		Model:        "tank-70b",
		Prompt:       fmt.Sprintf("len=%d", tokens),
		PromptTokens: 4,
	}); err != nil {
		return err
	}
	stream, err := client.Stream(ctx, id, 1)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		token, err := stream.Next(ctx)
		if err != nil || token.End != "" {
			return err
		}
		if token.Seq > 0 {
			seen()
		}
	}
}

// readPath reads an answer through an entry and calls seen for each token.
func readPath(d *mgdemo.Deployment, tokens int, seen func()) error {
	body := fmt.Sprintf(`{"model":"report","stream":true,"messages":[{"role":"user","content":"len=%d"}]}`, min(tokens, 4096))
	request, err := http.NewRequest(http.MethodPost, d.Entries()[0]+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer sample-tankline")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("status %s: %s", response.Status, text)
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		line := lines.Bytes()
		if string(line) == "data: [DONE]" {
			return nil
		}
		if bytes.HasPrefix(line, []byte("data: ")) && bytes.Contains(line, []byte(`"finish_reason":null`)) {
			seen()
		}
	}
	return fmt.Errorf("the stream ended early: %w", io.ErrUnexpectedEOF)
}

// BenchmarkRequest compares the processor time of one-token requests through entry and
// agent with that of calling the same engine directly, one request at a time.
func BenchmarkRequest(b *testing.B) {
	d := startBenchDeployment(b)
	var direct, path float64
	b.Run("direct", func(b *testing.B) {
		before := cpuTime(b)
		b.ReportAllocs()
		n := 0
		for b.Loop() {
			n++
			if err := readDirect(b, d, 1000+n, 1, ignoreToken); err != nil {
				b.Fatal(err)
			}
		}
		direct = (cpuTime(b) - before) / float64(n)
		b.ReportMetric(direct, "cpu-ns/request")
	})
	b.Run("path", func(b *testing.B) {
		before := cpuTime(b)
		b.ReportAllocs()
		n := 0
		for b.Loop() {
			n++
			if err := readPath(d, 1, ignoreToken); err != nil {
				b.Fatal(err)
			}
		}
		path = (cpuTime(b) - before) / float64(n)
		b.ReportMetric(path, "cpu-ns/request")
		b.ReportMetric(path/direct, "ratio")
	})
}

// BenchmarkLatency compares the time to the first token and the gaps between tokens
// through entry and agent with those of calling the engine directly. Each iteration
// reads eight answers of 200 tokens at once.
func BenchmarkLatency(b *testing.B) {
	const answers, tokens = 8, 200
	d := startBenchDeployment(b)
	run := func(b *testing.B, read func(i, tokens int, seen func()) error) {
		var mu sync.Mutex
		first := hdrhistogram.New(1, 60_000_000, 3)
		gaps := hdrhistogram.New(1, 60_000_000, 3)
		round := 0
		for b.Loop() {
			round++
			var readers sync.WaitGroup
			for i := range answers {
				readers.Go(func() {
					begun, last := time.Now(), time.Time{}
					err := read(round*answers+i, tokens, func() {
						now := time.Now()
						mu.Lock()
						defer mu.Unlock()
						if last.IsZero() {
							_ = first.RecordValue(now.Sub(begun).Microseconds())
						} else {
							_ = gaps.RecordValue(now.Sub(last).Microseconds())
						}
						last = now
					})
					if err != nil {
						b.Error(err)
					}
				})
			}
			readers.Wait()
		}
		for name, h := range map[string]*hdrhistogram.Histogram{
			"first": first,
			"gap":   gaps,
		} {
			b.ReportMetric(float64(h.ValueAtQuantile(50)), name+"-p50-us")
			b.ReportMetric(float64(h.ValueAtQuantile(99)), name+"-p99-us")
		}
	}
	b.Run("direct", func(b *testing.B) {
		run(b, func(i, tokens int, seen func()) error { return readDirect(b, d, i, tokens, seen) })
	})
	b.Run("path", func(b *testing.B) {
		run(b, func(_, tokens int, seen func()) error { return readPath(d, tokens, seen) })
	})
}
