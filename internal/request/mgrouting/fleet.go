package mgrouting

import (
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// DefaultCandidates is the number of upstreams queried per request. The step
// from one to two brings most of the gain (Mitzenmacher 2001); one more, the
// third, is added for the prefix; Candidates returns it first.
const DefaultCandidates = 3

// MaxLoadFactor is how many times the average of requests in flight an upstream
// may have and still be the first candidate. Mirrokni et al. bound the moves by
// the inverse square of (MaxLoadFactor - 1), which is 16 at 1.25: a new
// upstream moves few prefixes, and none carries more than a quarter above its
// share.
const MaxLoadFactor = 1.25

// minInFlightForLoadFactor is the number of requests in flight from which
// MaxLoadFactor applies. Below it one entry's average is mostly chance, and the
// sum over the fleet isn't worth computing.
const minInFlightForLoadFactor = 4

// A Fleet is the list of upstreams, prepared for queries. The zero Fleet is
// empty.
type Fleet struct {
	upstreams []listedUpstream
	models    map[string]*modelGroup
}

// listedUpstream is an upstream of the list with this entry's record of it.
type listedUpstream struct {
	upstream Upstream
	state    *upstreamState
}

// upstreamState is what an entry itself has recorded of an upstream. It is
// carried over to a new list.
type upstreamState struct {
	inFlight atomic.Int32
	leaving  atomic.Bool
}

// modelGroup holds the upstreams of one model.
type modelGroup struct {
	all     upstreamSet
	zones   map[string]upstreamSet
	regions map[string]upstreamSet
}

// upstreamSet holds upstreams as indices in the list, with the hashes of their
// names. The hashes are contiguous because each prefix lookup reads all of
// them.
type upstreamSet struct {
	indices []int
	hashes  []uint64
}

func (m *upstreamSet) add(index int, hash uint64) {
	m.indices = append(m.indices, index)
	m.hashes = append(m.hashes, hash)
}

// NewFleet returns a Fleet of the list. It takes over the state that old, which
// may be nil, has of the upstreams that stay.
func NewFleet(list []Upstream, old *Fleet) *Fleet {
	f := &Fleet{
		upstreams: make([]listedUpstream, len(list)),
		models:    make(map[string]*modelGroup),
	}
	known := old.statesByName()
	for i, u := range list {
		s := known[u.Name]
		if s == nil {
			s = new(upstreamState)
		}
		s.leaving.Store(u.Leaving)
		f.upstreams[i] = listedUpstream{
			upstream: u,
			state:    s,
		}
		f.addToGroups(i)
	}
	return f
}

// Len returns the number of upstreams.
func (f *Fleet) Len() int { return len(f.upstreams) }

// Upstream returns the upstream with an index of the list.
func (f *Fleet) Upstream(i int) *Upstream { return &f.upstreams[i].upstream }

// InFlight returns the number of this entry's requests in flight to an upstream.
func (f *Fleet) InFlight(i int) int { return int(f.upstreams[i].state.inFlight.Load()) }

// Started records that a request was sent to an upstream.
func (f *Fleet) Started(i int) { f.upstreams[i].state.inFlight.Add(1) }

// Ended records that a request to an upstream ended.
func (f *Fleet) Ended(i int) { f.upstreams[i].state.inFlight.Add(-1) }

// MarkLeaving excludes an upstream that announced its leaving, before the list shows
// it.
func (f *Fleet) MarkLeaving(i int) { f.upstreams[i].state.leaving.Store(true) }

// Candidates appends to dst the indices of the upstreams to query, the
// preferred one first, and returns it.
func (f *Fleet) Candidates(dst []int, q Query, r *rand.Rand) []int {
	g := f.models[q.Model]
	if g == nil {
		return dst
	}
	count := q.Count
	if count <= 0 {
		count = DefaultCandidates
	}
	region := g.regions[q.Region]
	start := len(dst)
	if q.Prefix != 0 {
		dst = f.appendByPrefix(dst, region, q.Prefix)
	}
	for len(dst)-start < count-1 {
		n := len(dst)
		dst = f.appendRandom(dst, start, g.zones[q.Zone].indices, r)
		if len(dst) == n {
			break
		}
	}
	for _, from := range [...][]int{region.indices, g.all.indices} {
		for len(dst)-start < count {
			n := len(dst)
			dst = f.appendRandom(dst, start, from, r)
			if len(dst) == n {
				break
			}
		}
	}
	return dst
}

// maxHashTries is the number of upstreams that are tried for a prefix, by
// descending hash. A prefix for which all of them are above the bound has
// filled 16 upstreams, and random candidates serve it as well.
const maxHashTries = 16

// appendByPrefix appends the live upstream with the highest rendezvous hash
// that is within its load bound.
func (f *Fleet) appendByPrefix(dst []int, from upstreamSet, prefix uint64) []int {
	bound := int32(0)
	hashCeiling := uint64(math.MaxUint64)
	for range maxHashTries {
		best := -1
		top := uint64(0)
		for k, hash := range from.hashes {
			if h := mix(hash ^ prefix); h >= top && h < hashCeiling {
				best, top = k, h
			}
		}
		if best < 0 {
			break
		}
		i := from.indices[best]
		s := f.upstreams[i].state
		inFlight := s.inFlight.Load()
		if inFlight >= minInFlightForLoadFactor && bound == 0 {
			bound = f.maxInFlight(from)
		}
		if !s.leaving.Load() && (inFlight < minInFlightForLoadFactor || inFlight < bound) {
			return append(dst, i)
		}
		hashCeiling = top
	}
	return dst
}

// maxInFlight returns the bound on an upstream's requests in flight: only below
// it is the upstream sent another one for its prefix.
func (f *Fleet) maxInFlight(from upstreamSet) int32 {
	total := int32(1)
	for _, i := range from.indices {
		total += max(f.upstreams[i].state.inFlight.Load(), 0)
	}
	share := MaxLoadFactor * float64(total) / float64(len(from.indices))
	return int32(math.Ceil(share))
}

// appendRandom appends a random live upstream of from that is not yet in
// dst[start:].
func (f *Fleet) appendRandom(dst []int, start int, from []int, r *rand.Rand) []int {
	if len(from) == 0 {
		return dst
	}
	next := r.IntN(len(from))
	for range from {
		i := from[next]
		if !f.upstreams[i].state.leaving.Load() && !slices.Contains(dst[start:], i) {
			return append(dst, i)
		}
		if next++; next == len(from) {
			next = 0
		}
	}
	return dst
}

// addToGroups adds an upstream to the groups of its models.
func (f *Fleet) addToGroups(i int) {
	u := &f.upstreams[i].upstream
	hash := xxhash.Sum64String(u.Name)
	for _, model := range u.Models {
		g := f.models[model]
		if g == nil {
			g = &modelGroup{
				zones:   make(map[string]upstreamSet),
				regions: make(map[string]upstreamSet),
			}
			f.models[model] = g
		}
		zone, region := g.zones[u.Zone], g.regions[u.Region]
		g.all.add(i, hash)
		zone.add(i, hash)
		region.add(i, hash)
		g.zones[u.Zone], g.regions[u.Region] = zone, region
	}
}

func (f *Fleet) statesByName() map[string]*upstreamState {
	if f == nil {
		return nil
	}
	known := make(map[string]*upstreamState, len(f.upstreams))
	for i := range f.upstreams {
		known[f.upstreams[i].upstream.Name] = f.upstreams[i].state
	}
	return known
}

// mix spreads the bits of x by folding a 128-bit product, the cheapest step
// that does so: a prefix lookup computes one per upstream.
func mix(x uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15 // the golden ratio in 64 bits
	hi, lo := bits.Mul64(x^x>>32, multiplier)
	return hi ^ lo
}
