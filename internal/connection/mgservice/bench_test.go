package mgservice_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgservice"
)

// BenchmarkCall compares a new connection for each call with pooled connections.
func BenchmarkCall(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	pooled := &http.Client{
		Transport: &http.Transport{},
	}
	defer pooled.CloseIdleConnections()
	for name, client := range map[string]*http.Client{
		"fresh":  nil,
		"pooled": pooled,
	} {
		b.Run(name, func(b *testing.B) {
			c := mgservice.NewHTTP(s.URL, client)
			b.ReportAllocs()
			for b.Loop() {
				_, err := c.Call(context.Background(), mgservice.CallSpec{
					Method: http.MethodGet,
					Path:   "/level",
				})
				if err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
