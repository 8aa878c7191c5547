package mgdemo

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclient"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// concurrentReaders is the number of answers that are read during a fault.
	concurrentReaders = 16
	// answerTokens is the length of each answer. The fault is injected when the first
	// reader receives token number faultToken.
	answerTokens = 600
	faultToken   = 60
	// heartbeatInterval is the heartbeat interval of the demo's processes.
	heartbeatInterval mgclock.Millis = 250
)

// proxy forwards connections to a target. After silence the open connections stay open
// and carry nothing, and new connections work.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	silent chan struct{}
	conns  []net.Conn
}

func newProxy(b *testing.B, to string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	r := &proxy{
		listener: listener,
		target:   to,
		silent:   make(chan struct{}),
	}
	go r.run()
	b.Cleanup(r.close)
	return r
}

func (r *proxy) run() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, near, far)
		silent := r.silent
		r.mu.Unlock()
		go pipe(near, far, silent)
		go pipe(far, near, silent)
	}
}

// pipe copies until one end closes. Once silent it discards what it reads and does not
// close the other end.
func pipe(from, to net.Conn, silent <-chan struct{}) {
	chunk := make([]byte, 4096)
	for {
		n, err := from.Read(chunk)
		select {
		case <-silent:
			if err != nil {
				return
			}
			continue
		default:
		}
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err := to.Write(chunk[:n]); err != nil {
			return
		}
	}
}

func (r *proxy) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.silent)
	r.silent = make(chan struct{})
}

func (r *proxy) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

// insertProxy puts a proxy between the entries and an agent, and waits until the
// entries have received the lagging list of VMs.
func insertProxy(b *testing.B, d *Deployment, name string) *proxy {
	vms := slices.Clone(d.vms)
	at := slices.IndexFunc(vms, func(vm mgplatform.VM) bool { return vm.Name == name })
	r := newProxy(b, vms[at].Addr)
	vms[at].Addr = r.listener.Addr().String()
	if _, err := d.platform.PutVMs(vms); err != nil {
		b.Fatal(err)
	}
	for r.count() == 0 {
		if _, err := newClient(d.entries).Complete(context.Background(), reportRequest(3), nil); err != nil {
			b.Fatal(err)
		}
	}
	return r
}

func (r *proxy) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

func newClient(bases []string) *mgclient.Client {
	return mgclient.New(mgclient.Spec{
		Bases:          bases,
		Key:            "sample-tankline",
		SilenceTimeout: callerSilenceTimeout,
	})
}

func reportRequest(tokens int) mgclient.Request {
	return mgclient.Request{
		Model: "report",
		Messages: []mgclient.Message{{
			Role:    "user",
			Content: fmt.Sprintf("len=%d", tokens),
		}},
	}
}

// readDuringFault reads answers concurrently, injects a fault, and records the longest
// time that each reader waited for a token. A lost or short answer is an error.
func readDuringFault(b *testing.B, bases []string, into *hdrhistogram.Histogram, fault func()) {
	var all sync.WaitGroup
	var once sync.Once
	var mu sync.Mutex
	for i := range concurrentReaders {
		all.Go(func() {
			var clock mgclock.Clock
			var last, stall mgclock.Millis
			answer, err := newClient(bases).Complete(context.Background(), reportRequest(answerTokens), func(token mgclient.Token) error {
				now := clock.Now()
				if last > 0 {
					stall = max(stall, now-last)
				}
				last = now
				if i == 0 && token.Seq() == faultToken {
					once.Do(fault)
				}
				return nil
			})
			if err != nil || answer.Tokens() != answerTokens {
				b.Errorf("%d tokens: %v", answer.Tokens(), err)
			}
			mu.Lock()
			defer mu.Unlock()
			_ = into.RecordValue(int64(stall))
		})
	}
	all.Wait()
}

func reportMetrics(b *testing.B, stalls *hdrhistogram.Histogram) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(stalls.TotalCount()), "answers")
	b.ReportMetric(float64(stalls.ValueAtQuantile(50)), "p50-ms")
	b.ReportMetric(float64(stalls.ValueAtQuantile(99)), "p99-ms")
	b.ReportMetric(float64(stalls.Max()), "max-ms")
	b.ReportMetric(float64(stalls.ValueAtQuantile(99))/float64(heartbeatInterval), "p99-beats")
}

// BenchmarkStall measures how long a caller waits for its next token when nothing
// fails, when the connection between entry and agent goes silent for good (limit:
// three heartbeats), when the caller's own connection does (limit: its Silence
// timeout), and when its entry is killed.
func BenchmarkStall(b *testing.B) {
	b.Run("none", func(b *testing.B) {
		stalls := hdrhistogram.New(1, maxRecordedGap, gapDigits)
		d := startDeployment(b)
		defer d.Close()
		for b.Loop() {
			readDuringFault(b, d.entries, stalls, func() {})
		}
		reportMetrics(b, stalls)
	})
	b.Run("silent", func(b *testing.B) {
		stalls := hdrhistogram.New(1, maxRecordedGap, gapDigits)
		d := startDeployment(b)
		defer d.Close()
		r := insertProxy(b, d, "agent-engine-1")
		for b.Loop() {
			readDuringFault(b, d.entries, stalls, r.silence)
		}
		reportMetrics(b, stalls)
	})
	b.Run("caller", func(b *testing.B) {
		stalls := hdrhistogram.New(1, maxRecordedGap, gapDigits)
		d := startDeployment(b)
		defer d.Close()
		r := newProxy(b, strings.TrimPrefix(d.entries[0], "http://"))
		bases := []string{"http://" + r.listener.Addr().String(), d.entries[1]}
		for b.Loop() {
			readDuringFault(b, bases, stalls, r.silence)
		}
		reportMetrics(b, stalls)
	})
	b.Run("entry", func(b *testing.B) {
		stalls := hdrhistogram.New(1, maxRecordedGap, gapDigits)
		for b.Loop() {
			d := startDeployment(b)
			readDuringFault(b, d.entries, stalls, d.Node("entry-1").Kill)
			d.Close()
		}
		reportMetrics(b, stalls)
	})
}

// startDeployment starts a deployment, which the caller must close.
func startDeployment(b *testing.B) *Deployment {
	d, err := Start(context.Background(), Spec{
		Entries: 2,
		Engines: 1,
	})
	if err != nil {
		b.Fatal(err)
	}
	return d
}
