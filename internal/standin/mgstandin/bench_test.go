package mgstandin_test

import (
	"context"
	"testing"

	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// BenchmarkStream measures the delivery of a token from an engine to an agent, with
// one stream at a time and steps that take no time.
func BenchmarkStream(b *testing.B) {
	e := mgstandin.NewEngine(mgstandin.EngineSpec{
		Model: mgmodel.Spec{
			Memory: 1 << 30,
			Speed:  1e9,
		},
	}, mgclock.Clock{})
	ctx, cancel := context.WithCancel(context.Background())
	s, err := mgstandin.Listen("127.0.0.1:0", e.Handler())
	if err != nil {
		b.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
		_ = s.Close()
	}()
	client := mgengine.NewHTTP(s.URL(), nil)
	b.ReportAllocs()
	if err := startGeneration(ctx, client, "g", 1<<29); err != nil {
		b.Fatal(err)
	}
	stream, err := client.Stream(ctx, "g", 1)
	if err != nil {
		b.Fatal(err)
	}
	defer stream.Close()
	for b.Loop() {
		if _, err := stream.Next(ctx); err != nil {
			b.Fatal(err)
		}
	}
}
