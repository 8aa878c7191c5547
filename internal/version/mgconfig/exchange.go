package mgconfig

import (
	"encoding/json"
	"errors"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// fanout is the number of peers to which a new version is pushed. With four, the
	// push reaches all but about 2 % of a large fleet (Karp et al. 2000), and exchanges
	// reach the rest.
	fanout = 4
	// otherZoneDivisor sets the share of peers chosen outside of the own zone: one in
	// four.
	otherZoneDivisor = 4
)

// peer is the name, if known, and address of another process.
type peer struct {
	name string
	addr string
}

// choosePeer returns a random peer, usually of the own zone, or an empty peer where
// none is known.
func (m *Machine) choosePeer() peer {
	peers := m.members.View().Peers()
	if len(peers) == 0 {
		return m.seed()
	}
	otherZone := m.rng.IntN(otherZoneDivisor) == 0
	var chosen *mgmember.Member
	// A few draws suffice to find a peer of the own zone, or of another one, as wanted,
	// where there is one.
	for range 2 * otherZoneDivisor {
		chosen = peers[m.rng.IntN(len(peers))]
		if (chosen.Zone() != m.spec.Zone) == otherZone {
			break
		}
	}
	return peerOf(chosen)
}

func peerOf(m *mgmember.Member) peer {
	return peer{
		name: m.Name(),
		addr: m.PeerAddr(),
	}
}

// seed returns a random configured peer, or an empty one.
func (m *Machine) seed() peer {
	if len(m.spec.Seeds) == 0 {
		return peer{}
	}
	return peer{
		addr: m.spec.Seeds[m.rng.IntN(len(m.spec.Seeds))],
	}
}

// peerNamed returns the peer with a name, or a random one when the name is unknown.
func (m *Machine) peerNamed(name string) peer {
	if member, ok := m.members.View().Member(name); ok && name != m.spec.Name {
		return peerOf(member)
	}
	return m.choosePeer()
}

// exchangeWith starts an exchange of summaries with a peer, unless one is in progress:
// version numbers on many concurrent calls must cause only one exchange.
func (m *Machine) exchangeWith(p peer) []Action {
	if p.addr == "" || m.exchanging[p.addr] {
		return nil
	}
	m.exchanging[p.addr] = true
	m.counts.Exchanges++
	return []Action{{
		kind:    Exchange,
		peer:    p.name,
		addr:    p.addr,
		summary: m.summary(),
	}}
}

// pushToPeers starts exchanges with a few random peers after this process's state has
// changed.
func (m *Machine) pushToPeers(mgclock.Millis) []Action {
	var actions []Action
	for range fanout {
		actions = append(actions, m.exchangeWith(m.choosePeer())...)
	}
	return actions
}

// pushListVersion announces the version of a newer list to a few peers, unless long
// polls distribute the list, which is assumed while this process's own long poll works.
func (m *Machine) pushListVersion(now mgclock.Millis) []Action {
	if m.longPoll.deliversUpdates(now) {
		return nil
	}
	return m.pushToPeers(now)
}

// HandleExchange merges a peer's summary and returns this process's summary from before
// the merge.
func (m *Machine) HandleExchange(now mgclock.Millis, s *mgrpc.Summary) (*mgrpc.Summary, []Action) {
	m.now = now
	reply := m.summary()
	return reply, m.applySummary(now, s)
}

// ObserveVersion handles a version number that another call carried.
func (m *Machine) ObserveVersion(now mgclock.Millis, version uint64, from string) []Action {
	m.now = now
	if version <= m.Current().Version() || m.pull != nil && m.pull.key.version >= version {
		return nil
	}
	return m.exchangeWith(m.peerNamed(from))
}

// handleExchangeResult handles the answer to an exchange.
func (m *Machine) handleExchangeResult(now mgclock.Millis, result ActionResult) []Action {
	delete(m.exchanging, result.Action.addr)
	if result.Err != nil {
		if result.Action.peer != "" {
			m.members.RecordFailure(now, result.Action.peer)
		}
		m.recordUnreachable(now, result.Action.addr)
		return nil
	}
	m.join.recordAnswer(result.Summary)
	return m.applySummary(now, result.Summary)
}

