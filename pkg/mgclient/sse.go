package mgclient

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// eventBytes bounds one line of a stream.
const maxEventBytes = 1 << 20

// event is one server-sent event (WHATWG HTML, section 9.2). One without data
// is a sign of life.
type event struct {
	id   string
	name string
	data string
}

// events reads a stream into a channel, which is closed after its end. The
// reader stops when body is closed and quit is.
func readEventStream(body io.Reader, quit <-chan struct{}) <-chan event {
	read := make(chan event)
	go func() {
		defer close(read)
		scanner := bufio.NewScanner(body)
		scanner.Buffer(nil, maxEventBytes)
		var e event
		for scanner.Scan() {
			if !e.addLine(scanner.Text()) {
				continue
			}
			select {
			case read <- e:
			case <-quit:
				return
			}
			e = event{}
		}
	}()
	return read
}

// take takes one line and reports whether the event is complete. A comment is
// passed on at once, as a sign of life, unless an event has begun.
func (e *event) addLine(line string) bool {
	if line == "" {
		return *e != event{}
	}
	field, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch field {
	case "":
		return *e == event{}
	case "id":
		e.id = value
	case "event":
		e.name = value
	case "data":
		if e.data != "" {
			e.data += "\n"
		}
		e.data += value
	}
	return false
}

// errEventID is the fault of an event whose id names no token.
var errEventID = errors.New("an event's id isn't <answer>.<number>: the entry is at fault; report it")

// parseID splits an event's id into the answer and the token's number.
func parseEventID(id string) (string, uint64, error) {
	at := strings.LastIndexByte(id, '.')
	if at < 1 {
		return "", 0, errEventID
	}
	seq, err := strconv.ParseUint(id[at+1:], 10, 64)
	if err != nil {
		return "", 0, errEventID
	}
	return id[:at], seq, nil
}
