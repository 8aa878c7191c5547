package mgstandin_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgdial"
	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// get reads a value as a line: status, version and body, or "broken".
func get(ctx context.Context, base, path string) string {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/values/"+path, nil)
	if err != nil {
		return err.Error()
	}
	response, err := mgdial.Do(mgdial.NewClient(), r)
	if err != nil {
		return "broken"
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "broken"
	}
	line := fmt.Sprint(response.StatusCode, " ", response.Header.Get(mgstandin.VersionHeader), " ", string(body))
	return strings.TrimSpace(line)
}

// An operator publishes a new table while the platform fails. A process that
// reads then gets the old table, the new one or an error, and never an older
// one than it had; once the platform is well, it gets the new one.
func TestPlatformFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault string
		key   string
		lag   mgclock.Millis
		rate  int
		reads []string // one before the edit, one after, one after healing
	}{
		{
			name:  "nothing fails",
			key:   "table",
			reads: []string{"200 1 old", "200 2 new", "200 2 new"},
		},
		{
			name:  "it is stale",
			fault: mgstandin.Stale,
			key:   "table",
			reads: []string{"200 1 old", "200 1 old", "200 2 new"},
		},
		{
			name:  "it is down",
			fault: mgstandin.Down,
			key:   "table",
			reads: []string{"broken", "broken", "200 2 new"},
		},
		{
			name:  "the list of VMs lags",
			key:   mgstandin.ListKey,
			lag:   100,
			reads: []string{"200 1 old", "200 1 old", "200 1 old"},
		},
		{
			name: "readers are over the rate",
			key:  "table",
			rate: 1,
			reads: []string{
				"200 1 old",
				`429  {"kind":"rate","detail":"too many reads a second; read less often"}`,
				`429  {"kind":"rate","detail":"too many reads a second; read less often"}`,
			},
		},
	}
	Convey("A reader's view of an edit when", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var manual mgclock.Manual
				p := mgstandin.NewPlatform(mgstandin.PlatformSpec{
					Lag:  c.lag,
					Rate: c.rate,
				}, manual.Clock())
				base := serve(p.Handler())
				ctx := bounded()
				p.Put(c.key, []byte("old"))
				manual.Advance(c.lag)
				p.Set(mgstandin.Fault{
					Kind: c.fault,
				})
				reads := []string{get(ctx, base, c.key)}
				p.Put(c.key, []byte("new"))
				reads = append(reads, get(ctx, base, c.key))
				p.Set(mgstandin.Fault{
					Kind: mgstandin.Heal,
				})
				reads = append(reads, get(ctx, base, c.key))
				So(reads, ShouldResemble, c.reads)
				So(p.Counts().Reads, ShouldEqual, 3)
				manual.Advance(c.lag)
				if c.lag > 0 {
					So(get(ctx, base, c.key), ShouldEqual, "200 2 new")
				}
			})
		}
	})
}

// TestPlatformSession plays the whole interface once.
func TestPlatformSession(t *testing.T) {
	Convey("A session with the platform", t, func() {
		ctx := bounded()
		p := &mgstandin.Platform{}
		base := serve(p.Handler())
		var log strings.Builder
		say := func(path string) { fmt.Fprintln(&log, path, "->", get(ctx, base, path)) }
		say("manifest")
		p.Put("manifest", []byte("first"))
		p.Put("pages/0badc0de", []byte("a page"))
		say("manifest")
		say("pages/0badc0de")
		say("manifest?after=1&wait=5")
		seen := make(chan string, 1)
		go func() { seen <- get(ctx, base, "manifest?after=1&wait=60000") }()
		response, err := http.Post(base+"/standin/put?key=manifest", "text/plain", strings.NewReader("second"))
		So(err, ShouldBeNil)
		So(response.Body.Close(), ShouldBeNil)
		http.DefaultClient.CloseIdleConnections()
		fmt.Fprintln(&log, "put", response.StatusCode, response.Header.Get(mgstandin.VersionHeader))
		fmt.Fprintln(&log, "watch ->", <-seen)
		_, err = p.PutVMs([]mgstandin.VM{
			{
				Name:   "agent-1",
				Kind:   "agent",
				Addr:   "127.0.0.1:7201",
				Zone:   "a",
				Region: "south",
				State:  "leaving",
			},
		})
		So(err, ShouldBeNil)
		say("vms")
		counts := p.Counts()
		fmt.Fprintln(&log, "reads", counts.Reads, "refused", counts.Refused)
		golden(t, "platform.golden", log.String())
	})
}