// applySummary merges a peer's summary.
func (m *Machine) applySummary(now mgclock.Millis, s *mgrpc.Summary) []Action {
	if s.GetName() == m.spec.Name {
		return nil
	}
	m.members.RecordMessage(now, s.GetName(), s.GetIncarnation(), s.GetLeaving())
	m.addSummaryMembers(now, s)
	actions := m.applyDepartures(now, s.GetDeparted())
	from := peer{
		name: s.GetName(),
		addr: s.GetAddr(),
	}
	if s.GetList() > m.members.View().Version() && !m.longPoll.deliversUpdates(now) {
		actions = append(actions, m.fetchList(now, from)...)
	}
	m.learnVersion(now, versionKey{
		version: s.GetVersion(),
		digest:  s.GetDigest(),
	}, from)
	return append(actions, m.stepPull(now)...)
}

// listFetchState is the state of fetching the list of VMs from a peer.
type listFetchState struct {
	busy bool
	next mgclock.Millis
}

// maxUnlistedPeers is the maximum number of other processes that a summary names. With
// eight, two processes that know only the same seed know each other after one exchange
// with it in a fleet of nine, and after a few in one of hundreds.
const maxUnlistedPeers = 8

// knownMaxAge is the maximum time since a process named in a summary was last seen. The
// receiver counts the process as last seen that long ago, so that processes can't keep
// a dead one known by naming it to each other.
const knownMaxAge = 10 * mgclock.Second

// unlistedPeers returns recently seen processes that the list doesn't name. On a
// platform that lists all processes there are none.
func (m *Machine) unlistedPeers() []*mgrpc.Known {
	var known []*mgrpc.Known
	peers := m.members.View().Peers()
	if len(peers) == 0 {
		return nil
	}
	first := m.rng.IntN(len(peers))
	for i := range peers {
		peer := peers[(first+i)%len(peers)]
		if peer.Listed() || !m.members.SeenWithin(m.now, peer.Name(), knownMaxAge) {
			continue
		}
		known = append(known, &mgrpc.Known{
			Name:   peer.Name(),
			Addr:   peer.PeerAddr(),
			Zone:   peer.Zone(),
			Region: peer.Region(),
			Power:  int64(peer.Power()),
		})
		if len(known) == maxUnlistedPeers {
			break
		}
	}
	return known
}

// departureTTL is how long summaries carry the announcement of an upstream that is
// leaving: longer than the upstream's notice and the time until the list shows the
// departure.
const departureTTL = 5 * mgclock.Second

// HandleDeparture records an upstream's own announcement that it is leaving, and pushes
// it to peers. Otherwise each peer would find out by itself, up to a second later, which
// is half of a notice of two seconds.
func (m *Machine) HandleDeparture(now mgclock.Millis, upstream string) []Action {
	m.now = now
	if !m.applyDeparture(now, m.members.CurrentDeparture(upstream)) {
		return nil
	}
	return m.pushToPeers(now)
}

// applyDepartures merges departures that a peer reports. New ones are forwarded,
// because the first process that learns of one pushes it to a few peers only.
func (m *Machine) applyDepartures(now mgclock.Millis, texts []string) []Action {
	isNew := false
	for _, text := range texts {
		isNew = m.applyDeparture(now, m.members.ParseDeparture(text)) || isNew
	}
	if !isNew {
		return nil
	}
	return m.pushToPeers(now)
}

// applyDeparture records a departure and reports whether it must be forwarded to peers.
func (m *Machine) applyDeparture(now mgclock.Millis, departure mgmember.Departure) bool {
	if !m.members.RecordDeparture(now, departure) {
		return false
	}
	if m.departed == nil {
		m.departed = make(map[mgmember.Departure]mgclock.Millis)
	}
	m.departed[departure] = now
	return true
}

// departures returns the departures that summaries carry.
func (m *Machine) departures() []string {
	var all []string
	for departure, at := range m.departed {
		if m.now >= at+departureTTL {
			delete(m.departed, departure)
			continue
		}
		all = append(all, departure.String())
	}
	return all
}

// addSummaryMembers adds the sender of a summary, and the processes that it names, to the
// members.
func (m *Machine) addSummaryMembers(now mgclock.Millis, s *mgrpc.Summary) {
	m.addMember(now, &mgrpc.Known{
		Name:   s.GetName(),
		Addr:   s.GetAddr(),
		Zone:   s.GetZone(),
		Region: s.GetRegion(),
		Power:  s.GetPower(),
	})
	for _, k := range s.GetKnown() {
		m.addMember(now-knownMaxAge, k)
	}
}

