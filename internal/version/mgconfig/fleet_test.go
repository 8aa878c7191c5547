package mgconfig

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgnet"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// callBytes is what HTTP adds to a message and its reply together, as
// BenchmarkExchangeBytes measures it on a connection that is kept open.
const callBytes = 353

// zones and regions of a fleet: seven zones in three regions.
const zoneCount = 7

// node is a member of a fleet.
type node struct {
	name    string
	machine *Machine
	members *mgmember.Members
	asked   bool // the platform was asked for its first list
	life    int  // restarts, so that timers of a former life do nothing
	high    mark
	since   map[uint64]mgclock.Millis // when a version came in force
	ready   mgclock.Millis
}

// fleet is a few members over a net.
type fleet struct {
	net      *mgnet.Net
	platform *platform
	nodes    []*node
	byName   map[string]*node
	spread   mgclock.Millis
	back     string // how a member went back, or ""

	// Where quick is set, the platform lists upstreams alone, whose heartbeats end
	// each watch of the list within beat, and members of one region are told the
	// list by one another.
	quick    mgclock.Millis
	beat     mgclock.Millis
	dead     map[string]bool
	cordoned []string // availability zones on the platform's list

	// Where upstreams is set, the platform gives the list in the pages of so many rows,
	// and allows pageRate reads a second of all members together. The list itself stays
	// short: its pages are what counts.
	upstreams int
	listed    int // upstreams that the list itself shows, 48 where it is 0
}

func newFleet(seed uint64, count int, spread mgclock.Millis) *fleet {
	rng := rand.New(rand.NewPCG(seed, 2))
	net := mgnet.New(seed, func(string, string) mgclock.Millis { return 1 + mgclock.Millis(rng.IntN(3)) })
	f := &fleet{
		net: net,
		platform: &platform{
			net:    net,
			values: make(map[string]mgplatform.Value),
			reads:  make(map[mgclock.Millis]int),
		},
		byName: make(map[string]*node),
		spread: spread,
	}
	var list mgplatform.List
	list.Version = 1
	for i := range count {
		n := &node{
			name: fmt.Sprintf("vm-%04d", i),
		}
		f.nodes = append(f.nodes, n)
		f.byName[n.name] = n
		list.VMs = append(list.VMs, mgplatform.VM{
			Name:   n.name,
			Kind:   mgplatform.EntryKind,
			Addr:   n.name,
			Zone:   zoneOf(i),
			Region: "r" + fmt.Sprint(i%zoneCount%3),
			State:  mgplatform.Live,
		})
	}
	data, _ := json.Marshal(list)
	f.platform.put(mgplatform.ListKey, data)
	return f
}

func zoneOf(i int) string { return fmt.Sprintf("z%d", i%zoneCount) }

// start begins a new life of a member.
func (f *fleet) start(i int) {
	n := f.nodes[i]
	n.life++
	n.members = mgmember.New(n.name)
	n.high = mark{}
	n.ready = never
	n.since = make(map[uint64]mgclock.Millis)
	n.machine = NewMachine(f.net.Now(), MachineSpec{
		Name:        n.name,
		Zone:        zoneOf(i),
		Incarnation: fmt.Sprintf("%08d", n.life),
		Addr:        n.name,
		Seed:        uint64(i*1000 + n.life),
		Spread:      f.spread,
		Quick:       f.quick,
		Seeds:       f.seeds(),
	}, n.members)
	f.tick(n, n.life)
	if f.quick > 0 {
		f.report(n, n.life)
	}
}

func (f *fleet) startAll() {
	for i := range f.nodes {
		f.start(i)
	}
}

func (f *fleet) tick(n *node, life int) {
	f.net.At(max(f.net.Now(), n.machine.Wake()), n.name, func() {
		if n.life != life {
			return
		}
		f.perform(n, n.machine.Tick(f.net.Now()))
		f.tick(n, life)
	})
}

// perform carries out actions and checks that the member didn't go back.
func (f *fleet) perform(n *node, actions []Action) {
	now := f.net.Now()
	current := n.machine.Current().mark()
	if n.high.above(current) {
		f.back = fmt.Sprintf("%s went from %v back to %v at %d", n.name, n.high, current, now)
	}
	if current.above(n.high) {
		n.since[current.version] = now
	}
	n.high = current
	if n.ready == never && n.machine.Ready(now) {
		n.ready = now
		if n.machine.join.high.above(current) {
			f.back = n.name + " is ready below what it heard"
		}
	}
	for _, a := range actions {
		f.carry(n, a)
	}
}

