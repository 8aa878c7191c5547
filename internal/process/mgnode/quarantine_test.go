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

// meshSpec is what is between the processes of a mesh.
type meshSpec struct {
	count int
	loss  float64 // part of the calls that bring no answer
	dead  int     // processes, the last ones, that don't answer
	// slowest is the longest way of a message; three ms where it is 0.
	slowest time.Duration
}

// mesh is processes that exchange notes in virtual time.
type mesh struct {
	spec  meshSpec
	clock mgclock.Clock
	nodes []*exchanger
	cut   atomic.Int64 // number of the process that nobody reaches, or -1
	calls atomic.Int64
	bytes atomic.Int64
}

var errLost = errors.New("the call was lost")

func newMesh(spec meshSpec) *mesh {
	m := &mesh{
		spec: spec,
	}
	m.cut.Store(-1)
	var members []*mgmember.Member
	for i := range spec.count {
		members = append(members, mgmember.Self(strconv.Itoa(i), "a", 0))
	}
	for i := range spec.count {
		m.nodes = append(m.nodes, &exchanger{
			log:        logr.Discard(),
			untold:     func() {},
			refused:    func(int) {},
			quarantine: mgquarantine.New("life "+strconv.Itoa(i), nil),
			limits:     &mglimit.Limits{},
			learn:      func([]mglimit.Word) {},
			peers:      func() []*mgmember.Member { return slices.Delete(slices.Clone(members), i, i+1) },
			call: func(ctx context.Context, to *mgmember.Member, told newsWire) (newsWire, error) {
				return m.call(ctx, i, to, told)
			},
		})
	}
	return m
}

// call carries a message one ms to the slowest way's span each way.
func (m *mesh) call(ctx context.Context, from int, to *mgmember.Member, told newsWire) (newsWire, error) {
	at, _ := strconv.Atoi(to.Name())
	m.calls.Add(1)
	m.bytes.Add(size(told))
	slowest := m.spec.slowest
	if slowest == 0 {
		slowest = 3 * time.Millisecond
	}
	way := func() time.Duration {
		return time.Millisecond + time.Duration(rand.Int64N(int64(slowest-time.Millisecond)))
	}
	lost := at >= m.spec.count-m.spec.dead || rand.Float64() < m.spec.loss
	cut := m.cut.Load()
	if lost || int64(at) == cut || int64(from) == cut {
		<-ctx.Done()
		return newsWire{}, errLost
	}
	time.Sleep(way())
	lacking := m.nodes[at].answer(told)
	m.bytes.Add(size(lacking))
	time.Sleep(way())
	return lacking, nil
}

func size(told newsWire) int64 {
	body, err := pack(told)
	if err != nil {
		return 0
	}
	return int64(len(body))
}

// run plays with the mesh until body returns.
func (m *mesh) run(t *testing.T, body func()) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		for _, node := range m.nodes[:m.spec.count-m.spec.dead] {
			go node.spread(ctx)
			go node.compare(ctx)
		}
		body()
		cancel()
		time.Sleep(time.Second) // calls under way end
	})
}

var poison = mgquarantine.DigestOf("account", "host", "/path", []byte("body"))

// crash has a process see an upstream end under the request.
func (m *mesh) crash(node int, upstream string) {
	now := m.clock.Now()
	m.nodes[node].quarantine.Crashed(now, mgquarantine.Crash{
		Digest:   poison,
		Request:  "request",
		Upstream: upstream,
		Begun:    true,
		Sent:     now - 100,
	})
}

// holding returns how many processes hold the request.
func (m *mesh) holding() int {
	count := 0
	for _, node := range m.nodes {
		if _, held := node.quarantine.Held(m.clock.Now(), poison); held {
			count++
		}
	}
	return count
}

// untilHeld returns the time until so many processes hold the request, a minute at most.
func (m *mesh) untilHeld(count int) mgclock.Millis {
	began := m.clock.Now()
	for m.holding() < count && m.clock.Now() < began+mgclock.Minute {
		time.Sleep(5 * time.Millisecond)
	}
	return m.clock.Now() - began
}

// Entries that have not heard of the crashes send the request on to further upstreams.
func TestCrashesKnownEverywhere(t *testing.T) {
	cases := []struct {
		name    string
		loss    float64
		dead    int
		slowest time.Duration
	}{
		{
			name: "calm",
		},
		{
			name:    "ways of up to 400 ms, crashes two seconds apart",
			slowest: 400 * time.Millisecond,
		},
		{
			name: "a fifth of the calls lost",
			loss: 0.2,
		},
		{
			name: "a tenth of the processes dead, and nobody has noticed",
			dead: 10,
		},
	}
	Convey("Three crashes, each seen by another process, are known to all within two seconds", t, func() {
		for _, count := range []int{5, 30, 100, 300} {
			for _, c := range cases {
				Convey(fmt.Sprintf("%d processes, %s", count, c.name), func() {
					spec := meshSpec{
						count:   count,
						loss:    c.loss,
						slowest: c.slowest,
					}
					if c.dead > 0 {
						spec.dead = max(count/c.dead, 1)
					}
					m := newMesh(spec)
					var took mgclock.Millis
					m.run(t, func() {
						time.Sleep(time.Second)
						for i := range 3 {
							time.Sleep(max(400*time.Millisecond, 5*c.slowest))
							m.crash(i, fmt.Sprintf("engine-%d", i))
						}
						took = m.untilHeld(count - spec.dead)
					})
					t.Logf("%d processes, %s: known to all after %d ms, %d calls and %d bytes until then",
						count, c.name, took, m.calls.Load(), m.bytes.Load())
					So(took, ShouldBeLessThanOrEqualTo, 2*mgclock.Second)
				})
			}
		}
	})
}

