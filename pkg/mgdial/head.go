package mgdial

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
)

// A MalformedError means that a server sent bytes that are no HTTP/1.1 response (RFC 9112), or of which
// readers could make different responses. The request may have run.
type MalformedError struct {
	detail string
}

// Error returns what is wrong and the remedy.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed response: %s: find out what listens at the address, and whether the request ran before repeating it", e.detail)
}

func malformed(format string, args ...any) error {
	return &MalformedError{
		detail: fmt.Sprintf(format, args...),
	}
}

// The statuses of responses (RFC 9110, 15). Requests of this package ask for no other protocol, so that
// 101 answers none of them.
const (
	minInterimStatus = 100
	minFinalStatus   = 200
	maxStatus        = 599
)

// A headScanner checks the heads of the response on a connection: those of interim responses and the final
// one. The zero value is ready at the beginning of a connection.
type headScanner struct {
	line        []byte // the begin of the current line
	status      int    // of the current head; 0 before its first line
	isVersion10 bool
	isDone      bool // the final head has ended
	err         error
}

// scan reads the next bytes of the connection.
func (s *headScanner) scan(data []byte) error {
	for s.err == nil && !s.isDone {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			s.line = append(s.line, data...) // the transport limits the size of the head
			break
		}
		line := data[:end]
		if len(s.line) > 0 {
			line = append(s.line, line...)
			s.line = s.line[:0]
		}
		data = data[end+1:]
		s.err = s.checkLine(bytes.TrimSuffix(line, []byte("\r")))
	}
	if s.isDone {
		s.line = nil
	}
	return s.err
}

// checkLine checks a line without its end.
func (s *headScanner) checkLine(line []byte) error {
	switch {
	case s.status == 0:
		return s.checkStatusLine(line)
	case len(line) > 0:
		return s.checkField(line)
	}
	s.isDone = s.status >= minFinalStatus
	s.status = 0
	return nil
}

// checkStatusLine checks the first line of a head (RFC 9112, 4).
func (s *headScanner) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	digits, reason, _ := bytes.Cut(rest, []byte(" "))
	minor, isHTTP1 := bytes.CutPrefix(version, []byte("HTTP/1."))
	switch {
	case !isHTTP1 || len(minor) != 1 || !isDigit(minor[0]):
		return malformed("it begins with %.40q", line)
	case len(digits) != 3 || !isDigit(digits[0]) || !isDigit(digits[1]) || !isDigit(digits[2]):
		return malformed("its status is %.40q", digits)
	case !isFieldValue(reason):
		return malformed("its first line holds control bytes: %.40q", line)
	}
	s.isVersion10 = minor[0] == '0'
	s.status = 100*int(digits[0]-'0') + 10*int(digits[1]-'0') + int(digits[2]-'0')
	return checkStatus(s.status)
}

// checkStatus checks the status of a response. Recipients treat one outside the classes 1xx to 5xx as a
// server's failure (RFC 9110, 15).
func checkStatus(status int) error {
	if status < minInterimStatus || status == http.StatusSwitchingProtocols || status > maxStatus {
		return malformed("its status is %03d", status)
	}
	return nil
}

// checkField checks a field of a head (RFC 9112, 5).
func (s *headScanner) checkField(line []byte) error {
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	switch {
	case !hasColon || !isToken(string(name)):
		// A line that begins with a blank continues the one before it, or is a field of its own, depending on
		// who reads it (RFC 9112, 5.2).
		return malformed("%.40q is no field", line)
	case !isFieldValue(value):
		return malformed("the field %.40q holds control bytes", name)
	case s.isVersion10 && strings.EqualFold(string(name), "Transfer-Encoding"):
		return malformed("a response in HTTP/1.0 has the field %q", name)
	}
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isToken reports whether a name is one of a field (RFC 9110, 5.6.2).
func isToken(name string) bool {
	for i := range len(name) {
		b := name[i]
		isLetter := 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
		if !isLetter && !isDigit(b) && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return name != ""
}

// isFieldValue reports whether a text may be the value of a field or a reason phrase (RFC 9110, 5.5).
func isFieldValue(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// An answerConn is a connection on which one response is read, in plain text. Its reads fail with a
// *MalformedError from a malformed head on.
type answerConn struct {
	net.Conn
	head headScanner
}

// NetConn returns the connection itself, as that of crypto/tls does.
func (c *answerConn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection.
func (c *answerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if scanErr := c.head.scan(p[:n]); scanErr != nil {
		return 0, scanErr
	}
	return n, err
}

// checkHeads returns a dial function whose connections check the head of their response.
func checkHeads(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &answerConn{
			Conn: conn,
		}, nil
	}
}
