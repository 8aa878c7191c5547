package mgrouting

import (
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// DefaultCount is the number of upstreams that are asked about a request. The
// step from one to two brings most of the gain (Mitzenmacher 2001); the third
// is the one with the prefix.
const DefaultCount = 3

// Spread is how many times the average of requests in flight an upstream may
// have and still be the first candidate. Mirrokni et al. bound the moves by
// the inverse square of its excess over 1: at 1.25 a new upstream moves few
// prefixes, and none carries more than a quarter above its part.
const Spread = 1.25

// leastFlights is the number of requests in flight at which the bound starts to
// act. Below it the average of one entry is mostly chance, and nobody adds up
// the fleet's.
const leastFlights = 4

// A Fleet is the list of upstreams, prepared for queries. The zero Fleet is
// empty.
type Fleet struct {
	list   []node
	models map[string]*group
}

type node struct {
	upstream Upstream
	state    *state
}

// state is what an entry knows of an upstream by itself. It survives a new
// list.
type state struct {
	flights atomic.Int32
	leaving atomic.Bool
}

// group is the upstreams of one model.
type group struct {
	all     members
	zones   map[string]members
	regions map[string]members
}

// members are upstreams as places in the list, with the hashes of their names.
// The hashes lie side by side: a look for a prefix reads all of them.
type members struct {
	places []int
	hashes []uint64
}

func (m *members) add(place int, hash uint64) {
	m.places = append(m.places, place)
	m.hashes = append(m.hashes, hash)
}

// NewFleet prepares a list. It takes over what old, which may be nil, knows of
// the upstreams that stay.
func NewFleet(list []Upstream, old *Fleet) *Fleet {
	f := &Fleet{
		list:   make([]node, len(list)),
		models: make(map[string]*group),
	}
	known := old.states()
	for i, u := range list {
		s := known[u.Name]
		if s == nil {
			s = new(state)
		}
		s.leaving.Store(u.Leaving)
		f.list[i] = node{
			upstream: u,
			state:    s,
		}
		f.index(i)
	}
	return f
}

// Len returns the number of upstreams.
func (f *Fleet) Len() int { return len(f.list) }

// Upstream returns the upstream at a place of the list.
func (f *Fleet) Upstream(i int) *Upstream { return &f.list[i].upstream }

// Flights returns this entry's requests in flight to an upstream.
func (f *Fleet) Flights(i int) int { return int(f.list[i].state.flights.Load()) }

// Started tells that a request went to an upstream.
func (f *Fleet) Started(i int) { f.list[i].state.flights.Add(1) }

// Ended tells that a request to an upstream ended.
func (f *Fleet) Ended(i int) { f.list[i].state.flights.Add(-1) }

// Leave takes an upstream out at once, on its own word, before the list says
// so.
func (f *Fleet) Leave(i int) { f.list[i].state.leaving.Store(true) }

// Candidates appends to dst the places of the upstreams to ask, the best guess
// first, and returns it.
func (f *Fleet) Candidates(dst []int, q Query, r *rand.Rand) []int {
	g := f.models[q.Model]
	if g == nil {
		return dst
	}
	count := q.Count
	if count <= 0 {
		count = DefaultCount
	}
	region := g.regions[q.Region]
	start := len(dst)
	if q.Prefix != 0 {
		dst = f.first(dst, region, q.Prefix)
	}
	for len(dst)-start < count-1 {
		n := len(dst)
		dst = f.draw(dst, start, g.zones[q.Zone].places, r)
		if len(dst) == n {
			break
		}
	}
	for _, from := range [...][]int{region.places, g.all.places} {
		for len(dst)-start < count {
			n := len(dst)
			dst = f.draw(dst, start, from, r)
			if len(dst) == n {
				break
			}
		}
	}
	return dst
}

// tries is the number of upstreams in the order of their hashes that are tried
// for a prefix. A prefix for which all of them are above the bound has filled
// 16 upstreams, and random candidates do as well.
const tries = 16

// first appends the highest live upstream by rendezvous hash that is within
// its load bound.
func (f *Fleet) first(dst []int, from members, prefix uint64) []int {
	bound := int32(0)
	limit := uint64(math.MaxUint64)
	for range tries {
		best := -1
		top := uint64(0)
		for k, hash := range from.hashes {
			if h := mix(hash ^ prefix); h >= top && h < limit {
				best, top = k, h
			}
		}
		if best < 0 {
			break
		}
		i := from.places[best]
		s := f.list[i].state
		flights := s.flights.Load()
		if flights >= leastFlights && bound == 0 {
			bound = f.bound(from)
		}
		if !s.leaving.Load() && (flights < leastFlights || flights < bound) {
			return append(dst, i)
		}
		limit = top
	}
	return dst
}

// bound returns the requests in flight that an upstream may have before one
// more is sent to it for its prefix.
func (f *Fleet) bound(from members) int32 {
	total := int32(1)
	for _, i := range from.places {
		total += max(f.list[i].state.flights.Load(), 0)
	}
	share := Spread * float64(total) / float64(len(from.places))
	return int32(math.Ceil(share))
}

// draw appends a random upstream of from that is not yet in dst[start:].
func (f *Fleet) draw(dst []int, start int, from []int, r *rand.Rand) []int {
	if len(from) == 0 {
		return dst
	}
	at := r.IntN(len(from))
	for range from {
		i := from[at]
		if !f.list[i].state.leaving.Load() && !slices.Contains(dst[start:], i) {
			return append(dst, i)
		}
		if at++; at == len(from) {
			at = 0
		}
	}
	return dst
}

// index files an upstream under its models.
func (f *Fleet) index(i int) {
	u := &f.list[i].upstream
	hash := xxhash.Sum64String(u.Name)
	for _, model := range u.Models {
		g := f.models[model]
		if g == nil {
			g = &group{
				zones:   make(map[string]members),
				regions: make(map[string]members),
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

func (f *Fleet) states() map[string]*state {
	if f == nil {
		return nil
	}
	known := make(map[string]*state, len(f.list))
	for i := range f.list {
		known[f.list[i].upstream.Name] = f.list[i].state
	}
	return known
}

// mix spreads the bits of x by folding a 128-bit product, the cheapest step
// that does: a look for a prefix takes one for each upstream.
func mix(x uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15 // the golden ratio in 64 bits
	hi, lo := bits.Mul64(x^x>>32, odd)
	return hi ^ lo
}
