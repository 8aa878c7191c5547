package mgrelay

import (
	"context"
	"maps"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgprobe"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// probeInterval is the interval at which upstreams are asked whether they are
	// leaving while the list may be stale. An engine announces that it is leaving
	// one to two seconds before its end (its notice), and a move takes at least
	// 200 ms.
	probeInterval = 250 * mgclock.Millis(1)
	// probeTimeout bounds one answer, beside the waits for this process.
	probeTimeout = 150 * mgclock.Millis(1)
	// waitsPerProbe is the number of events that a probe waits for: the connection, the goroutine that
	// sends, and the answer.
	waitsPerProbe = 3
	// sharedProbeInterval is the interval at which it is checked which engines this entry must ask on
	// behalf of all entries. It adds to the time for which an engine isn't probed.
	sharedProbeInterval = 50 * mgclock.Millis(1)
	// engineLoadWindow is the time for which an upstream at which other entries had requests counts as one that
	// runs generations. A hub that has just started doesn't have all reports of loads yet.
	engineLoadWindow = 1500 * mgclock.Millis(1)
	// destinationProbeTimeout bounds the answer of a destination, for which a
	// generation waits: an upstream answers in 3 ms, and one that is gone not at
	// all.
	destinationProbeTimeout = 60 * mgclock.Millis(1)
	// outageStaleChecks is the number of consecutive checks, probeInterval apart,
	// that must find the list stale before the platform counts as unavailable: list
	// entries expire after three heartbeats, 3.6 s. A watch of the list that lags by a
	// second is no outage. Without an outage, an upstream that is missing from the
	// list counts as leaving, since some leave without ever reporting it.
	outageStaleChecks = 8
	// listExpiryWindow is the time after an outage during which an upstream may be
	// missing from the list only because its list entry expired. The platform states
	// that live upstreams are listed again within two seconds of its return, and its
	// return is noticed 0.25 s late.
	listExpiryWindow = 2500 * mgclock.Millis(1)
)

// probeWhileStale asks the upstreams that run generations whether they are leaving,
// while the list may be stale or as in a backup, until ctx is done. An engine may be reclaimed while
// the platform is down, and its generations are cut if the relay doesn't learn of it
// from the engine itself.
func (y *Relay) probeWhileStale(ctx context.Context) {
	if y.spec.AskLeaving == nil {
		return
	}
	staleChecks := 0 // consecutive checks that found the list stale
	for y.spec.Clock.Sleep(ctx, y.probeDelay()) {
		stale := y.spec.IsListStale()
		if stale {
			staleChecks++
		} else {
			staleChecks = 0
		}
		if staleChecks >= outageStaleChecks {
			y.lastOutageAt.Store(int64(y.spec.Clock.Now()))
		}
		if y.prober() != nil || !stale && !y.isListRecovering() {
			continue
		}
		for _, host := range y.generations.hostsNotEvacuating() {
			go y.probe(ctx, host)
		}
	}
}

// probeForAll asks the engines whose probe is assigned to this entry whether they are leaving, while the
// list may be stale or as in a backup, until ctx is done.
func (y *Relay) probeForAll(ctx context.Context) {
	if y.spec.AskLeaving == nil || y.spec.Prober == nil {
		return
	}
	set := engineSet{
		loadedAt: map[string]mgclock.Millis{},
	}
	for y.spec.Clock.Sleep(ctx, y.sharedProbeDelay()) {
		prober := y.prober()
		if prober == nil || !y.mayListMissDepartures() {
			continue
		}
		engines := y.engines(&set)
		hosts := set.hosts
		go prober.Round(ctx, engines, func(ctx context.Context, engine string) (bool, error) {
			leaving, err := y.askLeaving(ctx, hosts[engine], probeTimeout)
			if err == nil && leaving {
				y.reportLeaving(hosts[engine])
			}
			return leaving, err
		})
	}
}

