package mgnode

import (
	"context"
	"fmt"
	"time"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglink"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgpeer"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgbudget"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgentry"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgretry"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgshare"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgdial"
)

// RunEntry runs an entry until stop ends, and then drains it. The drain ends early
// when abortDrain ends.
func RunEntry(stop, abortDrain context.Context, settings mgsettings.Entry, n *Node) error {
	n.servesCallers = true
	return n.run(stop, abortDrain, func(ctx context.Context) (Drain, error) { return n.startEntry(ctx, settings) })
}

// startEntry starts to serve callers, and returns the drain that stops it.
func (n *Node) startEntry(ctx context.Context, settings mgsettings.Entry) (Drain, error) {
	public, err := listenPublic(settings)
	if err != nil {
		return Drain{}, err
	}
	if err := n.measureWaits(ctx); err != nil {
		return Drain{}, err
	}
	n.placementQueues.admission = settings.Admission
	n.quarantine.Begin(n.clock.Now(), mgclock.Millis(settings.CautionTime))
	capShares := mgshare.NewLoop(n.capSharesSpec(settings.Fresh))
	n.capShares.Store(capShares)
	n.pause.OnPause(func(mgclock.Millis) { capShares.Drop() })
	n.background.Go(func() { capShares.Run(ctx) })
	n.speeds.isOn.Store(settings.Speeds && n.relayHeaders != nil)
	if settings.ShareProbes && n.relayHeaders != nil && n.probe != nil {
		n.startProber()
	}
	entry := mgentry.New(n.entrySpec(settings, capShares), n.incarnation)
	placementCandidates := entry.PlacementCandidates
	n.placementCandidates.Store(&placementCandidates)
	n.admin.AddSection("entry", func() any { return entry.State() })
	n.admin.AddSection("shares", func() any { return capShares.Status() })
	n.background.Go(func() { entry.Run(ctx) })
	n.background.Go(func() { n.exchanger.runBroadcast(ctx) })
	n.background.Go(func() { n.exchanger.runAntiEntropy(ctx) })
	n.background.Go(func() { n.watchHeld(ctx) })
	if n.relayHeaders != nil {
		n.background.Go(func() { n.origins.Run(ctx) })
		n.background.Go(func() { n.reportLoads(ctx, entry.Load()) })
	}
	if n.speeds.isOn.Load() {
		n.background.Go(func() { n.exchangeSpeeds(ctx) })
	}
	if settings.MaxRetries > 0 {
		n.background.Go(func() { n.limitRetries(ctx, int(settings.MaxRetries), entry.RetryBudgets()) })
	}
	n.Serve(ctx, n.withBudget(ServerSpec{
		Name:           "callers",
		Listener:       public,
		Handler:        entry.Handler(),
		Linger:         n.linger,
		MaxHeaderBytes: int(settings.MaxHeader),
		HeaderTimeout:  mgclock.Millis(settings.CallerTimeout),
		MaxConns:       int(settings.MaxConns),
		Admits:         n.admitsConnection,
		IsOverloaded:   n.isOverloaded,
		ConnBytes:      mgbudget.CallerConnBytes,
		ReceiveBuffer:  callerReceiveBuffer,
		BodyTimeout:    mgclock.Millis(settings.BodyTimeout),
		WriteTimeout:   mgclock.Millis(settings.WriteTimeout),
	}, n.parts().Callers()))
	drain := n.NewDrain(entry.Leave, entry.Busy)
	withdrawReadiness := drain.WithdrawReadiness
	drain.WithdrawReadiness = func() {
		entry.AnnounceStop(n.clock.Now() + drain.MaxDuration)
		withdrawReadiness()
	}
	return drain, nil
}

func (n *Node) entrySpec(settings mgsettings.Entry, capShares *mgshare.Loop) mgentry.Spec {
	return mgentry.Spec{
		Settings:           settings,
		Clock:              n.clock,
		Log:                n.log,
		Metrics:            n.metrics,
		Signer:             n.signer,
		Quarantine:         n.quarantine,
		Table:              n.Table,
		TableConfirmed:     n.configLoop.TableConfirmed,
		ObserveVersion:     n.ObserveVersion,
		View:               n.members.View,
		ReportFailed:       n.peerFailed,
		ReportAnnouncement: n.recordPeerAnnouncement,
		Acquire:            capShares.Acquire,    // a share of an account's caps
		ReportRunning:      capShares.SetRunning, // how many streams of an account run here
		Calls: &mglink.RetryTransport{
			Pooled:   n.calls,
			Second:   n.newTransport(true), // for a call's second attempt: a new connection each
			Clock:    n.clock,
			Interval: mgclock.Millis(settings.HeartbeatInterval),
		},
		Frames:           n.newTransport(true), // a new connection for each stream
		BaseURL:          n.guard.BaseURL,
		Relay:            n.relaySpec(settings),
		ReportAnswered:   n.peerAnswered,
		Changed:          n.members.Changed, // closed when the view changes
		OtherLoads:       n.OtherLoads,
		OthersStay:       n.halfOfOthersStay,
		IsListStale:      n.isListStale,
		IsListRecovering: n.isListRecovering,
		ListConfirmedAt:  n.listConfirmedAt,
		ReportDeparted:   n.recordUpstreamLeaving,
	}
}

