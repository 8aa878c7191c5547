package mgsoak

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Guards against engines of a cordoned zone starting generations unnoticed. The
// answers are whole, so that a check of answers alone finds nothing.
func TestCordonBreachMissedOrFalselyReported(t *testing.T) {
	check := cordonCheck{
		zone:         "a",
		startedCount: 1,
		start:        10_000,
		end:          14_000,
	}
	for _, c := range []struct {
		name  string
		begun int
		other Fault
		from  mgclock.Millis // start of the other fault, which lasts one second
		found int
	}{
		{
			name:  "nothing began",
			found: 0,
		},
		{
			name:  "work began and nothing else failed",
			begun: 1,
			found: 1,
		},
		{
			name:  "work began during a fault that hides no platform update",
			begun: 1,
			other: Fault{
				Kind:   BlockLink,
				Target: "engine-1",
			},
			from:  11_000,
			found: 1,
		},
		{
			name:  "work began while the path to the platform failed",
			begun: 1,
			other: Fault{
				Kind:   BlockLink,
				Target: platform,
			},
			from: 9_000,
		},
		{
			name:  "work began just after a process was paused",
			begun: 1,
			other: Fault{
				Kind:   PauseProcess,
				Target: "entry-1",
			},
			from: 8_000,
		},
		{
			name:  "work began long after a process was paused",
			begun: 1,
			other: Fault{
				Kind:   PauseProcess,
				Target: "entry-1",
			},
			from:  1_000,
			found: 1,
		},
	} {
		Convey("A cordon where "+c.name, t, func() {
			check.startedCount = c.begun
			r := run{
				cordonChecks: []cordonCheck{check},
			}
			if c.other != (Fault{}) {
				r.faultIntervals = append(r.faultIntervals, faultInterval{
					fault: c.other,
					start: c.from,
					end:   c.from + mgclock.Second,
				})
			}
			So(len(r.checkCordons()), ShouldEqual, c.found)
		})
	}
}

// Guards against a prompt that crashes more engines than allowed and isn't reported.
// More crashes are allowed for each entry that failed and may not have received the
// record of the prompt.
func TestPromptCrashesMissedOrFalselyReported(t *testing.T) {
	for _, c := range []struct {
		name    string
		crashes int
		entries int // faults that hit entries
		found   int
	}{
		{
			name:    "three engines ended, and one that had started again at once",
			crashes: 4,
		},
		{
			name:    "five ended and no entry failed",
			crashes: 5,
			found:   1,
		},
		{
			name:    "five ended and an entry was killed",
			crashes: 5,
			entries: 1,
		},
		{
			name:    "eleven ended and two entries were killed",
			crashes: 11,
			entries: 2,
			found:   1,
		},
	} {
		Convey(c.name, t, func() {
			r := &run{
				faultIntervals: []faultInterval{
					{
						fault: Fault{
							Kind: CrashPrompt,
						},
						start: 4_000,
						end:   8_000,
					},
					{
						fault: Fault{
							Kind:   KillProcess,
							Target: "entry-2",
						},
						start: 100,
						end:   200,
					},
				},
			}
			r.evidence.crashes = c.crashes
			for range c.entries {
				r.faultIntervals = append(r.faultIntervals, faultInterval{
					fault: Fault{
						Kind:   KillProcess,
						Target: "entry-1",
					},
					start: 2_000,
					end:   2_100,
				})
			}
			So(len(r.checkPromptCrashes()), ShouldEqual, c.found)
		})
	}
}

// Guards against a check of prompts with a part that crashes engines that finds nothing, or too much.
func TestPartCrashesMissedOrFalselyReported(t *testing.T) {
	for _, c := range []struct {
		name    string
		crashes int
		entries int // faults that hit entries
		held    int // of 20 sound prompts
		found   int
	}{
		{
			name:    "eight engines ended",
			crashes: 8,
		},
		{
			name:    "nine ended and no entry failed",
			crashes: 9,
			found:   1,
		},
		{
			name:    "nine ended and an entry was killed",
			crashes: 9,
			entries: 1,
		},
		{
			name:  "one sound prompt was held",
			held:  1,
			found: 0,
		},
		{
			name:  "two sound prompts were held",
			held:  2,
			found: 1,
		},
	} {
		Convey(c.name, t, func() {
			r := &run{
				faultIntervals: []faultInterval{{
					fault: Fault{
						Kind: CrashPart,
					},
					start: 4_000,
					end:   8_000,
				}},
			}
			r.evidence.partCrashes = c.crashes
			r.evidence.parts = partPrompts{
				sound: 20,
				held:  c.held,
			}
			for range c.entries {
				r.faultIntervals = append(r.faultIntervals, faultInterval{
					fault: Fault{
						Kind:   KillProcess,
						Target: "entry-1",
					},
					start: 2_000,
					end:   2_100,
				})
			}
			So(len(r.checkPartCrashes()), ShouldEqual, c.found)
		})
	}
}

// Guards against a check of prompts that crash engines late that finds nothing, or too much.
func TestLateCrashesMissedOrFalselyReported(t *testing.T) {
	for _, c := range []struct {
		name    string
		crashes int
		kills   int // of one entry
		held    int // of 40 hot prompts
		found   int
	}{
		{
			name:    "six engines ended, with a loss of all entries",
			crashes: 6,
		},
		{
			name:    "seven ended",
			crashes: 7,
			found:   1,
		},
		{
			name:    "seven ended and an entry was killed by itself",
			crashes: 7,
			kills:   1,
		},
		{
			name: "two hot prompts were held",
			held: 2,
		},
		{
			name:  "three were held",
			held:  3,
			found: 1,
		},
	} {
		Convey(c.name, t, func() {
			r := &run{
				faultIntervals: []faultInterval{{
					fault: Fault{
						Kind: LoseEntries,
					},
				}},
			}
			for range c.kills {
				r.faultIntervals = append(r.faultIntervals, faultInterval{
					fault: Fault{
						Kind:   KillProcess,
						Target: "entry-1",
					},
				})
			}
			r.evidence.lateCrashes = c.crashes
			r.evidence.hot = partPrompts{
				sound: 40,
				held:  c.held,
			}
			So(len(r.checkLateCrashes()), ShouldEqual, c.found)
		})
	}
}
