package mgentry_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// mint returns a new operation, or "" if minting fails.
func (c *caller) mint(entry string) string {
	response, err := c.do(entry, http.MethodPost, "/v1/services/ticket/operations", "", nil)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	var in struct {
		Operation string `json:"operation"`
	}
	_ = json.NewDecoder(response.Body).Decode(&in)
	return in.Operation
}

// write books a ticket under a key and returns the outcome reported to the caller.
func (c *caller) write(entry, key string) string {
	header := map[string]string{}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	response, err := c.do(entry, http.MethodPost, "/v1/services/ticket/tickets", "two barrels", header)
	if err != nil {
		return "no response"
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "no response"
	}
	var in struct {
		Kind    string `json:"kind"`
		Outcome string `json:"outcome"`
		Remedy  string `json:"remedy"`
	}
	_ = json.Unmarshal(body, &in)
	c.remedy = in.Remedy
	if in.Kind != "" {
		return in.Kind + "/" + in.Outcome
	}
	return response.Header.Get("Outcome")
}

// A write that runs twice books two barrels where one moved; a lost one books
// none. Each case makes a write under a fault and checks what the caller is told at
// each attempt, and how often the service ran the write.
func TestWrites(t *testing.T) {
	cases := []struct {
		name string
		play func(r *rig, c *caller) []string
		want string
		runs int
	}{
		{
			name: "nothing fails, and the caller repeats it through the other entry",
			play: func(_ *rig, c *caller) []string {
				id := c.mint("entry-1")
				return []string{c.write("entry-1", id), c.write("entry-2", id)}
			},
			want: "[done done]",
			runs: 1,
		},
		{
			name: "the service runs it and its answer is lost",
			play: func(r *rig, c *caller) []string {
				id := c.mint("entry-1")
				r.injectFault(mgstandin.Lost, 1)
				return []string{c.write("entry-1", id), c.write("entry-2", id)}
			},
			want: "[unconfirmed/unknown unconfirmed/unknown]",
			runs: 1,
		},
		{
			name: "the service is silent after the body was sent",
			play: func(r *rig, c *caller) []string {
				id := c.mint("entry-1")
				r.injectFault(mgstandin.Hang, 1)
				return []string{c.write("entry-1", id), c.write("entry-1", id)}
			},
			want: "[unconfirmed/unknown unconfirmed/unknown]",
			runs: 1,
		},
		{
			name: "the service breaks off before it read the body",
			play: func(r *rig, c *caller) []string {
				id := c.mint("entry-1")
				r.injectFault(mgstandin.Early, 1)
				return []string{c.write("entry-1", id), c.write("entry-1", id)}
			},
			want: "[unconfirmed/unknown unconfirmed/unknown]",
		},
		{
			name: "the service can't be reached",
			play: func(r *rig, c *caller) []string {
				id := c.mint("entry-1")
				r.Kill("books")
				reported := []string{c.write("entry-1", id)}
				r.Serve("books", r.books.Handler())
				return append(reported, c.write("entry-1", id), c.write("entry-1", c.mint("entry-1")))
			},
			want: "[crowded/notrun tombstone/notrun done]",
			runs: 1,
		},
		{
			name: "the agent is replaced between two tries",
			play: func(r *rig, c *caller) []string {
				id := c.mint("entry-1")
				reported := []string{c.write("entry-1", id)}
				r.agent("agent-books", "books")
				return append(reported, c.write("entry-1", id), c.write("entry-2", id))
			},
			want: "[done incarnation/unknown incarnation/unknown]",
			runs: 1,
		},
		{
			name: "the agent is replaced before the first try",
			play: func(r *rig, c *caller) []string {
				id := c.mint("entry-1")
				r.agent("agent-books", "books")
				return []string{c.write("entry-1", id)}
			},
			want: "[incarnation/unknown]",
		},
		{
			name: "the entry is killed while it runs",
			play: func(r *rig, c *caller) []string {
				id := c.mint("entry-1")
				r.slowService(mgclock.Second)
				r.after(100, func() { r.kill("entry-1") })
				return []string{c.write("entry-1", id), c.write("entry-2", id)}
			},
			want: "[no response done]",
			runs: 1,
		},
		{
			name: "two entries send it at once",
			play: func(r *rig, c *caller) []string {
				id := c.mint("entry-1")
				reported := make([]string, 2)
				var both sync.WaitGroup
				for i, entry := range []string{"entry-1", "entry-2"} {
					both.Go(func() { reported[i] = r.caller().write(entry, id) })
				}
				both.Wait()
				return reported
			},
			want: "[done done]",
			runs: 1,
		},
		{
			name: "the pooled connections to the agent have gone silent, twice",
			play: func(r *rig, c *caller) []string {
				var reported []string
				for range 2 {
					id := c.mint("entry-1")
					r.Silence("agent-books")
					before := r.clock.Now()
					reported = append(reported, c.write("entry-1", id))
					reported = append(reported, fmt.Sprint(r.clock.Now()-before <= maxSilence+beat))
				}
				return reported
			},
			want: "[done true done true]",
			runs: 2,
		},
		{
			name: "the connection goes silent after the call was sent",
			play: func(r *rig, c *caller) []string {
				id := c.mint("entry-1")
				r.slowService(mgclock.Second)
				r.after(100, func() { r.Silence("agent-books") })
				return []string{c.write("entry-1", id)}
			},
			want: "[done]",
			runs: 1,
		},
		{
			name: "a partition parts the entry from the agent, and heals",
			play: func(r *rig, c *caller) []string {
				id := c.mint("entry-1")
				r.Cut("entry-1", "agent-books")
				reported := []string{c.write("entry-1", id), c.write("entry-2", id)}
				r.Heal("entry-1", "agent-books")
				return append(reported, c.write("entry-1", id))
			},
			want: "[unconfirmed/unknown done done]",
			runs: 1,
		},
		{
			name: "a key of the caller's own",
			play: func(_ *rig, c *caller) []string {
				return []string{c.write("entry-1", "ticket-4711"), c.write("entry-2", "01890a5d-ac96-774b-bcce-b302099a8057")}
			},
			want: "[unpromisable/notrun unpromisable/notrun]",
		},
		{
			name: "no key, and the answer is lost",
			play: func(r *rig, c *caller) []string {
				r.injectFault(mgstandin.Lost, 1)
				reported := c.write("entry-1", "")
				return []string{reported, fmt.Sprint(strings.Contains(c.remedy, "mint an operation first"))}
			},
			want: "[unconfirmed/unknown true]",
			runs: 1,
		},
		{
			name: "no key",
			play: func(_ *rig, c *caller) []string { return []string{c.write("entry-1", "")} },
			want: "[done]",
			runs: 1,
		},
	}
	Convey("A write", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var reported string
				runs := 0
				play(t, 1, func(r *rig) {
					reported = fmt.Sprint(c.play(r, r.caller()))
					runs = r.books.Counts().Total
				})
				So(reported, ShouldEqual, c.want)
				So(runs, ShouldEqual, c.runs)
			})
		}
	})
}