// Crashes that follow one another must count at each process, however slow the ways to it are.
func TestCrashesKnownOverSlowWays(t *testing.T) {
	Convey("Three crashes 400 ms apart are known to all within two seconds over ways of up to 400 ms", t, func() {
		for _, count := range []int{5, 30, 100, 300} {
			Convey(fmt.Sprintf("%d processes", count), func() {
				m := newMesh(meshSpec{
					count:   count,
					slowest: 400 * time.Millisecond,
				})
				var took mgclock.Millis
				m.run(t, func() {
					time.Sleep(time.Second)
					for i := range 3 {
						time.Sleep(400 * time.Millisecond)
						m.crash(i, fmt.Sprintf("engine-%d", i))
					}
					took = m.untilHeld(count)
				})
				t.Logf("%d processes: known to all after %d ms", count, took)
				So(took, ShouldBeLessThanOrEqualTo, 2*mgclock.Second)
			})
		}
	})
}

// A sound request that runs wherever upstreams are lost together must not be held.
func TestMassCrashesOverSlowWays(t *testing.T) {
	Convey("Five upstreams lost at one moment, and five more five seconds later, hold no request", t, func() {
		for _, slowest := range []time.Duration{3 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond} {
			for _, count := range []int{5, 30, 100} {
				Convey(fmt.Sprintf("%d processes, ways of up to %v", count, slowest), func() {
					m := newMesh(meshSpec{
						count:   count,
						slowest: slowest,
					})
					most := 0
					m.run(t, func() {
						time.Sleep(time.Second)
						for moment := range 2 {
							for i := range 5 {
								m.crash(i, fmt.Sprintf("engine-%d", 5*moment+i))
							}
							for range 50 {
								time.Sleep(100 * time.Millisecond)
								most = max(most, m.holding())
							}
						}
					})
					So(most, ShouldEqual, 0)
				})
			}
		}
	})
}

// An entry that was cut off while the request was found out sends it on once it is back.
func TestCrashesKnownAfterCut(t *testing.T) {
	Convey("A process that was cut off knows within the stable span after the cut", t, func() {
		m := newMesh(meshSpec{
			count: 30,
		})
		var meanwhile int
		var took mgclock.Millis
		m.run(t, func() {
			m.cut.Store(29)
			for i := range 3 {
				m.crash(i, fmt.Sprintf("engine-%d", i))
				time.Sleep(400 * time.Millisecond)
			}
			time.Sleep(10 * time.Second)
			meanwhile = m.holding()
			m.cut.Store(-1)
			took = m.untilHeld(30)
		})
		So(meanwhile, ShouldEqual, 29)
		So(took, ShouldBeLessThanOrEqualTo, 3*mgclock.Second+newsWait)
	})
	Convey("What it saw itself meanwhile counts with what the others saw", t, func() {
		m := newMesh(meshSpec{
			count: 30,
		})
		var meanwhile int
		var took mgclock.Millis
		m.run(t, func() {
			m.cut.Store(29)
			m.crash(0, "engine-0")
			time.Sleep(time.Second)
			m.crash(1, "engine-1")
			time.Sleep(time.Second)
			m.crash(29, "engine-29")
			time.Sleep(5 * time.Second)
			meanwhile = m.holding()
			m.cut.Store(-1)
			took = m.untilHeld(30)
		})
		So(meanwhile, ShouldEqual, 0)
		So(took, ShouldBeLessThanOrEqualTo, 3*mgclock.Second+newsWait)
	})
}

// Many different requests that crash upstreams must not take the links up.
func TestManyCrashesAreCheap(t *testing.T) {
	Convey("What 60 processes exchange", t, func() {
		var quiet, busy float64 // bytes a second of a process
		m := newMesh(meshSpec{
			count: 60,
		})
		m.run(t, func() {
			time.Sleep(10 * time.Second)
			quiet = float64(m.bytes.Swap(0)) / 10 / 60
			for i := range 100 {
				m.nodes[i%60].quarantine.Crashed(m.clock.Now(), mgquarantine.Crash{
					Digest:   mgquarantine.DigestOf("account", "host", "/path", []byte(strconv.Itoa(i))),
					Request:  "request",
					Upstream: "engine-" + strconv.Itoa(i),
					Begun:    true,
				})
				time.Sleep(100 * time.Millisecond)
			}
			busy = float64(m.bytes.Load()) / 10 / 60
		})
		t.Logf("bytes a second told and answered by a process: %.0f at rest, %.0f while ten upstreams a second crash", quiet, busy)
		So(quiet, ShouldBeLessThan, 100)
		So(busy, ShouldBeLessThan, 30_000)
	})
}
