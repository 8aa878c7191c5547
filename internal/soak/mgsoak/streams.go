package mgsoak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/soak/mgproc"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// streamUpstreams is the number of upstreams that stream events, of which the first
	// oldStreamUpstreams run the old software version. Two of these are upgraded during a
	// run, so that each version always has at least two.
	streamUpstreams    = 6
	oldStreamUpstreams = 4
	oldVersion         = "v1"
	newVersion         = "v1.1"
	// streamHost is the host of the route to these upstreams, streamService their service.
	streamHost    = "streams.example"
	streamService = "events"
	// closingShare is the share of the upstreams' answers that have neither length nor chunks and
	// end with their connection, breakingShare the share of those that break off inside an event.
	closingShare  = 0.4
	breakingShare = 0.15
	// streamInterval is the time between two events of a stream.
	streamInterval  = 20 * mgclock.Millis(1)
	minStreamEvents = 20
	maxStreamEvents = 150
	// meanDisconnect is the mean number of events after which a reader closes its connection,
	// to resume the stream at another entry.
	meanDisconnect = 60.0
	// maxStreamTries is the number of requests that a reader sends for a stream.
	maxStreamTries = 12
	// streamRetryDelay is the time between two of these.
	streamRetryDelay = 100 * mgclock.Millis(1)
	// streamTimeout is the time for one of these.
	streamTimeout = 20 * mgclock.Second
	// minResumed is the number of streams taken up again from which their share is checked.
	minResumed = 12
	// minResumedShare is the least part of these that go on, as a part of the share of new
	// streams that begin.
	minResumedShare = 0.95
)

// streamTable is the part of the operators' table that leads to the streams.
const streamTable = `
[[service]]
name = "events"
kind = "plain"

[[route]]
name = "streams"
host = "streams.example"
prefix = "/"
kind = "stream"
resume = "yes"
services = ["events"]
attempts = 2
timeout = 20000
`

// streamUpstream is an upstream that streams events.
type streamUpstream struct {
	name    string
	addr    string
	version string
	state   string
	start   int64 // of its incarnation, Unix ms
}

func (d *deployment) startStreams() error {
	for i := range streamUpstreams {
		addrs, err := mgproc.FreeAddrs(1)
		if err != nil {
			return err
		}
		u := &streamUpstream{
			name:    fmt.Sprintf("stream-%d", i+1),
			addr:    addrs[0],
			version: oldVersion,
			state:   mgplatform.Live,
			start:   mgclock.UnixMillis(),
		}
		if i >= oldStreamUpstreams {
			u.version = newVersion
		}
		d.streams = append(d.streams, u)
		if err := d.start(u.name, u.settings(), "standin", "events"); err != nil {
			return err
		}
	}
	return nil
}

func (u *streamUpstream) settings() string {
	return fmt.Sprintf("listen = %q\nname = %q\nsoftware = %q\ninterval = %d\ncloses = %g\nbreaks = %g\n",
		u.addr, u.name, u.version, streamInterval, closingShare, breakingShare)
}

// vm returns the row of the list of VMs.
func (u *streamUpstream) vm(i int) mgplatform.VM {
	return mgplatform.VM{
		Name:             u.name,
		Kind:             mgplatform.UpstreamKind,
		Addr:             u.addr,
		Zone:             zone(i),
		Region:           "south",
		Upstream:         u.name,
		Services:         []string{streamService},
		State:            u.state,
		IncarnationStart: u.start,
		SoftwareVersion:  u.version,
	}
}

