package mgrelay

import (
	"context"
	"sync/atomic"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgbackup"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

const (
	// backupHold is how long a copy takes memory after its last part, unless its run has
	// ended successfully.
	backupHold = 5 * mgclock.Second
	// backupLag is the time from the first event until the copy can be expected to be
	// usable: the copy of an average prompt (3,000 tokens) takes 170 ms, and the output
	// follows several times a second.
	backupLag = 500 * mgclock.Millis(1)
	// peerFaultWeight is the weight of another entry's faults (mgload) from which an
	// upstream counts as lost: a fault of the last 3.5 s.
	peerFaultWeight = 0.5
)

// backup is a copy of a generation at a second upstream, to which the first one, its
// source, sends it as it grows.
type backup struct {
	host       Host
	source     Host
	grant      mgbackup.Grant // the memory that is counted for it, from when the request that names it was sent
	isStaying  func() bool    // host isn't known to be leaving
	isReleased atomic.Bool    // memory is no longer counted
	isCertain  atomic.Bool    // source was the incarnation that the list states
}

// nameBackup chooses the backup for the next attempt of a request, if it should have one.
func (y *Relay) nameBackup(x *exchange, host Host) {
	x.backup, x.brokeOff, x.ranAtEnd = nil, false, 0
	if !y.mayHaveBackup(x) {
		return
	}
	now := y.spec.Clock.Now()
	others := y.otherEntriesLoad()
	hosts := y.spec.Upstreams(x.service)
	rates := y.lossRates(now, x.service, hosts, others)
	run := x.backupRun(now, host)
	reason := run.Justifies(rates)
	var chosen mgbackup.Destination
	var supply mgbackup.Supply
	if reason == mgbackup.Named {
		var destinations []mgbackup.Destination
		destinations, supply = y.backupDestinations(x, hosts, others)
		var i int
		if i, reason = mgbackup.Choose(run, rates, destinations); reason == mgbackup.Named {
			chosen = destinations[i]
		}
	}
	grant := mgbackup.Grant{
		Service:  x.service,
		Memory:   run.Memory(),
		At:       now,
		Duration: run.Duration,
	}
	if reason == mgbackup.Named && !y.backupBudget.Take(grant, supply) {
		reason = mgbackup.Spent
	}
	y.spec.Metrics.Counter("relay.backup." + string(reason)).Inc(1)
	if reason != mgbackup.Named {
		return
	}
	for _, other := range hosts {
		if other.Name == chosen.Name {
			y.holdBackup(x, host, other, grant)
		}
	}
	y.spec.Log.Info("a backup is named", append(y.dataVersionKeys(),
		mglog.Request, x.id, mglog.Service, x.service, mglog.Upstream, host.Name, "to", chosen.Name,
		"software", host.SoftwareVersion, "memory", grant.Memory, "free", chosen.Free, "expected", int64(run.Duration),
		"loss", rates.Engine*float64(run.Duration), "held", y.backupBudget.Held())...)
}

// holdBackup counts the memory of a backup and records it as that of the next attempt.
func (y *Relay) holdBackup(x *exchange, source, host Host, grant mgbackup.Grant) {
	x.backup = &backup{
		host:      host,
		source:    source,
		grant:     grant,
		isStaying: func() bool { return !y.isLeaving(host.Name) },
	}
	y.spec.Load.Add(host.Name, mgload.Load{Memory: grant.Memory})
	y.spec.Metrics.Gauge("relay.backup.tokens").Update(int64(y.backupBudget.Held()))
}

// mayHaveBackup reports whether a request may have a backup at all.
func (y *Relay) mayHaveBackup(x *exchange) bool {
	if !y.spec.Backups || y.spec.Headers.Backup == "" || y.spec.Headers.Copy == "" {
		return false
	}
	if x.call.Route.Kind() != mgtable.Stream || x.call.Route.Resumes() || x.size.prompt == 0 || x.id == "" {
		return false
	}
	service := x.call.Table.Service(x.service)
	return service != nil && service.CanBackup() && upstreamCapacity(x.call.Table, x.service) > 0
}

// backupRun describes a request that is about to be sent to an upstream.
func (x *exchange) backupRun(now mgclock.Millis, host Host) mgbackup.Run {
	run := mgbackup.Run{
		ID:        x.id,
		Service:   x.service,
		Prompt:    x.size.prompt,
		Output:    x.size.output,
		Generated: x.generated,
		Source:    engineOf(host),
		Version:   host.SoftwareVersion,
	}
	run.Duration = msPerToken * mgclock.Millis(run.Remaining())
	if x.resumeFrom.copyRef == "" {
		run.Duration += firstEventTime
	}
	run.Duration = min(run.Duration, x.timeLeft(now))
	return run
}

func engineOf(host Host) mgbackup.Engine {
	return mgbackup.Engine{
		Name:  host.Name,
		Zone:  host.Zone,
		Start: host.IncarnationStart,
	}
}

// isLeaving reports whether an upstream is known to be leaving or gone.
func (y *Relay) isLeaving(name string) bool {
	return y.spec.IsLeaving != nil && y.spec.IsLeaving(name)
}

// lossRates returns how often upstreams of a service are lost, by what this process and
// the others have seen.
func (y *Relay) lossRates(now mgclock.Millis, service string, hosts []Host, others mgload.Report) mgbackup.Rates {
	engines := make([]mgbackup.Engine, 0, len(hosts))
	for _, host := range hosts {
		engines = append(engines, engineOf(host))
	}
	y.spec.Losses.Observe(now, service, engines, y.isLeaving)
	for _, engine := range engines {
		if others.Faults[engine.Name] >= peerFaultWeight {
			y.spec.Losses.RecordBreak(now, service, engine)
		}
	}
	isStale := y.spec.IsListStale != nil && y.spec.IsListStale() || y.isListRecovering()
	return y.spec.Losses.Rates(now, service, isStale)
}

// recordLoss records that a request broke off at an upstream.
func (y *Relay) recordLoss(x *exchange, host Host) {
	if service := x.call.Table.Service(x.service); y.spec.Backups && service != nil && service.CanBackup() {
		y.spec.Losses.RecordBreak(y.spec.Clock.Now(), x.service, engineOf(host))
	}
}

// backupDestinations returns the upstreams that may hold a backup, and the memory that
// all backups may use a part of.
func (y *Relay) backupDestinations(x *exchange, hosts []Host, others mgload.Report) ([]mgbackup.Destination, mgbackup.Supply) {
	query := mgload.Query{
		Zone:     y.spec.Zone,
		Capacity: upstreamCapacity(x.call.Table, x.service),
	}
	supply := mgbackup.Supply{
		Processes: 1,
	}
	if y.spec.Processes != nil {
		supply.Processes = y.spec.Processes()
	}
	now := y.spec.Clock.Now()
	destinations := make([]mgbackup.Destination, 0, len(hosts))
	for _, c := range y.allCandidates(x.service, hosts, query, others) {
		_, isLimited := y.spec.Limits.Rate(c.host.Name, c.host.IncarnationStart)
		destinations = append(destinations, mgbackup.Destination{
			Engine:   engineOf(c.host),
			Version:  c.host.SoftwareVersion,
			Capacity: query.Capacity,
			Free:     c.freeTokens,
			Cold:     c.cold,
			Limited:  isLimited || !y.backoffs.CanSend(now, c.host.Name),
			Suspect:  c.avoid,
			Barred:   x.tried[c.host.Name] || y.isLeaving(c.host.Name) || y.isCordoned(c.host.Name) || !x.homes.allows(c.host.Region),
		})
		supply.Free += max(c.freeTokens, 0)
		supply.Capacity += query.Capacity
	}
	return destinations, supply
}

// isCordoned reports whether an upstream's availability zone is cordoned.
func (y *Relay) isCordoned(name string) bool {
	if y.spec.CordonAge == nil {
		return false
	}
	_, cordoned := y.spec.CordonAge(name)
	return cordoned
}

// endBackup records that the attempt whose request names x.backup has ended. If its
// upstream may have been lost, the backup becomes the last resume point. By the time
// that it is used, attempt has closed the connection to that upstream, which then drops
// the request.
func (y *Relay) endBackup(x *exchange, host Host, outcome attemptOutcome) {
	if x.fromBackup && x.lastHost.Name != host.Name {
		y.spec.Metrics.Counter("relay.backup.missing").Inc(1)
		y.log(x, "a generation doesn't continue from its backup at "+host.Name, 0)
	}
	b := x.backup
	switch {
	case b == nil:
	case outcome == delivered || outcome == notConnected || outcome == refused:
		y.releaseBackup(b)
	default:
		if x.brokeOff {
			x.resumePoints = append(x.resumePoints, resumePoint{
				host:    b.host,
				copyRef: b.host.Addr + "/" + x.id,
				backup:  b,
			})
		}
		go func() {
			y.spec.Clock.Sleep(context.Background(), backupHold)
			y.releaseBackup(b)
		}()
	}
}

// releaseBackup ends counting the memory of a backup.
func (y *Relay) releaseBackup(b *backup) {
	if b.isReleased.Swap(true) {
		return
	}
	y.spec.Load.Add(b.host.Name, mgload.Load{Memory: -b.grant.Memory})
	y.backupBudget.Release(y.spec.Clock.Now(), b.grant)
	y.spec.Metrics.Gauge("relay.backup.tokens").Update(int64(y.backupBudget.Held()))
}

// mayUseBackup reports whether a generation may continue from a backup: its source and
// the upstream that holds it are known to run the same software version, and the ids of
// its events show where the second one begins. A nil backup stands for the copy of a
// move, which is checked before the move.
func (y *Relay) mayUseBackup(ctx context.Context, x *exchange, b *backup) bool {
	if b == nil || y.isBackupCertain(ctx, x, b) {
		return true
	}
	y.spec.Metrics.Counter("relay.backup.unused").Inc(1)
	return false
}

func (y *Relay) isBackupCertain(ctx context.Context, x *exchange, b *backup) bool {
	if x.lastEventAt > 0 && !x.sequence.isConsecutive() {
		return false
	}
	at := y.originAt(x.service, b.host)
	if at.Version == "" || at.Version != b.source.SoftwareVersion {
		return false
	}
	if y.spec.Headers.Software != "" && x.lastHost.Name == b.source.Name {
		return x.statedVersion == b.source.SoftwareVersion
	}
	return b.isCertain.Load() || y.isIncarnation(ctx, b.source, b.grant.At)
}

// confirmBackupSource confirms, while the source of a backup runs, which incarnation it
// is. Once it is lost, only the list can confirm that, which takes long while the list is
// stale. at is when the source answered.
func (y *Relay) confirmBackupSource(ctx context.Context, b *backup, at mgclock.Millis) {
	// The list is mostly confirmed meanwhile, and the source needn't be asked.
	if y.spec.Clock.Sleep(ctx, backupLag) && y.isIncarnation(ctx, b.source, at) {
		b.isCertain.Store(true)
	}
}

// useBackup records that a generation is about to continue from its backup.
func (y *Relay) useBackup(x *exchange) {
	b := x.resumeFrom.backup
	y.releaseBackup(b) // the next attempt counts its memory
	y.spec.Metrics.Counter("relay.backup.used").Inc(1)
	y.spec.Log.Info("a generation continues from its backup", append(y.dataVersionKeys(),
		mglog.Request, x.id, mglog.Service, x.service, "from", b.source.Name, mglog.Upstream, b.host.Name,
		"last", x.sequence.lastID, "begun", x.headerSent, "age", int64(y.spec.Clock.Now()-b.grant.At),
		"pause", int64(x.pauseAt(y.spec.Clock.Now())))...)
}

// pauseAt returns the time since the caller was last sent events, 0 before the first.
func (x *exchange) pauseAt(now mgclock.Millis) mgclock.Millis {
	if x.lastEventAt == 0 {
		return 0
	}
	return now - x.lastEventAt
}

// hasUsableBackup reports whether a generation can probably continue from its backup.
func (r *generation) hasUsableBackup(now mgclock.Millis) bool {
	first := mgclock.Millis(r.firstEventAt.Load())
	return r.backup != nil && first > 0 && now >= first+backupLag && r.backup.isStaying()
}

// takeLateMove adds the resume points of a move whose outcome wasn't awaited, because there
// was a backup, if the backup didn't work.
func (y *Relay) takeLateMove(ctx context.Context, x *exchange) {
	gen := x.lateMove
	if gen == nil || len(x.resumePoints) > 0 {
		return
	}
	x.lateMove = nil
	select {
	case <-gen.moveDone:
		x.resumePoints = gen.resumePoints
	case <-gen.moveTimeout(y.spec.Clock):
	case <-ctx.Done():
	}
}