// prober returns the prober on behalf of all entries, or nil if this entry asks for itself.
func (y *Relay) prober() *mgprobe.Prober {
	if y.spec.SharesProbes != nil && !y.spec.SharesProbes() {
		return nil
	}
	return y.spec.Prober
}

// sharedProbeDelay is like probeDelay, for probes on behalf of all entries.
func (y *Relay) sharedProbeDelay() mgclock.Millis {
	if !y.mayListMissDepartures() {
		return probeInterval
	}
	return sharedProbeInterval + waitsPerProbe*y.recentWait()
}

// engineSet holds the upstreams that run generations of any entry.
type engineSet struct {
	hosts    map[string]Host           // of the last call of engines, by name
	loadedAt map[string]mgclock.Millis // when other entries had requests there, by name
}

// engines returns the upstreams that run generations of any entry and haven't announced that they are
// leaving. An upstream that is only missing from the list is one of them: its list entry may have expired.
// Of an upstream that is shared by all cells, this entry doesn't know whether entries of other cells have
// requests there.
func (y *Relay) engines(set *engineSet) []mgprobe.Engine {
	now := y.spec.Clock.Now()
	maps.DeleteFunc(set.loadedAt, func(_ string, at mgclock.Millis) bool { return now >= at+engineLoadWindow })
	for name, load := range y.otherEntriesLoad().Loads {
		if load.Runs > 0 {
			set.loadedAt[name] = now
		}
	}
	own := map[string]Host{}
	for _, host := range y.generations.hosts() {
		if !y.hasAnnouncedLeaving(host) {
			own[host.Name] = host
		}
	}
	set.hosts = map[string]Host{}
	var engines []mgprobe.Engine
	add := func(host Host, runsHere bool) {
		set.hosts[host.Name] = host
		engines = append(engines, mgprobe.Engine{
			Name:     host.Name,
			Shared:   host.Granters > 1,
			RunsHere: runsHere,
		})
	}
	if y.spec.Engines != nil {
		for host := range y.spec.Engines {
			_, runsHere := own[host.Name]
			if _, isLoaded := set.loadedAt[host.Name]; runsHere || isLoaded || host.Granters > 1 {
				add(host, runsHere)
			}
		}
	}
	for name, host := range own {
		if _, added := set.hosts[name]; !added {
			add(host, true)
		}
	}
	return engines
}

// hasAnnouncedLeaving reports whether an upstream is leaving by its own announcement or by the list, and
// not merely missing from the list.
func (y *Relay) hasAnnouncedLeaving(host Host) bool {
	return y.spec.IsLeaving(host.Name) && (y.spec.IsMissing == nil || !y.spec.IsMissing(host.Name))
}

// mayListMissDepartures reports whether an upstream may have announced that it is leaving though the
// list doesn't show it.
func (y *Relay) mayListMissDepartures() bool { return y.spec.IsListStale() || y.isListRecovering() }

// probeDelay returns the time until the next probes. A process that runs late asks less often, as it would
// become later otherwise.
func (y *Relay) probeDelay() mgclock.Millis { return probeInterval + waitsPerProbe*y.recentWait() }

// recentWait returns the longest time for which an event has lately waited for this process.
func (y *Relay) recentWait() mgclock.Millis {
	if y.spec.RecentWait == nil {
		return 0
	}
	return y.spec.RecentWait()
}

// isListRecovering reports whether the list may be as in a backup; see
// Spec.IsListRecovering.
func (y *Relay) isListRecovering() bool {
	return y.spec.IsListRecovering != nil && y.spec.IsListRecovering()
}

func (y *Relay) probe(ctx context.Context, host Host) {
	leaving, err := y.askLeaving(ctx, host, probeTimeout)
	if err != nil || !leaving {
		// A lost answer is no evidence; the next probe follows after probeInterval.
		return
	}
	y.reportLeaving(host)
}

