package mgclient

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// maxEventBytes limits one line of a stream.
const maxEventBytes = 1 << 20

// event is one server-sent event (WHATWG HTML, section 9.2). An event without
// data is a heartbeat.
type event struct {
	id   string
	name string
	data string
}

// readEventStream sends the events of a stream to a channel and closes it at the
// end of the stream. To stop it early, close both body and quit.
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

// addLine parses one line and reports whether the event is complete. A comment
// completes an empty event, a heartbeat, unless an event has begun.
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

// errEventID is the error for an event whose id doesn't identify a token.
var errEventID = errors.New("an event's id isn't <answer>.<number>: report a fault of the entry")

// parseEventID splits an event's id into the answer's name and the token's
// number.
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
