package mgrelay

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"

	"golang.org/x/sync/singleflight"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgquarantine"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// endCheckInterval is the interval at which an upstream that gives no answer is checked again,
	// and endCheckTimeout how long. The list drops an upstream after some heartbeats.
	endCheckInterval = 500 * mgclock.Millis(1)
	endCheckTimeout  = 15 * mgclock.Second
	// minSilence is the time without an event after which the upstream of an attempt that was given
	// up may have ended.
	minSilence = mgclock.Second
	// maxSilentChecks limits the attempts that were given up of which the upstreams are checked at a
	// time.
	maxSilentChecks = 128
)

// endChecks are the checks in progress whether upstreams have ended. The zero value has none.
type endChecks struct {
	group  singleflight.Group
	silent atomic.Int64 // of attempts that were given up
}

// hasIncarnationEnded reports whether the incarnation of an upstream that host states has ended: its
// address refuses connections, or another incarnation accepts them. An error means that this is
// unknown.
func (y *Relay) hasIncarnationEnded(ctx context.Context, host Host) (bool, error) {
	refused, err := y.hasEnded(host)
	if refused || err != nil {
		return refused, err
	}
	if !y.isListed(host.Name, host.IncarnationStart) {
		return true, nil
	}
	start, err := y.statedIncarnation(ctx, host)
	switch {
	case errors.Is(err, errNoIncarnation):
		return false, nil
	case err != nil:
		return false, err
	}
	return start != host.IncarnationStart, nil
}

// awaitEnd returns whether the incarnation of an upstream has ended that gives no answer: once it
// gives one or another one does, or the list drops it. It returns false after endCheckTimeout.
// Attempts at the same upstream share a check.
func (y *Relay) awaitEnd(host Host) bool {
	key := host.Name + " " + strconv.FormatInt(host.IncarnationStart, 10)
	ended, _, _ := y.endChecks.group.Do(key, func() (any, error) {
		ctx := context.Background()
		for until := y.spec.Clock.Now() + endCheckTimeout; y.spec.Clock.Now() < until; {
			if y.isDropped(host) {
				return true, nil
			}
			if ended, err := y.hasIncarnationEnded(ctx, host); err == nil {
				return ended, nil
			}
			y.spec.Clock.Sleep(ctx, endCheckInterval)
		}
		return false, nil
	})
	return ended.(bool)
}

// recordUnansweredEnd records an attempt that broke off at an upstream that gives no answer, if the
// upstream turns out to have ended at some time since it was last heard.
func (y *Relay) recordUnansweredEnd(host Host, crash mgquarantine.Crash, lastHeard mgclock.Millis) {
	if !y.awaitEnd(host) {
		return
	}
	now := y.spec.Clock.Now()
	crash.Delay = now - lastHeard
	y.spec.Log.Info("an upstream that gave no answer has ended", mglog.Request, crash.Request, mglog.Upstream, host.Name,
		"digest", crash.Digest.String(), "ms", int64(crash.Delay))
	y.recordCrash(now, crash)
}

// isDropped reports whether the list has dropped the incarnation of an upstream without a notice.
func (y *Relay) isDropped(host Host) bool {
	return y.spec.IsMissing != nil && y.spec.IsMissing(host.Name) || !y.isListed(host.Name, host.IncarnationStart)
}

// recordSilentAttempt records an attempt that was given up after its upstream had sent nothing for a
// while, if the list drops the upstream soon: its VM may have lost power under the request. No
// connection shows that.
func (y *Relay) recordSilentAttempt(x *exchange, host Host, partial partialAnswer) {
	now := y.spec.Clock.Now()
	silence := now - max(x.sentAt, partial.lastEventAt)
	if silence < minSilence || y.spec.IsMissing == nil || y.spec.IsLeaving != nil && y.spec.IsLeaving(host.Name) && !y.isDropped(host) {
		return
	}
	if y.endChecks.silent.Add(1) > maxSilentChecks {
		y.endChecks.silent.Add(-1)
		y.spec.Metrics.Counter("relay.unchecked").Inc(1)
		return
	}
	crash := y.crashOf(x, host, partial, now-silence)
	go func() {
		defer y.endChecks.silent.Add(-1)
		for until := now + endCheckTimeout; y.spec.Clock.Now() < until; y.spec.Clock.Sleep(context.Background(), endCheckInterval) {
			if !y.isDropped(host) {
				continue
			}
			seen := y.spec.Clock.Now()
			crash.Delay = seen - (now - silence)
			y.spec.Log.Info("an upstream under which an attempt was silent is gone", mglog.Request, crash.Request,
				mglog.Upstream, host.Name, "digest", crash.Digest.String(), "silence", int64(silence), "ms", int64(seen-now))
			y.recordCrash(seen, crash)
			return
		}
	}()
}
