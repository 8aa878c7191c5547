package mgconfig

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// echoPeer is a peer that answers an exchange with the received summary.
type echoPeer struct{ mgrpc.Peer }

func (echoPeer) Exchange(_ context.Context, s *mgrpc.Summary) (*mgrpc.Summary, error) { return s, nil }

// BenchmarkExchangeBytes measures an exchange over twirp on a connection that is kept
// open: bytes in both directions, HTTP's overhead for the two messages, and the CPU
// time of both ends together.
func BenchmarkExchangeBytes(b *testing.B) {
	server := httptest.NewServer(mgrpc.NewPeerServer(echoPeer{}))
	defer server.Close()
	var bytes atomic.Int64
	client := &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
				return countingConn{
					Conn:  c,
					bytes: &bytes,
				}, err
			},
		},
	}
	peer := mgrpc.NewPeerProtobufClient(server.URL, client)
	s := &mgrpc.Summary{
		Name:        "entry-1234",
		Incarnation: "00000193a0c1e5f7",
		Version:     123456,
		Digest:      string(make([]byte, 64)),
		List:        123456,
		Addr:        "10.20.30.40:7402",
	}
	before := cpuTime()
	for b.Loop() {
		if _, err := peer.Exchange(context.Background(), s); err != nil {
			b.Fatal(err)
		}
	}
	wire := float64(bytes.Load()) / float64(b.N)
	b.ReportMetric(wire, "wire-B")
	b.ReportMetric(wire-2*float64(proto.Size(s)), "http-B")
	b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/float64(b.N), "cpu-ns")
}

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkPage measures the compression and the wire size of a page of about 270
// accounts, which a member serves once per edit.
func BenchmarkPage(b *testing.B) {
	var text strings.Builder
	for i := range 270 {
		fmt.Fprintf(&text, "\n[[account]]\nname = \"account-%05d\"\nkeys = [\"%s\"]\nweight = 1\nrate = 1000\nstreams = 10\nservices = [\"service-model-1\", \"service-model-2\"]\n",
			i*129, mgtable.DigestOf([]byte{byte(i), byte(i >> 8)}))
	}
	benchmarkCompress(b, []byte(text.String()))
}

// BenchmarkList measures the same for a list of 1,260 VMs.
func BenchmarkList(b *testing.B) {
	f := newFleet(1, 1260, 0)
	benchmarkCompress(b, f.platform.values[mgplatform.ListKey].Bytes())
}

func benchmarkCompress(b *testing.B, data []byte) {
	var packed []byte
	for b.Loop() {
		packed = compress(data)
	}
	b.ReportMetric(float64(len(data)), "raw-B")
	b.ReportMetric(float64(len(packed)), "wire-B")
}
