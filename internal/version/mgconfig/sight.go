package mgconfig

import (
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Where the platform lists no processes, each is known by others' word of it. An
// exchange with one peer at a time hears each of a hundred peers once in a hundred
// seconds, and one that isn't heard for half a minute is forgotten: of 103 entries
// each knew some thirty, half a minute after the start. They then divided into fewer
// cells than there are, two of four hubs had all requests, and reports began up to 8 s
// late while half of the engines had nothing to do.
//
// So the processes of a cell tell their hub of themselves, the hubs tell the reader of
// their cells, and each is told of all.

const (
	// sightSpan is the mean interval at which a process does so. What it is told is
	// four ways old at most, 12 s of the 30 s that a process stays known; a hundred
	// rows are 2 KB on the wire, a thousand 15 KB.
	sightSpan = 3 * mgclock.Second
	// sightFirst is the same while that brings processes that were not known: just
	// after a start, whom others take for the hub changes with each that is.
	sightFirst = 500 * mgclock.Millis(1)
	// sightAnswer bounds an answer.
	sightAnswer = mgclock.Second
)

// sighting is the state of a process that is told of others.
type sighting struct {
	busy bool
	next mgclock.Millis
}

func (s *sighting) wake() mgclock.Millis {
	if s.busy {
		return never
	}
	return s.next
}

// tellSightings tells the process that gathers for this one, when that is due.
func (m *Machine) tellSightings(now mgclock.Millis) []Action {
	s := &m.sighting
	if s.busy || now < s.next {
		return nil
	}
	s.next = now + sightSpan
	known := m.members.Sightings(now)
	if len(known) == 0 {
		return nil
	}
	to := m.gatherer()
	if m.roles().hub != nil {
		known = nil // the hub has heard of them before
	}
	s.busy = true
	return []Action{{
		kind:   Sight,
		peer:   to.name,
		addr:   to.addr,
		sights: append(known, m.self()),
		answer: sightAnswer,
	}}
}

// gatherer returns whom this process tells. Who takes itself for the reader may only
// not know the one that is, and tells anyone.
func (m *Machine) gatherer() peer {
	r := m.roles()
	switch {
	case r.reader == nil:
		return m.choose()
	case r.hub == nil:
		return peerOf(r.reader)
	default:
		return peerOf(r.hub)
	}
}

// self returns this process as it tells others of itself.
func (m *Machine) self() mgmember.Sighting {
	return mgmember.Sighting{
		Name:   m.spec.Name,
		Addr:   m.spec.Addr,
		Zone:   m.spec.Zone,
		Region: m.spec.Region,
		Power:  m.spec.Power,
	}
}

// sighted takes the answer.
func (m *Machine) sighted(now mgclock.Millis, result ResultSpec) []Action {
	s := &m.sighting
	s.busy = false
	if result.Err != nil {
		s.next = now + sightFirst + m.jitter(sightFirst)
		return nil
	}
	span := sightSpan
	if m.members.Sighted(now, result.Sights) {
		span = sightFirst
	}
	s.next = now + span*3/4 + m.jitter(span/2)
	return nil
}

// Sighted takes a peer's sightings and returns the own ones.
func (m *Machine) Sighted(now mgclock.Millis, all []mgmember.Sighting) []mgmember.Sighting {
	m.members.Sighted(now, all)
	return append(m.members.Sightings(now), m.self())
}