// upstreamSilenceTimeout is how long an upstream's kernel may leave keep-alive
// probes unanswered before the connection is closed. Callers give a stream up
// after seven seconds without an event, and a partition that heals before then
// should only pause it, so the timeout must be above seven seconds. It consists of
// three intervals of three seconds each; the kernel counts them in whole seconds.
const upstreamSilenceTimeout = 9 * time.Second

// retryWindow is the time over which services count the retries that they allow.
const retryWindow = 10 * mgclock.Second

// limitRetries sets this entry's limit of retries once a second until ctx ends. The
// limit is its share of total, the number of retries allowed to all entries together,
// and follows from the known entries.
func (n *Node) limitRetries(ctx context.Context, total int, budgets *mgretry.Budgets) {
	expireAt := n.clock.Now() + retryWindow
	for ok := true; ok; ok = n.clock.Sleep(ctx, mgclock.Second) {
		others := n.otherEntries()
		rank := 0
		for _, other := range others {
			if other.Name() < n.settings.Name {
				rank++
			}
		}
		budgets.SetLimit(mgretry.Share(total, 1+len(others), rank))
		if now := n.clock.Now(); now >= expireAt {
			budgets.ExpireEarned()
			expireAt = now + retryWindow
		}
	}
}

// halfOfOthersStay reports whether at least half of the other entries are not
// leaving. Only then does a stopping entry refuse requests that can't end before its
// stop (see mgentry.Entry.AnnounceStop). A caller that retries reaches any entry, and
// where most of them are leaving, a response that may be cut off is worth more to it
// than a second refusal.
func (n *Node) halfOfOthersStay() bool {
	entries, staying := n.otherEntries(), 0
	for _, entry := range entries {
		if !entry.Leaving() {
			staying++
		}
	}
	return len(entries) > 0 && 2*staying >= len(entries)
}

// relaySpec returns the specification of the relay that passes requests through to
// upstreams, or nil without one.
func (n *Node) relaySpec(settings mgsettings.Entry) *mgrelay.Spec {
	if n.relayHeaders == nil {
		return nil
	}
	spec := &mgrelay.Spec{
		Headers:            *n.relayHeaders,
		Admission:          settings.Admission,
		ListVersion:        n.listVersionAndReportAge,
		Move:               n.move,
		AskLeaving:         n.probe,
		Prober:             n.prober.Load(),
		AskIncarnation:     n.askIncarnation,
		AwaitPlacement:     n.acquirePlacement,
		AcquireSlot:        n.acquireMigrationSlot,
		ReleaseSlot:        n.releaseMigrationSlot,
		RefusesConnections: mgdial.RefusesConnections,
		WatchProcess:       mgdial.WatchProcess,
		Limits:             &n.limits,
		Origins:            n.origins,
		TakePermit:         n.acquirePermit,
		RecentWait:         n.recentWait,
		Client:             mgdial.NewClientWith(mgdial.DialInRegionAfter(upstreamSilenceTimeout, n.waits.Load().Flush)),
	}
	if n.speeds.isOn.Load() {
		spec.Learner = &n.speeds.learner
		spec.Speeds = n.speeds.known.Load
	}
	return spec
}

// isListRecovering reports whether the platform has just returned from an outage; see
// mgrelay.Spec.
func (n *Node) isListRecovering() bool { return n.members.InGracePeriod(n.clock.Now()) }

// listConfirmedAt returns when the platform last confirmed the list of VMs, negative if it
// hasn't.
func (n *Node) listConfirmedAt() mgclock.Millis {
	report := n.configLoop.Report()
	if report.Age < 0 {
		return -1
	}
	return n.clock.Now() - report.Age
}

// listenPublic opens the callers' listener, with TLS if it is configured.
func listenPublic(settings mgsettings.Entry) (*mglistener.Listener, error) {
	identity, err := mgpeer.LoadPublicTLS(certFiles(settings.Public))
	if err != nil {
		return nil, err
	}
	public, err := mglistener.Listen(settings.ListenAddr, identity)
	if err != nil {
		return nil, fmt.Errorf("key listen: can't listen on %s: give a free IP and port of this VM: %w", settings.ListenAddr, err)
	}
	return public, nil
}
