package mgsoak

import (
	"bufio"
	"cmp"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Guards against a check of streams that finds nothing in a broken one.
func TestBrokenStreamPasses(t *testing.T) {
	cases := []struct {
		name    string
		lines   []string
		promise string
	}{
		{
			name:  "a whole stream",
			lines: []string{"id: 1", "data: me v1", "id: 2", "data: me v1"},
		},
		{
			name:    "events of two versions",
			lines:   []string{"id: 1", "data: me v1", "id: 2", "data: me v1.1"},
			promise: oneSoftwareVersion,
		},
		{
			name:    "an event is missing",
			lines:   []string{"id: 1", "data: me v1", "id: 3", "data: me v1"},
			promise: oneGeneration,
		},
		{
			name:    "an event comes twice",
			lines:   []string{"id: 1", "data: me v1", "id: 1", "data: me v1"},
			promise: oneGeneration,
		},
		{
			name:    "an event of another caller",
			lines:   []string{"id: 1", "data: you v1"},
			promise: oneGeneration,
		},
	}
	Convey("The check of a stream", t, func() {
		for _, c := range cases {
			Convey("of "+c.name, func() {
				s := readStream{
					caller: "me",
				}
				for _, line := range c.lines {
					s.add(line)
				}
				found := s.check()
				So(len(found) > 0, ShouldEqual, c.promise != "")
				if len(found) > 0 {
					So(found[0].Promise, ShouldEqual, c.promise)
				}
			})
		}
	})
}

// Guards against a check of streams that takes a part for whole, or a whole one for a part.
func TestEarlyEndPasses(t *testing.T) {
	const events = "id: 1\ndata: me v1\n\nid: 2\ndata: me v1\n\n"
	cases := []struct {
		name       string
		text       string
		err        error // after the text
		limit      int
		endedEarly bool
	}{
		{
			name:  "a whole answer",
			text:  events + "id: 3\ndata: me v1\n\n",
			limit: 9,
		},
		{
			name:       "one that ends before its last event",
			text:       events,
			limit:      9,
			endedEarly: true,
		},
		{
			name:       "one that ends inside an event",
			text:       events + "id:",
			limit:      9,
			endedEarly: true,
		},
		{
			name:  "one whose connection breaks",
			text:  events,
			err:   io.ErrUnexpectedEOF,
			limit: 9,
		},
		{
			name:  "one that its reader has left",
			text:  events,
			limit: 2,
		},
	}
	Convey("The check of", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				s := readStream{
					caller: "me",
					total:  3,
				}
				body := io.MultiReader(strings.NewReader(c.text), iotest.ErrReader(cmp.Or(c.err, io.EOF)))
				s.readEvents(bufio.NewScanner(body), "request", c.limit)
				So(s.endedEarly != "", ShouldEqual, c.endedEarly)
				So(len(s.check()) > 0, ShouldEqual, c.endedEarly)
			})
		}
	})
}

// Guards against a check of resumed streams that finds nothing where most are refused.
func TestRefusedStreamsPass(t *testing.T) {
	// streams returns streams that began, of which a number is taken up again and goes on.
	streams := func(goOn int) []*readStream {
		var list []*readStream
		for i := range 20 {
			list = append(list, &readStream{
				requests: []streamRequest{
					{
						answered: true,
						served:   true,
						began:    0,
						ended:    10,
					},
					{
						resumes:  true,
						answered: true,
						served:   i < goOn,
						began:    0,
						ended:    10_000,
					},
				},
			})
		}
		return list
	}
	killed := func(entry string, at mgclock.Millis) faultInterval {
		return faultInterval{
			fault: Fault{
				Kind:   KillProcess,
				Target: entry,
			},
			start: at,
			end:   at,
		}
	}
	cases := []struct {
		name   string
		goOn   int
		faults []faultInterval
		found  int
	}{
		{
			name: "all go on",
			goOn: 20,
		},
		{
			name: "the least share goes on",
			goOn: 19,
		},
		{
			name:  "fewer go on",
			goOn:  18,
			found: 1,
		},
		{
			name:   "fewer go on, and one entry was killed",
			goOn:   18,
			faults: []faultInterval{killed("entry-1", 5_000)},
			found:  1,
		},
		{
			name:   "fewer go on, and the entries were killed one long after the other",
			goOn:   18,
			faults: []faultInterval{killed("entry-1", 1_000), killed("entry-2", 9_000)},
			found:  1,
		},
		{
			name:   "fewer go on, and all entries were killed together",
			goOn:   18,
			faults: []faultInterval{killed("entry-1", 5_000), killed("entry-2", 6_000)},
		},
	}
	Convey("The check of resumed streams, where", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				r := run{
					deployment: &deployment{
						names: Size{}.names(),
					},
					faultIntervals: c.faults,
				}
				r.evidence.streams = streams(c.goOn)
				So(len(r.checkStreams()), ShouldEqual, c.found)
			})
		}
	})
}
