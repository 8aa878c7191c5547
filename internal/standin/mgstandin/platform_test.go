package mgstandin_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgdial"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// readValue reads a value and formats its version and bytes, or the error, as a line.
func readValue(ctx context.Context, base, key string) string {
	return formatValue(mgplatform.NewHTTP(base, mgdial.NewClient()).Read(ctx, key))
}

func formatValue(v mgplatform.Value, err error) string {
	for _, known := range []error{mgplatform.ErrMissing, mgplatform.ErrUnchanged, mgplatform.ErrRateLimited, mgplatform.ErrUnavailable} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return fmt.Sprint(v.Version(), " ", string(v.Bytes()))
}

// Guards against a reader that gets an older version than before while the platform
// fails during an edit, or that doesn't get the new version after healing.
func TestFaultyPlatformServesWrongVersion(t *testing.T) {
	down := mgplatform.ErrUnavailable.Error()
	cases := []struct {
		name  string
		fault string
		spare string
		key   string
		lag   mgclock.Millis
		rate  int
		reads []string // one before the edit, one after, one after healing
	}{
		{
			name:  "nothing fails",
			key:   "table",
			reads: []string{"1 old", "2 new", "2 new"},
		},
		{
			name:  "it is stale",
			fault: mgstandin.Stale,
			key:   "table",
			reads: []string{"1 old", "1 old", "2 new"},
		},
		{
			name:  "it is down",
			fault: mgstandin.Down,
			key:   "table",
			reads: []string{down, down, "2 new"},
		},
		{
			name:  "it is down but for this key",
			fault: mgstandin.Down,
			spare: "table",
			key:   "table",
			reads: []string{"1 old", "2 new", "2 new"},
		},
		{
			name:  "the list of VMs lags",
			key:   mgplatform.ListKey,
			lag:   100,
			reads: []string{"1 old", "1 old", "1 old"},
		},
		{
			name: "readers are over the rate",
			key:  "table",
			rate: 1,
			reads: []string{
				"1 old",
				mgplatform.ErrRateLimited.Error(),
				mgplatform.ErrRateLimited.Error(),
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
				ctx := testContext()
				p.Put(c.key, []byte("old"))
				manual.Advance(c.lag)
				p.Set(mgstandin.Fault{
					Kind:      c.fault,
					ExemptKey: c.spare,
				})
				reads := []string{readValue(ctx, base, c.key)}
				p.Put(c.key, []byte("new"))
				reads = append(reads, readValue(ctx, base, c.key))
				p.Set(mgstandin.Fault{
					Kind: mgstandin.Heal,
				})
				reads = append(reads, readValue(ctx, base, c.key))
				So(reads, ShouldResemble, c.reads)
				So(p.Counts().Reads, ShouldEqual, 3)
				manual.Advance(c.lag)
				if c.lag > 0 {
					So(readValue(ctx, base, c.key), ShouldEqual, "2 new")
				}
			})
		}
	})
}

// Guards against unintended changes of the platform's interface: compares one session
// with a golden file.
func TestPlatformInterfaceChanges(t *testing.T) {
	Convey("A session with the platform", t, func() {
		ctx := testContext()
		p := &mgstandin.Platform{}
		base := serve(p.Handler())
		client := mgplatform.NewHTTP(base, mgdial.NewClient())
		var log strings.Builder
		logCall := func(key string) { fmt.Fprintln(&log, key, "->", readValue(ctx, base, key)) }
		logCall("manifest")
		p.Put("manifest", []byte("first"))
		p.Put("page-0badc0de", []byte("a page"))
		logCall("manifest")
		logCall("page-0badc0de")
		fmt.Fprintln(&log, "quiet watch ->", formatValue(client.Watch(ctx, "manifest", 1, 5)))
		seen := make(chan string, 1)
		go func() { seen <- formatValue(client.Watch(ctx, "manifest", 1, mgclock.Minute)) }()
		response, err := http.Post(base+"/standin/put?key=manifest", "text/plain", strings.NewReader("second"))
		So(err, ShouldBeNil)
		So(response.Body.Close(), ShouldBeNil)
		http.DefaultClient.CloseIdleConnections()
		fmt.Fprintln(&log, "put", response.StatusCode, response.Header.Get(mgstandin.VersionHeader))
		fmt.Fprintln(&log, "watch ->", <-seen)
		_, err = p.PutVMs([]mgplatform.VM{
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
		logCall("vms")
		counts := p.Counts()
		fmt.Fprintln(&log, "reads", counts.Reads, "refused", counts.Refused)
		golden(t, "platform.golden", log.String())
	})
}

// Guards against a manifest that names pages which aren't published yet: its readers
// would be left without a configuration.
func TestManifestIsPublishedWithoutItsPages(t *testing.T) {
	Convey("A table is published pages first, and a faulty one not at all", t, func() {
		ctx := testContext()
		p := &mgstandin.Platform{}
		base := serve(p.Handler())
		text, err := os.ReadFile("../../../examples/tankline/table.toml")
		So(err, ShouldBeNil)
		So(p.PutTable([]byte("version = x")), ShouldNotBeNil)
		So(readValue(ctx, base, mgplatform.ManifestKey), ShouldEqual, mgplatform.ErrMissing.Error())
		So(p.PutTable(text), ShouldBeNil)
		client := mgplatform.NewHTTP(base, mgdial.NewClient())
		value, err := client.Read(ctx, mgplatform.ManifestKey)
		So(err, ShouldBeNil)
		manifest, err := mgtable.ReadManifest(value.Bytes())
		So(err, ShouldBeNil)
		for _, digest := range manifest.Pages {
			page, err := client.Read(ctx, mgplatform.PageKey(digest))
			So(err, ShouldBeNil)
			So(mgtable.DigestOf(page.Bytes()).String(), ShouldEqual, digest)
		}
	})
}
