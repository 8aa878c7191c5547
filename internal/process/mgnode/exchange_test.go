package mgnode

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mglimit"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgquarantine"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// meshSpec describes the processes of a mesh and the links between them.
type meshSpec struct {
	count     int
	lossRate  float64 // part of the calls that get no response
	deadCount int     // the last processes, which don't respond
	// maxLatency is the maximum latency in one direction; 0 stands for three ms.
	maxLatency time.Duration
}

// mesh simulates processes that exchange records of crashes, in virtual time.
type mesh struct {
	spec     meshSpec
	clock    mgclock.Clock
	nodes    []*updateExchanger
	isolated atomic.Int64 // index of the process that is cut off, or -1
	calls    atomic.Int64
	bytes    atomic.Int64
}

var errLost = errors.New("the call was lost")

func newMesh(spec meshSpec) *mesh {
	m := &mesh{
		spec: spec,
	}
	m.isolated.Store(-1)
	var members []*mgmember.Member
	for i := range spec.count {
		members = append(members, mgmember.Self(strconv.Itoa(i), "a", 0))
	}
	for i := range spec.count {
		m.nodes = append(m.nodes, &updateExchanger{
			log:          logr.Discard(),
			onCallFailed: func() {},
			onRejected:   func(int) {},
			quarantine:   mgquarantine.New("life "+strconv.Itoa(i), nil),
			limits:       &mglimit.Limits{},
			mergeLimits:  func([]mglimit.Record) {},
			peers:        func() []*mgmember.Member { return slices.Delete(slices.Clone(members), i, i+1) },
			call: func(ctx context.Context, to *mgmember.Member, message updateMessage) (updateMessage, error) {
				return m.call(ctx, i, to, message)
			},
		})
	}
	return m
}

// call delivers a message and its response, each with a random latency of one ms to maxLatency.
// It ends with its context, as Node.sendUpdates does.
func (m *mesh) call(ctx context.Context, from int, to *mgmember.Member, message updateMessage) (updateMessage, error) {
	receiver, _ := strconv.Atoi(to.Name())
	m.calls.Add(1)
	m.bytes.Add(compressedSize(message))
	maxLatency := m.spec.maxLatency
	if maxLatency == 0 {
		maxLatency = 3 * time.Millisecond
	}
	wait := func() error {
		select {
		case <-time.After(time.Millisecond + time.Duration(rand.Int64N(int64(maxLatency-time.Millisecond)))):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	lost := receiver >= m.spec.count-m.spec.deadCount || rand.Float64() < m.spec.lossRate
	cut := m.isolated.Load()
	if lost || int64(receiver) == cut || int64(from) == cut {
		<-ctx.Done()
		return updateMessage{}, errLost
	}
	if err := wait(); err != nil {
		return updateMessage{}, err
	}
	reply := m.nodes[receiver].handle(message)
	m.bytes.Add(compressedSize(reply))
	if err := wait(); err != nil {
		return updateMessage{}, err
	}
	return reply, nil
}

func compressedSize(message updateMessage) int64 {
	body, err := compressJSON(message)
	if err != nil {
		return 0
	}
	return int64(len(body))
}

// run runs the processes of the mesh until body returns. It fails the test if a call outlives
// its process.
func (m *mesh) run(t *testing.T, body func()) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		for _, node := range m.nodes[:m.spec.count-m.spec.deadCount] {
			go node.runBroadcast(ctx)
			go node.runAntiEntropy(ctx)
		}
		body()
		cancel()
		synctest.Wait()
	})
}

var poisonDigest = mgquarantine.DigestOf("account", "host", "/path", []byte("body"))

// crash has a process observe that an upstream crashes while it runs the poisonous request,
// which the upstream had begun.
func (m *mesh) crash(node int, upstream string) {
	now := m.clock.Now()
	m.nodes[node].quarantine.RecordCrash(now, mgquarantine.Crash{
		Digest:   poisonDigest,
		Request:  "request",
		Upstream: upstream,
		Begun:    true,
		Sent:     now - 100,
	})
}

// holdingCount returns how many processes hold the request.
func (m *mesh) holdingCount() int {
	count := 0
	for _, node := range m.nodes {
		if _, held := node.quarantine.Held(m.clock.Now(), poisonDigest); held {
			count++
		}
	}
	return count
}