// upgrade restarts an upstream under its name with the new version. It leaves first, unless the
// variant is abrupt.
func (r *run) upgrade(ctx context.Context, f Fault) error {
	r.platformMu.Lock()
	defer r.platformMu.Unlock()
	d := r.deployment
	at := slices.IndexFunc(d.streams, func(u *streamUpstream) bool { return u.name == f.Target })
	u := d.streams[at]
	if f.Variant != abruptUpgrade {
		u.state = mgplatform.Leaving
		if err := d.publishList(); err != nil {
			return err
		}
		r.sleep(ctx, f.Duration)
	}
	u.version, u.state, u.start = newVersion, mgplatform.Live, mgclock.UnixMillis()
	if err := d.writeSettings(u.name, u.settings()); err != nil {
		return err
	}
	if err := d.processes[u.name].Restart(); err != nil {
		return err
	}
	return d.publishList()
}

// readStream is a stream as its caller received it, over all its tries.
type readStream struct {
	caller     string
	total      int
	last       int      // id of the last event
	versions   []string // that wrote its events, each once
	fault      string   // first event that isn't the next one of this caller's stream
	endedEarly string   // the request whose answer lacks the last events and was whole by its framing
	refusal    string   // the last answer without events
	requests   []streamRequest
}

// streamRequest is a time at which a caller asked for a stream, or for its rest, until it got
// events or gave up.
type streamRequest struct {
	resumes     bool           // the caller had events
	answered    bool           // by an entry
	served      bool           // with events
	servedFirst bool           // by the first try
	funnelled   bool           // the first try went to the entry that most went to
	began       mgclock.Millis // when the caller first asked for the stream
	ended       mgclock.Millis // when it got events, or gave up
}

// runReader reads streams one after another until ctx ends. It sends each request on a new
// connection, and resumes a stream that broke off at the next entry.
func (r *run) runReader(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(r.seed, uint64(number)+0x7265616400))
	for n := 0; ctx.Err() == nil; n++ {
		s := &readStream{
			caller: fmt.Sprintf("reader-%d-%d", number, n),
			total:  minStreamEvents + rng.IntN(maxStreamEvents-minStreamEvents),
		}
		r.read(s, number+n, rng)
		r.mu.Lock()
		r.evidence.streams = append(r.evidence.streams, s)
		r.mu.Unlock()
	}
}

// read reads a stream, from one entry after another.
func (r *run) read(s *readStream, entry int, rng *rand.Rand) {
	began, tries, first := r.now(), 0, ""
	for goesOn := true; goesOn && s.last < s.total && s.fault == ""; {
		request := streamRequest{
			resumes: s.last > 0,
			began:   began,
		}
		for try := 0; !request.served && try < maxStreamTries; try++ {
			id := fmt.Sprintf("%s-%d", s.caller, tries)
			if !request.resumes {
				first = id
			}
			at, funnelled := r.entryFor(entry+tries, try, rng)
			answered, served := r.readOnce(s, r.deployment.entries[at], id, first, 1+int(rng.ExpFloat64()*meanDisconnect))
			request.answered = request.answered || answered
			request.served = served
			if try == 0 {
				request.funnelled, request.servedFirst = funnelled, served
			}
			request.ended = r.now()
			tries++
			if !served {
				r.clock.Sleep(context.Background(), streamRetryDelay)
			}
		}
		s.requests = append(s.requests, request)
		goesOn = request.served
	}
}

// readOnce sends one request for the rest of a stream, and disconnects after limit events. It
// reports whether an entry answered it, and whether it brought events.
func (r *run) readOnce(s *readStream, base, id, first string, limit int) (answered, served bool) {
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("%s/%s/%d", base, s.caller, s.total), nil)
	if err != nil {
		return false, false
	}
	request.Host = streamHost
	request.Header.Set("Authorization", "Bearer "+firstKey)
	request.Header.Set("Request-Id", id)
	if s.last > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
		request.Header.Set("Continues", first)
	}
	response, err := unpooledClient.Do(request)
	if err != nil {
		return false, false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body) // for the finding only
		s.refusal = string(text)
		return true, false
	}
	before := s.last
	s.readEvents(bufio.NewScanner(response.Body), id, before+limit)
	return true, s.last > before
}

