package mgengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
)

// maxLineBytes limits the encoded size of one token.
const maxLineBytes = 64 << 10

// A TokenStream reads the tokens of one generation. Next must not be called
// concurrently; Close may be called from any goroutine. The zero TokenStream is
// empty.
type TokenStream struct {
	next  func(ctx context.Context) (Token, error)
	close func()
}

// NewTokenStream returns a stream whose tokens are returned by next and whose
// resources are released by close.
func NewTokenStream(next func(ctx context.Context) (Token, error), close func()) *TokenStream {
	return &TokenStream{
		next:  next,
		close: close,
	}
}

// Next returns the next token or heartbeat. It returns io.EOF after the token
// that ended the generation, and a Broken failure when the stream ended
// before. The stream can't be used after ctx has ended.
func (s *TokenStream) Next(ctx context.Context) (Token, error) {
	if s.next == nil {
		return Token{}, io.EOF
	}
	return s.next(ctx)
}

// Close releases the stream and unblocks a waiting Next.
func (s *TokenStream) Close() {
	if s.close != nil {
		s.close()
	}
}

// lineReader reads tokens, one JSON object per line.
type lineReader struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	ended   bool
}

func newLineReader(body io.ReadCloser) *lineReader {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	return &lineReader{
		body:    body,
		scanner: scanner,
	}
}

func (l *lineReader) next(ctx context.Context) (Token, error) {
	if l.ended {
		return Token{}, io.EOF
	}
	if err := ctx.Err(); err != nil {
		return Token{}, NewFailure(Broken, "stream", "", err)
	}
	// A read from a silent connection returns only when the body is closed
	// concurrently.
	stop := context.AfterFunc(ctx, func() { _ = l.body.Close() })
	defer stop()
	if !l.scanner.Scan() {
		return Token{}, l.brokenFailure(ctx)
	}
	var t Token
	line := bytes.TrimSpace(l.scanner.Bytes())
	if len(line) == 0 {
		return t, nil
	}
	if err := json.Unmarshal(line, &t); err != nil {
		return Token{}, NewFailure(Broken, "stream", "not a token", err)
	}
	l.ended = t.End != "" || t.Fault != ""
	return t, nil
}

// brokenFailure returns the failure of a stream that ended early. An end of file
// before the generation's end is a broken connection, never a complete answer.
func (l *lineReader) brokenFailure(ctx context.Context) error {
	cause := l.scanner.Err()
	if cause == nil {
		cause = io.ErrUnexpectedEOF
	}
	if ctx.Err() != nil {
		cause = errors.Join(ctx.Err(), cause)
	}
	return NewFailure(Broken, "stream", "", cause)
}
