package mgconfig

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
)

// counted counts the bytes that pass a connection.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// echo is a peer that answers an exchange with its own summary.
type echo struct{ mgrpc.Peer }

func (echo) Exchange(_ context.Context, s *mgrpc.Summary) (*mgrpc.Summary, error) { return s, nil }

// BenchmarkExchangeBytes measures an exchange over twirp on a connection that is
// kept open: bytes in both directions, what HTTP adds to the two messages, and
// processor time of both ends together.
func BenchmarkExchangeBytes(b *testing.B) {
	server := httptest.NewServer(mgrpc.NewPeerServer(echo{}))
	defer server.Close()
	var bytes atomic.Int64
	client := &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
				return counted{
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
	before := processor()
	for b.Loop() {
		if _, err := peer.Exchange(context.Background(), s); err != nil {
			b.Fatal(err)
		}
	}
	wire := float64(bytes.Load()) / float64(b.N)
	b.ReportMetric(wire, "wire-B")
	b.ReportMetric(wire-2*float64(proto.Size(s)), "http-B")
	b.ReportMetric(float64((processor()-before).Nanoseconds())/float64(b.N), "cpu-ns")
}

// processor returns the processor time that the process has used.
func processor() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
