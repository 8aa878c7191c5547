package mgnode

import (
	"context"
	"maps"
	"net/http"
	"slices"

	"github.com/go-chi/chi/v5"
	"github.com/twitchtv/twirp"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgconfig"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgshare"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// loopSpec returns the specification of the configuration loop. StartWindow is the time over which
// first reads are spread, QuickInterval the minimum interval between watches of the list by the process
// that watches it for its region.
func (n *Node) loopSpec() mgconfig.LoopSpec {
	return mgconfig.LoopSpec{
		Machine: mgconfig.MachineSpec{
			Name:              n.settings.Name,
			Zone:              n.settings.Zone,
			Region:            n.settings.Region,
			Incarnation:       n.incarnation,
			Addr:              n.settings.PeerAddr,
			Power:             int(n.settings.Power),
			RandomSeed:        jitterSeed(n.incarnation),
			Seeds:             n.settings.Seeds,
			StartWindow:       mgclock.Millis(n.settings.StartupSpread),
			ParsedPage:        n.parsedPage,
			ListConfirmsTable: n.listConfirmsTable,
			RowsExpire:        n.rowsExpire,
			QuickInterval:     mgclock.Millis(n.settings.MinWatchInterval),
			WatchWait:         mgclock.Millis(n.settings.WatchTimeout),
			AnswerTimeout:     mgclock.Millis(n.settings.AnswerTimeout),
			FetchTimeout:      mgclock.Millis(n.settings.FetchTimeout),
			MaxBackoff:        mgclock.Millis(n.settings.MaxBackoff),
		},
		Clock:    n.clock,
		Members:  n.members,
		Platform: n.platform,
		Log:      n.log,
		OnAdopt:  n.publishAdopted,
		Exchange: func(ctx context.Context, addr string, s *mgrpc.Summary) (*mgrpc.Summary, error) {
			return n.peerClient(addr).Exchange(ctx, s)
		},
		Fetch: func(ctx context.Context, addr string, r *mgrpc.FetchRequest) (*mgrpc.FetchReply, error) {
			return n.peerClient(addr).Fetch(ctx, r)
		},
		LongPoll: n.longPollList,
		Gossip:   n.exchangeGossip,
	}
}

// peerClient returns the client of the process at an address.
func (n *Node) peerClient(addr string) mgrpc.Peer {
	base := n.guard.BaseURL(addr)
	if found, ok := n.peerClients.Load(base); ok {
		return found.(mgrpc.Peer)
	}
	created := mgrpc.NewPeerProtobufClient(base, &http.Client{Transport: n.calls})
	found, _ := n.peerClients.LoadOrStore(base, created)
	return found.(mgrpc.Peer)
}

// peerRoutes returns the handler of calls from other processes. The calls common to all
// roles are served from the start, so that new processes find each other; those of the
// role are served once SetRoleHandler has been called.
func (n *Node) peerRoutes() http.Handler {
	router := chi.NewRouter()
	router.Mount(mgrpc.PeerPathPrefix, mgrpc.NewPeerServer(peerServer{node: n}))
	router.Get(listPath, n.serveList)
	router.Post(gossipPath, n.serveGossip)
	router.Post(quarantinePath, n.serveUpdates)
	router.Post(permitPath, n.servePermit)
	router.Post(speedsPath, n.serveSpeeds)
	router.Post(originPath, n.serveOrigins)
	router.Post(probePath, n.serveAnswers)
	router.NotFound(func(w http.ResponseWriter, r *http.Request) {
		role := n.roleHandler.Load()
		if role == nil {
			mgproblem.Write(w, mgproblem.New(mgproblem.NotReady, mgproblem.NotRun,
				"this process is starting", "try another one"))
			return
		}
		(*role).ServeHTTP(w, r)
	})
	return router
}

// SetRoleHandler adds the calls of a role to the peers' listener.
func (n *Node) SetRoleHandler(handler http.Handler) { n.roleHandler.Store(&handler) }

// peerServer serves the calls of other processes.
type peerServer struct {
	node *Node
}

// Exchange compares versions with a peer.
func (p peerServer) Exchange(ctx context.Context, s *mgrpc.Summary) (*mgrpc.Summary, error) {
	return p.node.configLoop.Exchange(ctx, s)
}

// Fetch returns pages of the table and the list of VMs.
func (p peerServer) Fetch(ctx context.Context, r *mgrpc.FetchRequest) (*mgrpc.FetchReply, error) {
	return p.node.configLoop.Fetch(ctx, r)
}

// errNotEntry is the error of calls that only an entry serves.
var errNotEntry = twirp.NewError(twirp.Unavailable, "this process leases no caps: ask an entry that is ready")

// Lease serves an entry that regards this process as the home of accounts.
func (p peerServer) Lease(ctx context.Context, r *mgrpc.LeaseRequest) (*mgrpc.LeaseReply, error) {
	shares := p.node.capShares.Load()
	if shares == nil {
		return nil, errNotEntry
	}
	return shares.Lease(ctx, r)
}

// Support serves a home of accounts that requests the vote of this process. This process is one
// of the home's witnesses.
func (p peerServer) Support(ctx context.Context, r *mgrpc.SupportRequest) (*mgrpc.SupportReply, error) {
	shares := p.node.capShares.Load()
	if shares == nil {
		return nil, errNotEntry
	}
	return shares.Support(ctx, r)
}

// capSharesSpec returns the specification of the loop that divides accounts' caps. Fresh is true
// if no process ran under this name recently.
func (n *Node) capSharesSpec(fresh bool) mgshare.LoopSpec {
	return mgshare.LoopSpec{
		Shares: mgshare.SharesSpec{
			Name:        n.settings.Name,
			Incarnation: n.incarnation,
			Region:      n.settings.Region,
			Members:     n.members,
			Account:     n.accountCaps,
			IsFresh:     fresh,
		},
		Clock: n.clock,
		Lease: func(ctx context.Context, addr string, r *mgrpc.LeaseRequest) (*mgrpc.LeaseReply, error) {
			return n.peerClient(addr).Lease(ctx, r)
		},
		RequestVotes: func(ctx context.Context, addr string, r *mgrpc.SupportRequest) (*mgrpc.SupportReply, error) {
			return n.peerClient(addr).Support(ctx, r)
		},
	}
}

// accountCaps returns an account's caps by the table in force, and false if it has none.
func (n *Node) accountCaps(name string) (mgshare.Caps, bool) {
	table := n.Table()
	if table == nil {
		return mgshare.Caps{}, false
	}
	account := table.Account(name)
	if account == nil {
		return mgshare.Caps{}, false
	}
	return mgshare.CapsOf(account)
}

// memberState returns the dump of the other processes.
func (n *Node) memberState() any {
	view := n.members.View()
	rows := make([]memberRow, 0, len(view.All()))
	for _, member := range view.All() {
		rows = append(rows, memberRow{
			Name:        member.Name(),
			Kind:        member.Kind(),
			Zone:        member.Zone(),
			Upstream:    member.Upstream(),
			Software:    member.SoftwareVersion(),
			Incarnation: member.Incarnation(),
			Leaving:     member.Leaving(),
			Suspect:     member.Suspect(),
			Listed:      member.Listed(),
		})
	}
	return memberDump{
		List:     view.Version(),
		Cordoned: slices.Sorted(maps.Keys(view.Cordoned())),
		Pauses:   n.pause.Count(),
		Members:  rows,
	}
}

type memberDump struct {
	List     uint64      `json:"list"`
	Cordoned []string    `json:"cordoned,omitempty"` // availability zones
	Pauses   int         `json:"pauses"`
	Members  []memberRow `json:"members"`
}

type memberRow struct {
	Name        string `json:"name"`
	Kind        string `json:"kind"`
	Zone        string `json:"zone"`
	Upstream    string `json:"upstream,omitempty"`
	Software    string `json:"software,omitempty"` // version of the upstream's software
	Incarnation string `json:"incarnation,omitempty"`
	Leaving     bool   `json:"leaving,omitempty"`
	Suspect     bool   `json:"suspect,omitempty"`
	Listed      bool   `json:"listed"`
}
