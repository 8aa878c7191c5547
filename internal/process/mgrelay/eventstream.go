package mgrelay

import (
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var (
	errEventTooLarge = errors.New("an event exceeds 1 MiB: raise the bound or send smaller events")
	errEventRefused  = errors.New("an event exceeds what may be held for the caller now: send smaller events, or give the process more memory")
)

// eventScanner finds the ends of the events of a stream (HTML Living Standard, 9.2.6). Lines end
// with LF, CR or CRLF; an event ends with an empty line; a line that begins with a colon is a
// comment and belongs to no event. The zero value is ready at the beginning of a stream.
type eventScanner struct {
	lineBegun bool // the current line has characters
	isComment bool // the current line is a comment
	hasFields bool // the open event has a complete line that isn't a comment
	afterCR   bool // the last byte was CR, so that an LF belongs to the same line end
	wasEmpty  bool // the last complete line was empty
}

// scan reads the next bytes of a stream. It returns the end of the last empty line among them, 0
// if there is none, and the number of events that have ended.
func (c *eventScanner) scan(data []byte) (end, events int) {
	for i, b := range data {
		switch {
		case b == '\n' && c.afterCR:
			c.afterCR = false
			if c.wasEmpty {
				end = i + 1
			}
		case b == '\n' || b == '\r':
			c.afterCR = b == '\r'
			if c.endLine(); c.wasEmpty {
				end = i + 1
				if c.hasFields {
					events++
				}
				c.hasFields = false
			}
		default:
			c.afterCR = false
			if !c.lineBegun {
				c.lineBegun, c.isComment = true, b == ':'
			}
		}
	}
	return end, events
}

// endLine ends the current line.
func (c *eventScanner) endLine() {
	c.wasEmpty = !c.lineBegun
	c.hasFields = c.hasFields || c.lineBegun && !c.isComment
	c.lineBegun, c.isComment = false, false
}

// inEvent reports whether an event has begun and not ended.
func (c *eventScanner) inEvent() bool { return c.hasFields || c.lineBegun && !c.isComment }

// eventReader splits a stream into events.
type eventReader struct {
	source   io.Reader
	scanner  eventScanner
	buffer   []byte // read and not yet returned
	consumed int    // bytes of buffer that were returned
	events   int64  // complete events that were returned
	// mayHold reports whether a number of bytes may be held. Nil stands for always.
	mayHold func(bytes int64) bool
	chunk   [4096]byte
}

// next returns all complete events that have arrived, at least one, with their separators, and
// their number. At the end of the stream it returns the remaining bytes with io.EOF.
func (e *eventReader) next() (data []byte, events int, err error) {
	e.buffer = append(e.buffer[:0], e.buffer[e.consumed:]...)
	e.consumed = 0
	for {
		n, err := e.source.Read(e.chunk[:])
		before := len(e.buffer)
		e.buffer = append(e.buffer, e.chunk[:n]...)
		end, ended := e.scanner.scan(e.chunk[:n])
		if end > 0 {
			e.consumed = before + end
			events += ended
		}
		switch {
		case events > 0:
			// An error is returned by the next Read again.
			e.events += int64(events)
			return e.buffer[:e.consumed], events, nil
		case err != nil:
			e.consumed = len(e.buffer)
			return e.buffer, 0, err
		case len(e.buffer) > maxEventBytes:
			return nil, 0, errEventTooLarge
		case len(e.buffer) > minBufferedAnswer && e.mayHold != nil && !e.mayHold(int64(2*cap(e.buffer))):
			return nil, 0, errEventRefused
		}
	}
}

// splitEvent returns the first event with its separator, and the remaining events.
func splitEvent(events []byte) (event, rest []byte) {
	var scanner eventScanner
	for i := range events {
		if end, _ := scanner.scan(events[i : i+1]); end == 0 {
			continue
		}
		end := i + 1
		if events[i] == '\r' && end < len(events) && events[end] == '\n' {
			end++
		}
		return events[:end], events[end:]
	}
	return events, nil
}

// eventID returns an event's id, or "".
func eventID(event []byte) string {
	for rest := event; len(rest) > 0; {
		line := rest
		end := bytes.IndexAny(rest, "\r\n")
		if end >= 0 {
			line, rest = rest[:end], rest[end+1:]
		} else {
			rest = nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}