// waitUntilHeld returns the time until count processes hold the request, a minute at most.
func (m *mesh) waitUntilHeld(count int) mgclock.Millis {
	start := m.clock.Now()
	for m.holdingCount() < count && m.clock.Now() < start+mgclock.Minute {
		time.Sleep(5 * time.Millisecond)
	}
	return m.clock.Now() - start
}

// Guards against entries that don't know of the crashes: such an entry sends the request to further
// upstreams.
func TestCrashUnknownToSomeProcesses(t *testing.T) {
	cases := []struct {
		name       string
		lossRate   float64
		deadOneIn  int
		maxLatency time.Duration
	}{
		{
			name: "no faults",
		},
		{
			name:       "latencies of up to 400 ms, crashes two seconds apart",
			maxLatency: 400 * time.Millisecond,
		},
		{
			name:     "a fifth of the calls lost",
			lossRate: 0.2,
		},
		{
			name:      "a tenth of the processes dead, not detected yet",
			deadOneIn: 10,
		},
	}
	Convey("Three crashes, each seen by another process, are known to all within two seconds", t, func() {
		for _, count := range []int{5, 30, 100, 300} {
			for _, c := range cases {
				Convey(fmt.Sprintf("%d processes, %s", count, c.name), func() {
					spec := meshSpec{
						count:      count,
						lossRate:   c.lossRate,
						maxLatency: c.maxLatency,
					}
					if c.deadOneIn > 0 {
						spec.deadCount = max(count/c.deadOneIn, 1)
					}
					m := newMesh(spec)
					var elapsed mgclock.Millis
					m.run(t, func() {
						time.Sleep(time.Second)
						for i := range 3 {
							time.Sleep(max(400*time.Millisecond, 5*c.maxLatency))
							m.crash(i, fmt.Sprintf("engine-%d", i))
						}
						elapsed = m.waitUntilHeld(count - spec.deadCount)
					})
					t.Logf("%d processes, %s: known to all after %d ms, %d calls and %d bytes until then",
						count, c.name, elapsed, m.calls.Load(), m.bytes.Load())
					So(elapsed, ShouldBeLessThanOrEqualTo, 2*mgclock.Second)
				})
			}
		}
	})
}

// Guards against processes that don't learn of the crashes over slow links. Each process must
// count crashes 400 ms apart as separate ones, though slow links deliver their records in a
// different order.
func TestCrashUnknownOverSlowLinks(t *testing.T) {
	Convey("Three crashes 400 ms apart are known to all within two seconds with latencies of up to 400 ms", t, func() {
		for _, count := range []int{5, 30, 100, 300} {
			Convey(fmt.Sprintf("%d processes", count), func() {
				m := newMesh(meshSpec{
					count:      count,
					maxLatency: 400 * time.Millisecond,
				})
				var elapsed mgclock.Millis
				m.run(t, func() {
					time.Sleep(time.Second)
					for i := range 3 {
						time.Sleep(400 * time.Millisecond)
						m.crash(i, fmt.Sprintf("engine-%d", i))
					}
					elapsed = m.waitUntilHeld(count)
				})
				t.Logf("%d processes: known to all after %d ms", count, elapsed)
				So(elapsed, ShouldBeLessThanOrEqualTo, 2*mgclock.Second)
			})
		}
	})
}

// Guards against holding a harmless request that was running on several of the upstreams that
// are lost at one moment, as with an availability zone.
func TestMassCrashHoldsRequest(t *testing.T) {
	Convey("If five upstreams are lost at one moment, and five more five seconds later, no request is held", t, func() {
		for _, maxLatency := range []time.Duration{3 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond} {
			for _, count := range []int{5, 30, 100} {
				Convey(fmt.Sprintf("%d processes, latencies of up to %v", count, maxLatency), func() {
					m := newMesh(meshSpec{
						count:      count,
						maxLatency: maxLatency,
					})
					maxHolding := 0
					m.run(t, func() {
						time.Sleep(time.Second)
						for moment := range 2 {
							for i := range 5 {
								m.crash(i, fmt.Sprintf("engine-%d", 5*moment+i))
							}
							for range 50 {
								time.Sleep(100 * time.Millisecond)
								maxHolding = max(maxHolding, m.holdingCount())
							}
						}
					})
					So(maxHolding, ShouldEqual, 0)
				})
			}
		}
	})
}

