package mgrelay

import (
	"bytes"
	"fmt"
	"strconv"
)

// order follows the ids of a stream's events. A generation that goes on at
// another upstream may begin too early, where that one doesn't heed the last
// event that it was told, or too late, where its copy was of another moment. The
// caller must see neither.
type order struct {
	last string // id of the last event that was delivered
	next int64  // the id to come, where ids are whole numbers in a row
	odd  bool   // they are not
}

// deliver notes whole events of the first upstream.
func (o *order) deliver(events []byte) {
	for rest := events; len(rest) > 0; {
		event, after := cutEvent(rest)
		rest = after
		id := idOf(event)
		if id == "" {
			continue
		}
		o.last = id
		n, err := strconv.ParseInt(id, 10, 64)
		if err != nil || o.next != 0 && n != o.next {
			o.odd = true
		}
		o.next = n + 1
	}
}

// resume returns the events of a later upstream that the caller lacks.
func (o *order) resume(events []byte) ([]byte, error) {
	if o.odd || o.next == 0 {
		o.deliver(events)
		return events, nil
	}
	var lacking []byte
	for rest := events; len(rest) > 0; {
		event, after := cutEvent(rest)
		rest = after
		if id := idOf(event); id != "" {
			n, err := strconv.ParseInt(id, 10, 64)
			if err != nil || n > o.next {
				return nil, fmt.Errorf("a generation goes on with event %q in place of %d: its copy is of another moment", id, o.next)
			}
			if n < o.next {
				continue
			}
			o.last = id
			o.next++
		}
		lacking = append(lacking, event...)
	}
	return lacking, nil
}

// cutEvent returns the first event with what ends it, and the rest.
func cutEvent(events []byte) (event, rest []byte) {
	end := bytes.Index(events, eventEnd)
	if end < 0 {
		return events, nil
	}
	end += len(eventEnd)
	return events[:end], events[end:]
}

// idOf returns an event's id, or "".
func idOf(event []byte) string {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
		event = rest
	}
	return ""
}
