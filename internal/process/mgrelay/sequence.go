package mgrelay

import (
	"fmt"
	"strconv"
)

// eventSequence tracks the ids of a stream's events. A generation that continues at
// another upstream may start too early, if that upstream ignores the last event id
// that it was sent, or too late, if its copy was taken at another moment. The caller
// must see neither.
type eventSequence struct {
	lastID         string // id of the last event that was delivered
	nextID         int64  // the expected id, if ids are consecutive whole numbers
	nonConsecutive bool   // ids are not consecutive whole numbers
}

// isConsecutive reports whether the ids of the events are consecutive whole numbers.
func (o *eventSequence) isConsecutive() bool { return !o.nonConsecutive && o.nextID != 0 }

// record records complete events of the first upstream.
func (o *eventSequence) record(events []byte) {
	for rest := events; len(rest) > 0; {
		event, after := splitEvent(rest)
		rest = after
		id := eventID(event)
		if id == "" {
			continue
		}
		o.lastID = id
		n, err := strconv.ParseInt(id, 10, 64)
		if err != nil || o.nextID != 0 && n != o.nextID {
			o.nonConsecutive = true
		}
		o.nextID = n + 1
	}
}

// takeUndelivered returns the events of a later upstream that the caller doesn't have
// yet, and records them as delivered.
func (o *eventSequence) takeUndelivered(events []byte) ([]byte, error) {
	if o.nonConsecutive || o.nextID == 0 {
		o.record(events)
		return events, nil
	}
	var undelivered []byte
	for rest := events; len(rest) > 0; {
		event, after := splitEvent(rest)
		rest = after
		if id := eventID(event); id != "" {
			n, err := strconv.ParseInt(id, 10, 64)
			if err != nil || n > o.nextID {
				return nil, fmt.Errorf("a generation continues with event %q instead of %d: its copy was taken at another moment", id, o.nextID)
			}
			if n < o.nextID {
				continue
			}
			o.lastID = id
			o.nextID++
		}
		undelivered = append(undelivered, event...)
	}
	return undelivered, nil
}