// Guards against an entry that doesn't learn of the crashes after it was cut off while the
// request crashed upstreams: it sends the request on once it is reachable again.
func TestCrashUnknownAfterPartition(t *testing.T) {
	Convey("A process that was cut off knows of the crashes within 3.5 s after the cut", t, func() {
		m := newMesh(meshSpec{
			count: 30,
		})
		var heldMeanwhile int
		var elapsed mgclock.Millis
		m.run(t, func() {
			m.isolated.Store(29)
			for i := range 3 {
				m.crash(i, fmt.Sprintf("engine-%d", i))
				time.Sleep(400 * time.Millisecond)
			}
			time.Sleep(10 * time.Second)
			heldMeanwhile = m.holdingCount()
			m.isolated.Store(-1)
			elapsed = m.waitUntilHeld(30)
		})
		So(heldMeanwhile, ShouldEqual, 29)
		So(elapsed, ShouldBeLessThanOrEqualTo, 3*mgclock.Second+exchangeTimeout)
	})
	Convey("A crash that it observed meanwhile counts together with those that others observed", t, func() {
		m := newMesh(meshSpec{
			count: 30,
		})
		var heldMeanwhile int
		var elapsed mgclock.Millis
		m.run(t, func() {
			m.isolated.Store(29)
			m.crash(0, "engine-0")
			time.Sleep(time.Second)
			m.crash(1, "engine-1")
			time.Sleep(time.Second)
			m.crash(29, "engine-29")
			time.Sleep(5 * time.Second)
			heldMeanwhile = m.holdingCount()
			m.isolated.Store(-1)
			elapsed = m.waitUntilHeld(30)
		})
		So(heldMeanwhile, ShouldEqual, 0)
		So(elapsed, ShouldBeLessThanOrEqualTo, 3*mgclock.Second+exchangeTimeout)
	})
}

// Guards against a process that takes requests before it has the records of the peers that run, and
// sends one to a further upstream that they hold.
func TestStartingProcessLacksRecords(t *testing.T) {
	Convey("A process that starts beside others", t, func() {
		const count = 30
		m := newMesh(meshSpec{
			count:     count,
			deadCount: 1,
		})
		var isFetching, held bool
		var elapsed, memory mgclock.Millis
		m.run(t, func() {
			for i := range 3 {
				m.crash(i, fmt.Sprintf("engine-%d", i))
				time.Sleep(400 * time.Millisecond)
			}
			time.Sleep(5 * time.Second)
			late := m.nodes[count-1]
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			late.quarantine.Begin(m.clock.Now(), 30*mgclock.Second)
			go late.runAntiEntropy(ctx)
			synctest.Wait()
			isFetching = late.isFetching()
			start := m.clock.Now()
			for late.isFetching() {
				time.Sleep(time.Millisecond)
			}
			elapsed = m.clock.Now() - start
			_, held = late.quarantine.Held(m.clock.Now(), poisonDigest)
			memory = late.quarantine.Memory(m.clock.Now())
		})
		So(isFetching, ShouldBeTrue)
		So(elapsed, ShouldBeLessThan, 100)
		So(held, ShouldBeTrue)
		So(memory, ShouldBeGreaterThan, 6*mgclock.Second)
	})
	Convey("One whose peers don't answer stops waiting for them", t, func() {
		m := newMesh(meshSpec{
			count:     3,
			deadCount: 3,
		})
		isFetching := true
		m.run(t, func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go m.nodes[0].runAntiEntropy(ctx)
			time.Sleep(2 * time.Second)
			isFetching = m.nodes[0].isFetching()
		})
		So(isFetching, ShouldBeFalse)
	})
}

// Guards against links that are saturated by records of many different requests that crash
// upstreams.
func TestManyCrashesSaturateLinks(t *testing.T) {
	Convey("60 processes exchange few bytes", t, func() {
		var quiet, busy float64 // bytes a second of a process
		m := newMesh(meshSpec{
			count: 60,
		})
		m.run(t, func() {
			time.Sleep(10 * time.Second)
			quiet = float64(m.bytes.Swap(0)) / 10 / 60
			for i := range 100 {
				m.nodes[i%60].quarantine.RecordCrash(m.clock.Now(), mgquarantine.Crash{
					Digest:   mgquarantine.DigestOf("account", "host", "/path", []byte(strconv.Itoa(i))),
					Request:  "request",
					Upstream: "engine-" + strconv.Itoa(i),
					Begun:    true,
				})
				time.Sleep(100 * time.Millisecond)
			}
			busy = float64(m.bytes.Load()) / 10 / 60
		})
		t.Logf("bytes a second in requests and responses of a process: %.0f at rest, %.0f while ten upstreams a second crash", quiet, busy)
		So(quiet, ShouldBeLessThan, 100)
		So(busy, ShouldBeLessThan, 30_000)
	})
}