// readEvents reads the events of the answer to a request, up to the one with the id limit.
func (s *readStream) readEvents(lines *bufio.Scanner, request string, limit int) {
	for s.fault == "" && s.last < limit && lines.Scan() {
		s.add(lines.Text())
	}
	if s.fault == "" && s.last < limit && s.last < s.total && lines.Err() == nil {
		s.endedEarly = request
		return
	}
	if s.last == limit && s.fault == "" {
		_ = lines.Scan() // the data of the last event
		s.add(lines.Text())
	}
}

// add adds a line of a stream.
func (s *readStream) add(line string) {
	if text, ok := strings.CutPrefix(line, "id: "); ok {
		if n, err := strconv.Atoi(text); err != nil || n != s.last+1 {
			s.fault = fmt.Sprintf("event %q after event %d", text, s.last)
			return
		}
		s.last++
	}
	if text, ok := strings.CutPrefix(line, "data: "); ok {
		caller, version, _ := strings.Cut(text, " ")
		if caller != s.caller {
			s.fault = "an event of " + caller
		}
		if !slices.Contains(s.versions, version) {
			s.versions = append(s.versions, version)
		}
	}
}

// check returns a finding for each event that doesn't belong to the stream.
func (s *readStream) check() []Finding {
	var found []Finding
	if s.fault != "" {
		found = append(found, newFinding(oneGeneration, "stream of %s: %s", s.caller, s.fault))
	}
	if s.endedEarly != "" {
		found = append(found, newFinding(brokenIsVisible, "the answer to %s ended as whole before event %d", s.endedEarly, s.total))
	}
	if len(s.versions) > 1 {
		found = append(found, newFinding(oneSoftwareVersion, "stream of %s: events of %v", s.caller, s.versions))
	}
	return found
}

// checkStreams finds streams with events that are missing, repeated, another caller's or written
// by several versions, and compares how often streams are resumed with how often they begin.
func (r *run) checkStreams() []Finding {
	var found []Finding
	asked, served := map[bool]int{}, map[bool]int{}
	refusal := ""
	for _, s := range r.evidence.streams {
		found = append(found, s.check()...)
		for _, request := range s.requests {
			if !request.answered || r.allEntriesFailed(request.began, request.ended) {
				continue
			}
			asked[request.resumes]++
			if request.served {
				served[request.resumes]++
			} else {
				refusal = s.refusal
			}
		}
	}
	if asked[true] < minResumed || asked[false] == 0 {
		return found
	}
	begin := float64(served[false]) / float64(asked[false])
	goOn := float64(served[true]) / float64(asked[true])
	if goOn < minResumedShare*begin {
		found = append(found, newFinding(streamsResume, "%d of %d streams that were taken up again go on, %d of %d new ones begin, the last refusal: %s",
			served[true], asked[true], served[false], asked[false], refusal))
	}
	return found
}

// recordDelay is the time in which an entry that has restarted receives the others' records of
// streams again.
const recordDelay = 3 * mgclock.Second

// allEntriesFailed reports whether there was a moment in a time at which each entry had just
// ended or didn't run, so that none was left that had a record of a stream.
func (r *run) allEntriesFailed(from, to mgclock.Millis) bool {
	ends := []Kind{KillProcess, StopProcess, PauseProcess}
	hasFailed := func(entry string, at mgclock.Millis) bool {
		return slices.ContainsFunc(r.faultIntervals, func(s faultInterval) bool {
			hit := s.fault.Kind == LoseEntries || s.fault.Target == entry && slices.Contains(ends, s.fault.Kind)
			return hit && s.start <= at && at <= s.end+recordDelay
		})
	}
	return slices.ContainsFunc(r.faultIntervals, func(s faultInterval) bool {
		at := max(s.start, from)
		return at <= to && !slices.ContainsFunc(r.deployment.names.entries, func(entry string) bool { return !hasFailed(entry, at) })
	})
}