// carry sends one action and returns its result, once.
func (f *fleet) carry(n *node, a Action) {
	life, over := n.life, false
	finish := func(result ResultSpec) {
		if over || n.life != life {
			return
		}
		over = true
		result.Action = a
		f.perform(n, n.machine.Done(f.net.Now(), result))
		if f.quick > 0 {
			f.kick(n, life)
		}
	}
	f.net.At(f.net.Now()+timeout(a), n.name, func() {
		finish(ResultSpec{
			Err: mgplatform.ErrDown,
		})
	})
	switch a.Kind() {
	case Listen:
		f.listen(n, a, finish)
	case Gossip:
		f.gossip(n, a, finish)
	case Exchange, Fetch:
		f.call(n, a, finish)
	default:
		f.read(n, a, finish)
	}
}

func (f *fleet) call(n *node, a Action, finish func(ResultSpec)) {
	to := f.byName[a.Addr()]
	if f.dead[to.name] {
		return
	}
	if a.Kind() == Exchange {
		f.net.Send(n.name, to.name, proto.Size(a.Summary())+callBytes/2, func() {
			if f.dead[to.name] {
				return
			}
			reply, actions := to.machine.Heard(f.net.Now(), a.Summary())
			f.perform(to, actions)
			f.net.Send(to.name, n.name, proto.Size(reply)+callBytes/2, func() {
				finish(ResultSpec{
					Summary: reply,
				})
			})
		})
		return
	}
	f.net.Send(n.name, to.name, proto.Size(a.Fetch())+callBytes/2, func() {
		if f.dead[to.name] {
			return
		}
		reply := Serve(to.machine.Current(), compress(to.machine.List()), a.Fetch())
		f.net.Send(to.name, n.name, proto.Size(reply)+callBytes/2, func() {
			values, list, err := unpack(reply)
			finish(ResultSpec{
				Values: values,
				List:   list,
				Err:    err,
			})
		})
	})
}

const (
	// pageRows and pageRate are those of a platform of some hundred entries.
	pageRows = 50
	pageRate = 6000
	// firstPages is how many a process reads before it asks peers.
	firstPages = 4
	// pageSpan is the time of one page, ms.
	pageSpan = 4
)

// tableText returns a table of some accounts whose weights follow from edit.
func tableText(version uint64, edit int) []byte {
	text := fmt.Sprintf("version = %d\n[[model]]\nname = \"m\"\ncontext = 9\nmax = 9\n", version)
	text += "[[service]]\nname = \"s\"\nmodel = \"m\"\n"
	for i := range 12 {
		text += fmt.Sprintf("[[account]]\nname = \"a%d\"\nweight = %d\n", i, 1+(edit+i)%7)
	}
	return []byte(text)
}

// publish puts a version on the platform, its pages first.
func (f *fleet) publish(version uint64, edit int) {
	table, err := mgtable.Parse(tableText(version, edit))
	if err != nil {
		panic(err)
	}
	m, pages, err := table.Pages(200)
	if err != nil {
		panic(err)
	}
	for i, page := range pages {
		f.platform.put(mgplatform.PageKey(m.Pages[i]), page)
	}
	f.platform.put(mgplatform.ManifestKey, m.Bytes())
}

// publishFaulty puts a version on the platform whose page doesn't hold.
func (f *fleet) publishFaulty(version uint64) {
	page := []byte("[[account]]\nname = \"a\"\nweight = -1\n")
	m := mgtable.Manifest{
		Version: version,
		Pages:   []string{mgtable.DigestOf(page).String()},
	}
	f.platform.put(mgplatform.PageKey(m.Pages[0]), page)
	f.platform.put(mgplatform.ManifestKey, m.Bytes())
}

// versions returns how many members have a version in force.
func (f *fleet) versions() map[uint64]int {
	counts := make(map[uint64]int)
	for _, n := range f.nodes {
		counts[n.machine.Current().Version()]++
	}
	return counts
}