// addMember adds a process that was last seen at a given time to the members.
func (m *Machine) addMember(lastSeen mgclock.Millis, k *mgrpc.Known) {
	if k.GetAddr() == "" {
		return
	}
	m.members.Introduce(lastSeen, mgplatform.VM{
		Name:   k.GetName(),
		Kind:   mgplatform.EntryKind,
		Addr:   k.GetAddr(),
		Zone:   k.GetZone(),
		Region: k.GetRegion(),
		Power:  int(k.GetPower()),
	})
}

// listFetchDelayPerRow makes the minimum interval of fetches of the list grow with its
// rows. While VMs are replaced by the hundred, the list changes every few seconds, and
// a member that fetched each change of 1,260 rows would spend its budget on them: it
// fetches one in five seconds. A list of 15 rows is fetched at once, so that a member
// without an answer from the platform learns from its peers of an upstream that leaves,
// within the two seconds of notice that it may have.
const listFetchDelayPerRow = 4 * mgclock.Millis(1)

// maxListFetchInterval limits that interval where MachineSpec.QuickInterval is set. Until
// a member has the newest list, it watches the platform itself there, and the heartbeats
// of some thousand upstreams that a watch returns load its link many times as much as
// the fetch of a list of as many rows.
const maxListFetchInterval = 1500 * mgclock.Millis(1)

// listFetchInterval returns the minimum interval between fetches of the list.
func (m *Machine) listFetchInterval() mgclock.Millis {
	interval := listFetchDelayPerRow * mgclock.Millis(len(m.members.View().All()))
	if m.spec.QuickInterval > 0 {
		return min(interval, maxListFetchInterval)
	}
	return interval
}

func (m *Machine) fetchList(now mgclock.Millis, from peer) []Action {
	if m.listFetch.busy || now < m.listFetch.next || from.addr == "" {
		return nil
	}
	m.listFetch.busy = true
	m.counts.Fetches++
	return []Action{{
		kind:          Fetch,
		peer:          from.name,
		addr:          from.addr,
		answerTimeout: m.spec.FetchTimeout,
		fetch: &mgrpc.FetchRequest{
			List: true,
		},
	}}
}

// adoptList adopts a list of VMs from a peer and reports whether it was newer.
func (m *Machine) adoptList(now mgclock.Millis, data []byte) bool {
	list, ok := m.readList(data)
	return ok && m.adoptParsedList(now, list, data)
}

// readList parses a list of VMs and records what of it can't be read. It returns false if no part of it can be used.
func (m *Machine) readList(data []byte) (mgplatform.VMList, bool) {
	list, err := mgplatform.ReadList(data)
	if err != nil {
		m.rejections.add(0, mgplatform.ListKey, err)
	}
	var unread *mgplatform.RowsError
	return list, err == nil || errors.As(err, &unread)
}

// adoptPlatformList adopts a list that the platform has returned, with the rows that it
// lacks and that are held, and reports whether it was newer. isFirst is set for the first
// answer after an outage.
func (m *Machine) adoptPlatformList(now mgclock.Millis, data []byte, isFirst bool) bool {
	list, ok := m.readList(data)
	if !ok {
		return false
	}
	if m.spec.RowsExpire {
		list = m.members.HoldMissing(now, list, isFirst)
	}
	return m.adoptParsedList(now, list, data)
}

func (m *Machine) adoptParsedList(now mgclock.Millis, list mgplatform.VMList, data []byte) bool {
	if !m.members.AdoptList(now, list) {
		return false
	}
	m.setEra(now, list.Era)
	m.list = data
	m.counts.ListAdoptions++
	return true
}

// List returns the encoded list of VMs in use, for peers that ask, and whether it contains
// times that remain now.
func (m *Machine) List(now mgclock.Millis) (data []byte, isTimed bool) {
	list, differs := m.members.CurrentList(now)
	if !differs {
		return m.list, false
	}
	data, err := json.Marshal(list)
	if err != nil {
		return m.list, false // a list that was decoded can be encoded
	}
	return data, true
}