// Guards against records of all that ran at upstreams that ended, which take more of the network than
// control may (15 KB/s a process).
func TestRunningRecordsSaturateLinks(t *testing.T) {
	const processes, runs = 60, 24
	// end ends an engine with all that it runs, sent by as many processes.
	end := func(m *mesh, engine int) {
		now := m.clock.Now()
		for i := range runs {
			request := fmt.Sprintf("%d %d", engine, i)
			m.nodes[(engine*7+i*5)%processes].quarantine.RecordCrash(now, mgquarantine.Crash{
				Digest:   mgquarantine.DigestOf("account", "host", "/path", []byte(request)),
				Parts:    []mgquarantine.Digest{mgquarantine.PartDigestOf("service", "model", request)},
				Request:  request,
				Upstream: "engine-" + strconv.Itoa(engine),
				Begun:    true,
				Sent:     now - 5*mgclock.Second,
				Ran:      4 * mgclock.Second,
			})
		}
	}
	cases := []struct {
		name string
		ends int // one after another
		lost int // at one moment
	}{
		{
			name: "six engines end one after another",
			ends: 6,
		},
		{
			name: "a zone of 60 engines is lost",
			lost: 60,
		},
	}
	Convey("While", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				const seconds = 20
				m := newMesh(meshSpec{
					count: processes,
				})
				var rate float64 // bytes a second of a process
				m.run(t, func() {
					time.Sleep(5 * time.Second)
					m.bytes.Swap(0)
					for i := range c.ends {
						end(m, i)
						time.Sleep(400 * time.Millisecond)
					}
					for i := range c.lost {
						end(m, i)
					}
					time.Sleep(seconds * time.Second)
					rate = float64(m.bytes.Load()) / seconds / processes
				})
				t.Logf("%s: %.0f bytes a second of a process over %d s", c.name, rate, seconds)
				So(rate, ShouldBeLessThan, 15_000)
			})
		}
	})
}

// Guards against records of crashes whose parts of prompts take more of the network than control
// may (15 KB/s a process).
func TestPartCrashesSaturateLinks(t *testing.T) {
	// crash ends an engine under requests of several processes, each with four parts, one of them
	// common to all.
	crash := func(m *mesh, engine string, requests int) {
		for i := range requests {
			var parts []mgquarantine.Digest
			for _, name := range []string{"shared", "bad", engine + strconv.Itoa(i), "session" + strconv.Itoa(i)} {
				parts = append(parts, mgquarantine.PartDigestOf("service", "model", name))
			}
			m.nodes[(len(engine)*7+i*13)%len(m.nodes)].quarantine.RecordCrash(m.clock.Now(), mgquarantine.Crash{
				Digest:   mgquarantine.DigestOf("account", "host", "/path", []byte(engine+strconv.Itoa(i))),
				Parts:    parts,
				Request:  "request",
				Upstream: engine,
				Begun:    i == 0,
				Sent:     m.clock.Now() - 100,
			})
		}
	}
	cases := []struct {
		name    string
		engines int // that end one after another
		lost    int // that end at one moment
	}{
		{
			name:    "six engines end under a part",
			engines: 6,
		},
		{
			name: "a zone of 60 engines is lost",
			lost: 60,
		},
	}
	Convey("While", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				const processes, seconds, requests = 60, 20, 6
				var rate float64 // bytes a second of a process
				m := newMesh(meshSpec{
					count: processes,
				})
				m.run(t, func() {
					time.Sleep(5 * time.Second)
					m.bytes.Swap(0)
					for i := range c.engines {
						crash(m, "engine-"+strconv.Itoa(i), requests)
						time.Sleep(300 * time.Millisecond)
					}
					for i := range c.lost {
						crash(m, "lost-"+strconv.Itoa(i), requests)
					}
					time.Sleep(seconds * time.Second)
					rate = float64(m.bytes.Load()) / seconds / processes
				})
				t.Logf("%s: %.0f bytes a second of a process over %d s", c.name, rate, seconds)
				So(rate, ShouldBeLessThan, 15_000)
			})
		}
	})
}
