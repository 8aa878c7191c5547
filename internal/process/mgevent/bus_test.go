package mgevent

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestEventsReorderedOrBlocking(t *testing.T) {
	Convey("Events are handled one at a time, in one order", t, func() {
		bus := NewBus(mgclock.Clock{})
		var seen []uint64 // no lock: the race detector verifies that handlers don't overlap
		done := make(chan struct{})
		handle := func(e Event) {
			seen = append(seen, e.Seq)
			if len(seen) == 200 {
				close(done)
			}
		}
		bus.Handle(TableAdopted, handle)
		bus.Handle(Leaving, handle)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error)
		go func() { ended <- bus.Run(ctx) }()
		var publishers sync.WaitGroup
		for _, kind := range []Kind{TableAdopted, Leaving} {
			publishers.Add(1)
			go func() {
				defer publishers.Done()
				for range 100 {
					_ = bus.Publish(kind, "", "")
				}
			}()
		}
		publishers.Wait()
		<-done
		for i, seq := range seen {
			So(seq, ShouldEqual, i+1)
		}
		cancel()
		So(<-ended, ShouldBeNil)
		So(bus.Trace(), ShouldHaveLength, maxTrace)
	})
	Convey("A handler that hangs makes events drop, not publishers wait", t, func() {
		bus := NewBus(mgclock.Clock{})
		for range maxQueued {
			So(bus.Publish(Paused, "", ""), ShouldBeNil)
		}
		So(bus.Publish(Paused, "", ""), ShouldWrap, ErrFull)
	})
}

// store is control state: a version and a value derived from it, which the queue
// or the lock keeps consistent.
type store struct {
	mu      sync.RWMutex
	version uint64
	derived uint64
	current atomic.Uint64
}

// update applies a change whose derived value takes time to compute.
func (s *store) update(version uint64) {
	s.version = version
	simulateWork()
	s.derived = version
	s.current.Store(version)
}

// simulateWork simulates the adoption of an edit, which takes about 100
// microseconds.
func simulateWork() {
	for begun := time.Now(); time.Since(begun) < 100*time.Microsecond; {
	}
}

// BenchmarkHandled compares the time from a change until its derived value is in
// force, with a lock and with the bus.
func BenchmarkHandled(b *testing.B) {
	b.Run("lock", func(b *testing.B) {
		var s store
		for i := 0; b.Loop(); i++ {
			s.mu.Lock()
			s.update(uint64(i))
			s.mu.Unlock()
		}
	})
	b.Run("queue", func(b *testing.B) {
		var s store
		bus, stop := runBus(func(e Event) { s.update(e.Seq) })
		defer stop()
		for i := uint64(1); b.Loop(); i++ {
			_ = bus.Publish(TableAdopted, "", "")
			for s.current.Load() < i {
			}
		}
	})
}

func runBus(handle func(Event)) (*Bus, func()) {
	bus := NewBus(mgclock.Clock{})
	bus.Handle(TableAdopted, handle)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- bus.Run(ctx) }()
	return bus, func() {
		cancel()
		<-ended
	}
}

// BenchmarkRequestPath measures how long a request waits for control state while
// changes arrive every 200 microseconds and take half of that: with a lock held
// during the change, and with a snapshot that the bus's handler replaces.
func BenchmarkRequestPath(b *testing.B) {
	b.Run("lock", func(b *testing.B) {
		var s store
		stop := make(chan struct{})
		var updater sync.WaitGroup
		updater.Add(1)
		go func() {
			defer updater.Done()
			pace := time.NewTicker(200 * time.Microsecond)
			defer pace.Stop()
			for i := uint64(1); ; i++ {
				select {
				case <-stop:
					return
				case <-pace.C:
				}
				s.mu.Lock()
				s.update(i)
				s.mu.Unlock()
			}
		}()
		measureReads(b, func() {
			s.mu.RLock()
			_ = s.derived
			s.mu.RUnlock()
		})
		close(stop)
		updater.Wait()
	})
	b.Run("queue", func(b *testing.B) {
		var s store
		bus, stopBus := runBus(func(e Event) { s.update(e.Seq) })
		defer stopBus()
		stop := make(chan struct{})
		var publisher sync.WaitGroup
		publisher.Add(1)
		go func() {
			defer publisher.Done()
			pace := time.NewTicker(200 * time.Microsecond)
			defer pace.Stop()
			for {
				select {
				case <-stop:
					return
				case <-pace.C:
				}
				_ = bus.Publish(TableAdopted, "", "")
			}
		}()
		measureReads(b, func() { _ = s.current.Load() })
		close(stop)
		publisher.Wait()
	})
}

// measureReads reports the mean and the maximum time of a read.
func measureReads(b *testing.B, read func()) {
	var longest, total time.Duration
	count := 0
	for b.Loop() {
		startedAt := time.Now()
		read()
		elapsed := time.Since(startedAt)
		total += elapsed
		longest = max(longest, elapsed)
		count++
	}
	b.ReportMetric(float64(total.Nanoseconds())/float64(count), "mean-ns")
	b.ReportMetric(float64(longest.Nanoseconds()), "max-ns")
}

// BenchmarkInversions counts how often listeners are notified of two changes in
// the wrong order if the lock is released before they are notified, which is
// necessary if a listener takes locks of its own. The bus has none by design.
func BenchmarkInversions(b *testing.B) {
	b.Run("lock", func(b *testing.B) {
		var s store
		var last, inversions atomic.Uint64
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				s.mu.Lock()
				s.version++
				version := s.version
				s.mu.Unlock()
				if last.Swap(version) > version {
					inversions.Add(1)
				}
			}
		})
		b.ReportMetric(float64(inversions.Load())/float64(b.N), "inversions/op")
	})
	b.Run("queue", func(b *testing.B) {
		last, inversions := uint64(0), 0
		handled := make(chan struct{}, 1024)
		bus, stop := runBus(func(e Event) {
			if e.Seq < last {
				inversions++
			}
			last = e.Seq
			handled <- struct{}{}
		})
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				_ = bus.Publish(TableAdopted, "", "")
				<-handled
			}
		})
		stop()
		b.ReportMetric(float64(inversions)/float64(b.N), "inversions/op")
	})
}
