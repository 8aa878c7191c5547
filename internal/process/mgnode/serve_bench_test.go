package mgnode

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgbody"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgbudget"
)

// BenchmarkServe measures a request on a kept connection whose body is received within a budget, for
// several sizes of the body in bytes.
func BenchmarkServe(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 17_000, 256 << 10, 4 << 20} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			listener, err := mglistener.Listen("127.0.0.1:0", nil)
			if err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				Serve(ctx, ctx, logr.Discard(), ServerSpec{
					Name:     "callers",
					Listener: listener,
					Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						if _, err := mgbody.ReadAll(r); err != nil {
							b.Error(err)
						}
						w.WriteHeader(http.StatusNoContent)
					}),
					Budget:        mgbudget.New(64e6),
					ConnBytes:     mgbudget.CallerConnBytes,
					ReceiveBuffer: callerReceiveBuffer,
				})
			}()
			body := make([]byte, size)
			client := &http.Client{
				Transport: &http.Transport{},
			}
			b.ReportAllocs()
			for b.Loop() {
				response, err := client.Post("http://"+listener.Addr().String(), "", bytes.NewReader(body))
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body) // it has none
				_ = response.Body.Close()
			}
			client.CloseIdleConnections()
			cancel()
			<-done
		})
	}
}
