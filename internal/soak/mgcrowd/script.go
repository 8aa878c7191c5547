package mgcrowd

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// A Script is what one client sends on a connection. It returns nil where the client stays, and an error
// when the connection was closed.
type Script func(ctx context.Context, conn net.Conn) error

// A Request is the beginning of a request's head: its first line and its fields, each with its line end.
type Request string

// NewRequest returns the beginning of a request with the given fields, in the order of name and value.
func NewRequest(method, path, host string, fields ...string) Request {
	head := method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n"
	for n := 0; n+1 < len(fields); n += 2 {
		head += fields[n] + ": " + fields[n+1] + "\r\n"
	}
	return Request(head)
}

// withLength returns the whole head of a request with a body of a length.
func (r Request) withLength(length int) string {
	return string(r) + "Content-Length: " + strconv.Itoa(length) + "\r\n\r\n"
}

// chunked returns the whole head of a request with a body in chunks.
func (r Request) chunked() string { return string(r) + "Transfer-Encoding: chunked\r\n\r\n" }

// send writes texts.
func send(conn net.Conn, texts ...string) error {
	for _, text := range texts {
		if _, err := io.WriteString(conn, text); err != nil {
			return err
		}
	}
	return nil
}

// repeat writes a text a number of times, at an interval; count 0 stands for without end.
func repeat(ctx context.Context, conn net.Conn, text string, count int, interval time.Duration) error {
	for n := 0; count == 0 || n < count; n++ {
		if err := send(conn, text); err != nil {
			return err
		}
		if interval > 0 && !sleep(ctx, interval) {
			return ctx.Err()
		}
	}
	return nil
}

// body returns the bytes of a body.
func body(length int) string { return strings.Repeat("x", length) }

// chunk returns a chunk of a length.
func chunk(length int) string { return fmt.Sprintf("%x\r\n%s\r\n", length, body(length)) }

// Silent sends nothing.
func Silent(context.Context, net.Conn) error { return nil }

// Text sends a text and stays.
func Text(text string) Script {
	return func(_ context.Context, conn net.Conn) error { return send(conn, text) }
}

// Unread sends a text and reads nothing.
func Unread(text string) Script {
	return func(ctx context.Context, conn net.Conn) error {
		if err := send(conn, text); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	}
}

// ShortBody sends a body but for its last byte.
func ShortBody(r Request, length int) Script { return Text(r.withLength(length) + body(length-1)) }

// ShortBodyAfterContinue waits for 100 Continue and then sends a body but for its last byte.
func ShortBodyAfterContinue(r Request, length int) Script {
	return func(_ context.Context, conn net.Conn) error {
		if err := send(conn, (r + "Expect: 100-continue\r\n").withLength(length)); err != nil {
			return err
		}
		want := []byte("HTTP/1.1 100")
		got := make([]byte, len(want))
		if _, err := io.ReadFull(conn, got); err != nil {
			return err
		}
		if !bytes.Equal(got, want) {
			return nil
		}
		return send(conn, body(length-1))
	}
}

// BodyInPieces sends a body but for its last byte, in pieces at an interval.
func BodyInPieces(r Request, length, piece int, interval time.Duration) Script {
	return func(ctx context.Context, conn net.Conn) error {
		if err := send(conn, r.withLength(length)); err != nil {
			return err
		}
		return repeat(ctx, conn, body(piece), (length-1)/piece, interval)
	}
}

// ShortChunks sends a body in chunks but for the last one.
func ShortChunks(r Request, length, size int) Script {
	return func(ctx context.Context, conn net.Conn) error {
		if err := send(conn, r.chunked()); err != nil {
			return err
		}
		return repeat(ctx, conn, chunk(size), length/size, 0)
	}
}

// EndlessChunks sends a body in chunks without end. Of chunks below a kilobyte it sends many at a time.
func EndlessChunks(r Request, size int) Script {
	text := strings.Repeat(chunk(size), max(1, 1024/size))
	return func(ctx context.Context, conn net.Conn) error {
		if err := send(conn, r.chunked()); err != nil {
			return err
		}
		return repeat(ctx, conn, text, 0, 0)
	}
}

// Endless sends a text and then another one without end, of which nothing is read.
func Endless(begin, text string) Script {
	return func(ctx context.Context, conn net.Conn) error {
		if err := send(conn, begin); err != nil {
			return err
		}
		return repeat(ctx, conn, text, 0, 0)
	}
}

// Pipeline sends requests without bodies one after the other, and reads no answer.
func Pipeline(r Request) Script { return Endless("", strings.Repeat(string(r)+"\r\n", 8)) }

// WholeBodies sends requests with whole bodies, each after the answer to the last one.
func WholeBodies(r Request, length int) Script {
	return func(ctx context.Context, conn net.Conn) error {
		text := r.withLength(length) + body(length)
		for ctx.Err() == nil {
			if err := send(conn, text); err != nil {
				return err
			}
			if err := skipAnswer(conn); err != nil {
				return err
			}
		}
		return ctx.Err()
	}
}

// After plays a script after a whole request and its answer.
func After(r Request, next Script) Script {
	return func(ctx context.Context, conn net.Conn) error {
		if err := send(conn, string(r)+"\r\n"); err != nil {
			return err
		}
		if err := skipAnswer(conn); err != nil {
			return err
		}
		return next(ctx, conn)
	}
}

// errClosing means that an answer announced the end of its connection.
var errClosing = errors.New("mgcrowd: the connection ends with its answer: open another one")

// skipAnswer reads an answer.
func skipAnswer(conn net.Conn) error {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.Close {
		return errClosing
	}
	return nil
}
