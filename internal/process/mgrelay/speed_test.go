package mgrelay_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgspeed"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// goalTable is the table with a latency goal for streams.
var goalTable = strings.Replace(tableText, `prefix = "/write/"`, "prefix = \"/write/\"\ngoal = 1500", 1)

// Guards against requests to plain services, and to routes without a latency goal, that are
// measured as engines, and against engines that aren't.
func TestMeasuredStreams(t *testing.T) {
	cases := []struct {
		name     string
		table    string
		hasModel bool
		target   string
		want     int // samples of first events
	}{
		{
			name:     "a stream of a route with a goal to a service with known memory",
			table:    goalTable,
			hasModel: true,
			target:   "/write/1",
			want:     1,
		},
		{
			name:     "a stream of a route without a goal",
			table:    tableText,
			hasModel: true,
			target:   "/write/1",
		},
		{
			name:   "a stream to a service whose memory isn't known",
			table:  goalTable,
			target: "/write/1",
		},
		{
			name:     "a call",
			table:    goalTable,
			hasModel: true,
			target:   "/look/1",
		},
	}
	Convey("Engines are measured by", t, func() {
		for _, c := range cases {
			Convey(fmt.Sprintf("%s: %v", c.name, c.want > 0), func() {
				var learner mgspeed.Learner
				g := newHarness(t, answerWith("id: 1\n\nid: 2\n\n"))
				g.parseTable(c.table)
				if c.hasModel {
					g.configureModel(c.table)
				}
				g.startRelay(func(spec *mgrelay.Spec) { spec.Learner = &learner })
				got := g.send(context.Background(), http.MethodPost, c.target, "x", http.Header{
					"Tokens": {"1000,20"},
				})
				So(got.status, ShouldEqual, http.StatusOK)
				So(learner.Count(), ShouldEqual, c.want)
			})
		}
	})
}

// slowSpeeds says that an incarnation of an upstream is 1.8 times as slow as the others.
func slowSpeeds(upstream string, start int64) *mgspeed.Speeds {
	return mgspeed.NewSpeeds(mgspeed.Report{
		Speeds: []mgspeed.Speed{
			{
				Upstream: upstream,
				Start:    start,
				Level:    1.8,
				Base:     1.8,
				Read:     1.8,
			},
		},
	})
}

// Guards against a slow engine that gets requests as if it were as fast as the others, and
// against a restarted one that keeps the speed of its earlier incarnation.
func TestSlowEngineIsPreferred(t *testing.T) {
	cases := []struct {
		name   string
		speeds *mgspeed.Speeds
		want   []string // costs of places, in their order
	}{
		{
			name: "whose speeds aren't known: the less loaded one",
			want: []string{"a", "b"},
		},
		{
			name:   "of which the less loaded one is slow: the other one",
			speeds: slowSpeeds("a", 7),
			want:   []string{"b", "a"},
		},
		{
			name:   "of which the less loaded one was slow in an earlier incarnation: the less loaded one",
			speeds: slowSpeeds("a", 6),
			want:   []string{"a", "b"},
		},
	}
	Convey("Of two engines", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				table, err := mgtable.Parse([]byte(strings.Replace(tableText, `kind = "plain"`, "model = \"m\"", 1) +
					"\n[[model]]\nname = \"m\"\ncontext = 9000\nmax = 9000\n"))
				So(err, ShouldBeNil)
				relay := mgrelay.New(mgrelay.Spec{
					Load:   &mgload.Tracker{},
					Speeds: func() *mgspeed.Speeds { return c.speeds },
					Upstreams: func(string) []mgrelay.Host {
						return []mgrelay.Host{
							{
								Name:             "a",
								IncarnationStart: 7,
							},
							{
								Name:             "b",
								IncarnationStart: 7,
							},
						}
					},
				})
				places := relay.PlacementCandidates(table, "ledger", mgload.Report{
					Loads: map[string]mgload.Load{
						"a": {
							Runs:    3,
							Pending: 1000,
						},
						"b": {
							Runs:    4,
							Pending: 1000,
						},
					},
				})
				So(places, ShouldHaveLength, 2)
				const output = 744
				costs := map[string]float64{}
				for _, p := range places {
					costs[p.Name] = p.Cost + p.TokenCost*output
				}
				So(costs[c.want[0]], ShouldBeLessThan, costs[c.want[1]])
				if c.want[0] == "b" {
					So(places[0].Pending, ShouldEqual, 1800)
				} else {
					So(places[0].Pending, ShouldEqual, 1000)
				}
			})
		}
	})
}
