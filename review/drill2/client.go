package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is a client's attempt.
type request struct {
	id      string
	method  string
	path    string
	host    string
	key     string
	header  map[string]string
	body    string
	timeout time.Duration // X-Deadline-Ms
	upload  time.Duration // how long the client takes to send the body
}

// result is how an attempt ended at the client.
type result struct {
	id     string
	sentAt time.Time // when the last byte was sent
	status int       // 0 without an answer
	header http.Header
	body   []byte
	whole  bool // the answer is whole
	err    error
	ended  time.Time
}

// newID returns a fresh request id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request on a new connection and reads the answer.
func send(ctx context.Context, log *record, e *entry, q request) result {
	out := result{
		id: q.id,
	}
	conn, err := net.DialTimeout("tcp", e.front(), time.Second)
	if err != nil {
		out.err, out.ended = err, time.Now()
		log.printf("client: %s has no connection to %s: %v", q.id, e.name, err)
		return out
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n",
		q.method, q.path, q.host, q.id, q.timeout.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", q.key)
	}
	for name, value := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if q.body != "" || q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	log.printf("client: sends %s (%s %s, %d bytes in %v) to %s", q.id, q.method, q.path, len(q.body), q.upload, e.name)
	_ = conn.SetDeadline(time.Now().Add(q.timeout)) // fails only on a closed connection
	if err := write(conn, b.String(), q); err != nil {
		out.err, out.ended = err, time.Now()
		log.printf("client: %s could not be sent: %v", q.id, err)
		return out
	}
	out.sentAt = time.Now()
	if q.upload > 0 {
		log.printf("client: the last byte of %s is sent", q.id)
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, &http.Request{Method: q.method})
	if err != nil {
		out.err, out.ended = err, time.Now()
		log.printf("client: %s got no answer from %s, %.3f s after its last byte: %v", q.id, e.name, time.Since(out.sentAt).Seconds(), err)
		return out
	}
	out.status, out.header = response.StatusCode, response.Header
	out.body, err = io.ReadAll(response.Body)
	out.whole, out.err, out.ended = err == nil, err, time.Now()
	log.printf("client: %s got %d from %s, %.3f s after its last byte, %d bytes, whole: %v", q.id, out.status, e.name,
		time.Since(out.sentAt).Seconds(), len(out.body), out.whole)
	return out
}

// uploadSteps is the number of parts in which a slow client sends a body.
const uploadSteps = 100

// write sends the head and the body of a request.
func write(conn net.Conn, head string, q request) error {
	if q.upload == 0 {
		_, err := io.WriteString(conn, head+q.body)
		return err
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	start, size := time.Now(), len(q.body)
	for n := range uploadSteps {
		if _, err := io.WriteString(conn, q.body[n*size/uploadSteps:(n+1)*size/uploadSteps]); err != nil {
			return err
		}
		if n+1 < uploadSteps {
			time.Sleep(time.Until(start.Add(time.Duration(n+1) * q.upload / (uploadSteps - 1))))
		}
	}
	return nil
}

// wasRead reports whether the node read the whole request and then ended the connection without an answer.
// Closing with unread bytes would have reset the connection.
func (r result) wasRead() bool {
	return !r.sentAt.IsZero() && r.status == 0 && (errors.Is(r.err, io.EOF) || errors.Is(r.err, io.ErrUnexpectedEOF))
}
