package mgrelay_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgorigin"
)

// errCutOff is the error of a call to or from a process that is cut off.
var errCutOff = errors.New("no route to the process")

// lateEntry is the entry that is out of step in a release.
const lateEntry = "late"

// release is a release of an engine's software: upstream a runs v1, and b, which joins, v1.1. A stream begins at b,
// where it breaks off after three events.
type release struct {
	*harness
	replicators map[string]*mgorigin.Replicator
	addresses   map[string]string // of the entries
	isCutOff    atomic.Bool       // the late entry, from the others
	isStill     atomic.Bool       // it stands still: calls to it last, instead of failing
	isListOld   atomic.Bool       // its list is that of before the release
}

// newRelease starts three entries.
func newRelease(t *testing.T) *release {
	e := &release{
		harness: newHarness(t, streamEvents("v1", 6), func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Last-Event-Id") == "" {
				breakOffAfter("v1.1", 3)(w, r)
			}
			streamEvents("v1.1", 6)(w, r)
		}),
		replicators: map[string]*mgorigin.Replicator{},
		addresses:   map[string]string{},
	}
	e.setVersions("v1", "v1.1")
	names := []string{"first", "second", lateEntry}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, name := range names {
		peers := make([]mgorigin.Peer, 0, len(names))
		for _, other := range names {
			if other != name {
				peers = append(peers, mgorigin.Peer{
					Name: other,
					Zone: other,
				})
			}
		}
		e.replicators[name] = mgorigin.NewReplicator(mgorigin.ReplicatorSpec{
			Name:    name,
			Zone:    name,
			Peers:   func() []mgorigin.Peer { return peers },
			Changed: func() <-chan struct{} { return nil },
			Call: func(ctx context.Context, peer string, message mgorigin.Message) (mgorigin.Reply, error) {
				return e.call(ctx, name, peer, message)
			},
		})
	}
	for _, name := range names {
		go e.replicators[name].Run(ctx)
		e.startRelay(func(spec *mgrelay.Spec) {
			spec.Headers.Software = "" // upstreams don't state it
			spec.Origins = e.replicators[name]
			spec.Upstreams = func(string) []mgrelay.Host {
				if name == lateEntry && e.isListOld.Load() {
					return e.hosts[:1]
				}
				return e.hosts[1:]
			}
		})
		e.addresses[name] = e.addr
	}
	return e
}

// call passes a message on between two entries.
func (e *release) call(ctx context.Context, from, to string, message mgorigin.Message) (mgorigin.Reply, error) {
	const callTimeout = 300 * time.Millisecond
	switch {
	case from != lateEntry && to != lateEntry:
	case e.isStill.Load():
		select {
		case <-ctx.Done():
		case <-time.After(callTimeout):
		}
		return mgorigin.Reply{}, errCutOff
	case e.isCutOff.Load():
		return mgorigin.Reply{}, errCutOff
	}
	return e.replicators[to].Handle("incarnation of "+to, message), nil
}

// sendTo sends a request to an entry.
func (e *release) sendTo(entry, id, resumes string) callerReply {
	e.addr = e.addresses[entry]
	header := http.Header{"Request-Id": {id}}
	if resumes != "" {
		header = resumeHeader(id, resumes)
	}
	return e.send(context.Background(), http.MethodPost, "/note/1", "x", header)
}

// Guards against a stream of a new software version that breaks off, is resumed at an entry which was out of step
// when its engine joined, and goes on at another version, or never again.
func TestEntryOutOfStepJoinsVersions(t *testing.T) {
	states := []struct {
		name      string
		isCutOff  bool
		isStill   bool
		isListOld bool
	}{
		{
			name:      "is cut off",
			isCutOff:  true,
			isListOld: true,
		},
		{
			name:      "stands still",
			isStill:   true,
			isListOld: true,
		},
		{
			name:      "is back, with its list of before",
			isListOld: true,
		},
		{
			name:     "has the new list, and is still cut off",
			isCutOff: true,
		},
		{
			name: "is in step",
		},
	}
	for _, begun := range states {
		for _, resumed := range states {
			Convey(fmt.Sprintf("A stream that begins while an entry %s, and is resumed there when it %s", begun.name, resumed.name), t, func() {
				e := newRelease(t)
				e.isCutOff.Store(begun.isCutOff)
				e.isStill.Store(begun.isStill)
				e.isListOld.Store(begun.isListOld)
				first := e.sendTo("first", "request-1", "")
				So(first.cut, ShouldBeTrue)
				So(writers(first.body), ShouldResemble, []string{"v1.1"})

				e.isCutOff.Store(resumed.isCutOff)
				e.isStill.Store(resumed.isStill)
				e.isListOld.Store(resumed.isListOld)
				got := e.sendTo(lateEntry, "request-2", "request-1")
				if got.status == http.StatusOK {
					So(first.body+got.body, ShouldEqual, wholeStreamOf("v1.1"))
				} else {
					So(got.status, ShouldEqual, http.StatusServiceUnavailable)
					So(got.body, ShouldContainSubstring, `"notrun"`)
				}
				isInStep := !resumed.isCutOff && !resumed.isStill && !resumed.isListOld
				So(got.status == http.StatusOK || !isInStep, ShouldBeTrue)
				So(slices.ContainsFunc(e.requests(), func(r receivedRequest) bool { return r.upstream == firstUpstream }), ShouldBeFalse)

				e.isCutOff.Store(false)
				e.isStill.Store(false)
				e.isListOld.Store(false)
				again := e.sendTo(lateEntry, "request-3", "request-1")
				So(again.status, ShouldEqual, http.StatusOK)
				So(first.body+again.body, ShouldEqual, wholeStreamOf("v1.1"))
			})
		}
	}
}
