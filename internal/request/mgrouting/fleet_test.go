package mgrouting_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgrouting"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

func newUpstreams(n int) []mgrouting.Upstream {
	us := make([]mgrouting.Upstream, n)
	for i := range us {
		us[i] = mgrouting.Upstream{
			Name:   fmt.Sprint("engine", i),
			Zone:   fmt.Sprint("zone", i%3),
			Region: "south",
			Models: []string{"small"},
		}
	}
	return us
}

var query = mgrouting.Query{
	Model:  "small",
	Prefix: 77,
	Zone:   "zone1",
	Region: "south",
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against an overload by one prefix: one customer's prompts all begin
// with the same long text. The engine that has it cached gets every request,
// and its callers wait while others are idle.
func TestPopularPrefixOverloadsUpstream(t *testing.T) {
	Convey("A popular prefix spreads beyond its first upstream", t, func() {
		f := mgrouting.NewFleet(newUpstreams(12), nil)
		r := newRand()
		home := f.Candidates(nil, query, r)[0]
		for range 120 {
			f.Started(f.Candidates(nil, query, r)[0])
		}
		So(f.InFlight(home), ShouldBeBetween, 5, 14)
		for i := range f.Len() {
			So(f.InFlight(i), ShouldBeLessThanOrEqualTo, 14)
			for range f.InFlight(i) {
				f.Ended(i)
			}
		}
		So(f.Candidates(nil, query, r)[0], ShouldEqual, home)
	})
}

// Guards against a hash by which a few engines cache most of the prefixes and
// are overloaded, because the hash prefers them.
func TestHashPrefersFewUpstreams(t *testing.T) {
	Convey("Each upstream is the first candidate for its share of the prefixes", t, func() {
		f := mgrouting.NewFleet(newUpstreams(12), nil)
		r := newRand()
		got := make([]int, f.Len())
		for prefix := range uint64(12_000) {
			q := query
			q.Prefix = prefix + 1
			got[f.Candidates(nil, q, r)[0]]++
		}
		for _, n := range got {
			So(n, ShouldBeBetween, 850, 1150)
		}
	})
}

// Guards against a common choice: every entry sees the same engine as the least
// loaded one, all send there, and its callers wait for seconds; a second later
// the next engine is overloaded.
func TestEntriesPickSameUpstream(t *testing.T) {
	Convey("Entries with the same old numbers spread", t, func() {
		const entries, upstreams = 100, 12
		r := newRand()
		got := make([]int, upstreams)
		waits := make([]mgclock.Millis, upstreams)
		for i := range waits {
			waits[i] = mgclock.Millis(100 + 10*i)
		}
		for entry := range entries {
			f := mgrouting.NewFleet(newUpstreams(upstreams), nil)
			q := query
			q.Prefix = 0
			q.Zone = fmt.Sprint("zone", entry%3)
			for range 4 {
				var offers []mgrouting.Offer
				for _, i := range f.Candidates(nil, q, r) {
					offers = append(offers, mgrouting.Offer{
						Upstream: i,
						Wait:     waits[i],
						Headroom: -1,
					})
				}
				at := offers[f.Choose(offers, q, r)].Upstream
				f.Started(at)
				got[at]++
			}
		}
		for i := range got {
			So(got[i], ShouldBeLessThan, 3*entries*4/upstreams)
		}
	})
}

// Guards against requests to an upstream that leaves: it announced that it
// leaves, the list doesn't show it yet, and new requests are still sent there.
func TestLeavingUpstreamGetsRequest(t *testing.T) {
	Convey("A leaving upstream is neither a candidate nor chosen", t, func() {
		f := mgrouting.NewFleet(newUpstreams(3), nil)
		r := newRand()
		f.MarkLeaving(1)
		So(f.Candidates(nil, query, r), ShouldNotContain, 1)
		So(f.Choose([]mgrouting.Offer{
			{
				Upstream: 1,
			},
		}, query, r), ShouldEqual, -1)
	})
}

// Guards against a choice by the first token alone: a request is sent where its
// first token arrives soonest, and there it stalls sixty running streams, or is
// preempted as soon as it has grown.
func TestFirstTokenAloneDecides(t *testing.T) {
	Convey("The accepted offer", t, func() {
		f := mgrouting.NewFleet(newUpstreams(1), nil)
		q := query
		q.Prompt = 1000
		q.Output = 1000
		offer := func(wait mgclock.Millis, running int, headroom int64) mgrouting.Offer {
			return mgrouting.Offer{
				Wait:     wait,
				Uncached: 1000,
				Running:  running,
				Headroom: headroom,
			}
		}
		refused := mgrouting.Offer{
			Refused: true,
		}
		choose := func(offers ...mgrouting.Offer) int { return f.Choose(offers, q, newRand()) }
		Convey("has the earlier first token", func() {
			So(choose(offer(300, 4, 4000), offer(200, 4, 4000)), ShouldEqual, 1)
		})
		Convey("is not refused", func() {
			So(choose(refused, offer(300, 4, 4000)), ShouldEqual, 1)
			So(choose(refused), ShouldEqual, -1)
		})
		Convey("is not a slow engine's", func() {
			slow := offer(200, 4, 4000)
			slow.GenerationTime = 64_000
			usual := offer(250, 4, 4000)
			usual.GenerationTime = 16_000
			So(choose(slow, usual), ShouldEqual, 1)
		})
		Convey("delays few streams", func() {
			So(choose(offer(200, 60, 4000), offer(250, 4, 4000)), ShouldEqual, 1)
		})
		Convey("has memory for the answer", func() {
			So(choose(offer(200, 4, 100), offer(210, 4, 4000)), ShouldEqual, 1)
		})
	})
}

// For any list, candidates are distinct and live, there are as many as
// possible, and the loss of one upstream moves only its own prefixes.
func TestCandidatesRepeatedOrLeaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		us := newUpstreams(rapid.IntRange(1, 20).Draw(t, "upstreams"))
		gone := rapid.IntRange(0, len(us)-1).Draw(t, "gone")
		f := mgrouting.NewFleet(us, nil)
		us[gone].Leaving = true
		without := mgrouting.NewFleet(us, nil)
		q := query
		q.Prefix = rapid.Uint64Min(1).Draw(t, "prefix")
		q.Count = rapid.IntRange(1, 6).Draw(t, "count")
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		before := f.Candidates(nil, q, r)
		after := without.Candidates(nil, q, r)
		if len(before) != min(q.Count, len(us)) || len(after) != min(q.Count, len(us)-1) {
			t.Fatalf("%d and %d candidates of %d", len(before), len(after), len(us))
		}
		seen := map[int]bool{}
		for _, i := range after {
			if i == gone || seen[i] {
				t.Fatalf("candidate %d is leaving or repeated", i)
			}
			seen[i] = true
		}
		if before[0] != gone && before[0] != after[0] {
			t.Fatalf("the prefix moved from %d to %d", before[0], after[0])
		}
	})
}

func BenchmarkCandidates(b *testing.B) {
	for _, upstreams := range []int{12, 900} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			f := mgrouting.NewFleet(newUpstreams(upstreams), nil)
			r := newRand()
			dst := make([]int, 0, 3)
			q := query
			b.ReportAllocs()
			for b.Loop() {
				q.Prefix++
				dst = f.Candidates(dst[:0], q, r)
			}
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	f := mgrouting.NewFleet(newUpstreams(3), nil)
	r := newRand()
	offers := make([]mgrouting.Offer, 3)
	for i := range offers {
		offers[i].Upstream = i
	}
	b.ReportAllocs()
	for b.Loop() {
		_ = f.Choose(offers, query, r)
	}
}