const (
	writeCount  = 2000
	writerCount = 20
	maxTries    = 4 // of a caller that gets no definite outcome
)

// ledger records the outcomes that callers were told of their writes.
type ledger struct {
	mu       sync.Mutex
	outcomes map[string]string
}

// Under random faults (lost answers, hangs, replaced processes, silent connections,
// partitions), callers repeat writes through any entry until the outcome is known.
// None may run twice, none "not run" may have run, and each "done" has run.
func TestStormOfWrites(t *testing.T) {
	var l ledger
	var runs map[string]int
	play(t, 1, func(r *rig) {
		l.outcomes = map[string]string{}
		var callers sync.WaitGroup
		stop := make(chan struct{})
		var storming sync.WaitGroup
		storming.Go(func() { injectFaults(r, stop) })
		for i := range writerCount {
			callers.Go(func() { l.write(r, i) })
		}
		callers.Wait()
		close(stop)
		storming.Wait()
		runs = r.books.Counts().Runs
	})
	counts := map[string]int{}
	for id, reported := range l.outcomes {
		outcome := reported[strings.LastIndex(reported, "/")+1:]
		counts[outcome]++
		if runs[id] > 1 || outcome == "notrun" && runs[id] > 0 || outcome == "done" && runs[id] != 1 {
			t.Errorf("reported %s, ran %d times", reported, runs[id])
		}
	}
	total, twice := 0, 0
	for _, n := range runs {
		total += n
		if n > 1 {
			twice++
		}
	}
	t.Logf("%d writes: reported %v; %d runs, %d writes ran twice", len(l.outcomes), counts, total, twice)
	if len(l.outcomes) != writeCount {
		t.Errorf("%d writes have a reported outcome", len(l.outcomes))
	}
}

// write makes one caller's share of the writes.
func (l *ledger) write(r *rig, number int) {
	random := rand.New(rand.NewPCG(5, uint64(number)))
	c := r.caller()
	entries := []string{"entry-1", "entry-2"}
	for range writeCount / writerCount {
		id := ""
		for id == "" {
			id = c.mint(entries[random.IntN(2)])
			r.clock.Sleep(r.ctx, mgclock.Millis(random.IntN(200)))
		}
		reported := ""
		for range maxTries {
			reported = c.write(entries[random.IntN(2)], id)
			if reported == "done" || strings.HasSuffix(reported, "/notrun") {
				break
			}
			r.clock.Sleep(r.ctx, mgclock.Millis(random.IntN(500)))
		}
		l.mu.Lock()
		l.outcomes[id] = reported
		l.mu.Unlock()
	}
}

// injectFaults injects a random fault about every half second.
func injectFaults(r *rig, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(7, 7))
	faults := []func(){
		func() { r.injectFault(mgstandin.Lost, 3) },
		func() { r.injectFault(mgstandin.Hang, 2) },
		func() { r.injectFault(mgstandin.Early, 3) },
		func() { r.slowService(300) },
		func() { r.books.Set(mgstandin.Fault{Kind: mgstandin.Heal}) },
		func() { r.Silence("agent-books") },
		func() { r.Silence("books") },
		func() { r.Cut("entry-1", "agent-books") },
		func() { r.Heal("entry-1", "agent-books") },
		func() { r.agent("agent-books", "books") },
		func() { r.entry("entry-2") },
		func() { r.Kill("books") },
		func() { r.Serve("books", r.books.Handler()) },
		func() { r.Serve("books", r.books.Handler()) },
	}
	for {
		select {
		case <-stop:
			return
		default:
		}
		faults[random.IntN(len(faults))]()
		r.clock.Sleep(r.ctx, mgclock.Millis(200+random.IntN(600)))
	}
}