// awaitRelisting waits while an upstream that is missing from the list may merely have
// expired there, and reports whether the list has it again. List entries expire
// while the platform is unavailable. If the generations of live engines were moved
// at once, they would all go to the few upstreams that the list still has, and pause
// while one copy waits for another. An upstream that answers that it is leaving, or
// doesn't answer, isn't waited for.
func (y *Relay) awaitRelisting(ctx context.Context, host Host) bool {
	if y.spec.IsMissing == nil || y.spec.AskLeaving == nil || y.lastOutageAt.Load() == 0 {
		return false
	}
	for y.spec.Clock.Now() < mgclock.Millis(y.lastOutageAt.Load())+listExpiryWindow && y.spec.IsMissing(host.Name) {
		if !y.confirmsStaying(ctx, host) || !y.spec.Clock.Sleep(ctx, probeInterval) {
			return false
		}
	}
	return !y.spec.IsLeaving(host.Name)
}

// confirmsStaying reports whether an upstream answers that it isn't leaving, or has recently answered so to any
// entry.
func (y *Relay) confirmsStaying(ctx context.Context, host Host) bool {
	if y.hasRecentAnswer(host) {
		return true
	}
	leaving, err := y.askDestination(ctx, host)
	return err == nil && !leaving
}

// hasRecentAnswer reports whether an upstream has recently answered to any entry that it isn't leaving,
// and hasn't announced that it is leaving since.
func (y *Relay) hasRecentAnswer(host Host) bool {
	prober := y.prober()
	if prober == nil || y.hasAnnouncedLeaving(host) {
		return false
	}
	age, ok := prober.Age(host.Name)
	if ok {
		y.spec.Metrics.Counter("probes.used").Inc(1)
		y.spec.Metrics.Histogram("probes.age").Update(int64(age))
	}
	return ok
}

// askDestination asks the destination of a generation whether it is leaving.
func (y *Relay) askDestination(ctx context.Context, host Host) (leaving bool, err error) {
	askedAt := y.spec.Clock.Now()
	leaving, err = y.askLeaving(ctx, host, destinationProbeTimeout)
	if prober := y.prober(); prober != nil && err == nil && !leaving {
		prober.Record(askedAt, host.Name)
	}
	return leaving, err
}

// canTakeOver reports whether an upstream can take over a generation. While the list
// may be stale, the upstream is asked: one that is gone appears emptiest of all, and
// the source would try to reach it for 1.2 s. That is most of the time between a notice
// and the reclaim, and the other generations at the source would wait for its link
// meanwhile. A recent answer to any entry counts.
func (y *Relay) canTakeOver(ctx context.Context, host Host) bool {
	if y.spec.AskLeaving == nil || !y.mayListMissDepartures() {
		return true
	}
	if y.prober() != nil && y.hasAnnouncedLeaving(host) {
		return false
	}
	if y.hasRecentAnswer(host) {
		return true
	}
	leaving, err := y.askDestination(ctx, host)
	switch {
	case ctx.Err() != nil:
		return false // the generation ended meanwhile, which is no evidence against the upstream
	case err != nil:
		y.spec.Log.Info("a listed upstream doesn't answer a probe, no generation is moved there",
			mglog.Upstream, host.Name, "why", err.Error())
		y.spec.ReportFailed(host.Name)
		y.spec.Load.RecordFault(y.spec.Clock.Now(), host.Name)
		return false
	case leaving:
		y.reportLeaving(host)
		return false
	}
	return true
}

// askLeaving asks an upstream whether it is leaving.
func (y *Relay) askLeaving(ctx context.Context, host Host, timeout mgclock.Millis) (leaving bool, err error) {
	timeout += waitsPerProbe * y.recentWait()
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	y.spec.Metrics.Counter("relay.probes").Inc(1)
	return y.spec.AskLeaving(ctx, host)
}

// reportLeaving logs and reports an upstream that answered a probe that it is leaving.
func (y *Relay) reportLeaving(host Host) {
	y.spec.Log.Info("an upstream reports that it is leaving, which the list doesn't show", mglog.Upstream, host.Name)
	y.spec.ReportDeparted(host.Name)
}
