package mgbody

import (
	"context"
	"io"
	"math"
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgbudget"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// growStep is the unit in bytes in which the claim of a body without a length grows, and the size of
	// the first buffer for one.
	growStep = 16 << 10
	// readerCopies is the number of times that a body is held by a reader that doesn't use ReadAll:
	// buffers that grow by copying, and the message that is decoded from them.
	readerCopies = 3
	// restTimeout is the time for which the rest of a body is read that its handler didn't read.
	restTimeout = 500 * mgclock.Millis(1)
	// maxAllocated is the largest length in bytes for which a buffer is allocated at once.
	maxAllocated = 64 << 20
)

// Largest returns the size in bytes of the largest body that an entry with some memory can receive while it
// holds nothing else.
func Largest(memory int64) int64 {
	return mgbudget.Requests(mgbudget.PartsOf(memory, true).Callers()) / readerCopies
}

// A Body is the body of a request.
type Body struct {
	source io.ReadCloser
	ctx    context.Context // of the request
	claim  *mgbudget.Claim
	length int64            // as announced, -1 if unknown
	max    int64            // bytes, 0 for no limit
	conn   *mglistener.Conn // nil if unknown
	read   int64
	ended  bool
	atEnd  func() error // see CheckEnd; nil for none
	err    error        // of the budget, the limit or the end; sticky
}

// Receive returns a request with a Body in place of its body, or the request itself if it has none, and tells the
// request's connection what has been received. Call finish when the request has been handled.
func Receive(r *http.Request) (received *http.Request, finish func()) {
	claim := mgbudget.ClaimOf(r.Context())
	conn := mglistener.ConnOf(mglistener.RequestConn(r.Context()))
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		if conn != nil {
			_ = conn.EndRequest() // fails only on a closed connection
		}
		return r, func() { claim.Trim(0) }
	}
	if conn != nil {
		_ = conn.BeginBody() // as above
	}
	b := &Body{
		source: r.Body,
		ctx:    r.Context(),
		claim:  claim,
		length: r.ContentLength,
		conn:   conn,
	}
	// The server looks at the body of its own request when the handler has returned.
	copied := *r
	copied.Body = b
	return &copied, b.finish
}

// finish gives back what the request holds. The server reads what is left of the body for a short time only.
func (b *Body) finish() {
	b.claim.Trim(0)
	if b.conn != nil && !b.ended {
		_ = b.conn.LimitRest(restTimeout) // fails only on a closed connection
	}
}

// Limit limits the body of a request to some bytes. Reading a larger one fails with *http.MaxBytesError, before
// any of it is read if its length is known.
func Limit(w http.ResponseWriter, r *http.Request, limit int64) {
	if b, ok := r.Body.(*Body); ok {
		b.max = limit
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, limit)
}

// CheckEnd calls check once the whole body of a request has arrived. Reading it fails with the error of check.
func CheckEnd(r *http.Request, check func() error) {
	switch body := r.Body.(type) {
	case nil:
	case *Body:
		body.atEnd = check
	default:
		if body != http.NoBody {
			r.Body = &checkedBody{
				ReadCloser: body,
				check:      check,
			}
		}
	}
}

// A checkedBody is a body without a budget whose end is checked.
type checkedBody struct {
	io.ReadCloser
	check func() error
}

// Read implements io.Reader.
func (c *checkedBody) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if err == io.EOF {
		if checkErr := c.check(); checkErr != nil {
			err = checkErr
		}
	}
	return n, err
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if err := b.check(); err != nil {
		return 0, err
	}
	if b.length >= 0 {
		b.err = b.claim.Reserve(b.ctx, readerCopies*min(b.length, math.MaxInt64/readerCopies))
	} else {
		p = p[:min(len(p), growStep)]
		steps := (b.read+int64(len(p)))/growStep + 1
		b.err = b.claim.Reserve(b.ctx, readerCopies*steps*growStep)
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.readSource(p)
}

// check returns an error if no more may be read.
func (b *Body) check() error {
	if b.err == nil && b.max > 0 && max(b.length, b.read) > b.max {
		b.err = &http.MaxBytesError{
			Limit: b.max,
		}
	}
	return b.err
}

// readSource reads bytes that are reserved.
func (b *Body) readSource(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.read += int64(n)
	if err != nil && b.conn != nil && b.conn.IsRequestAborted() {
		b.err = &EvictedError{}
		return n, b.err
	}
	if err == io.EOF {
		if checkErr := b.check(); checkErr != nil {
			return n, checkErr
		}
	}
	if err == io.EOF || b.read == b.length {
		if b.end(); b.err != nil {
			return n, b.err
		}
	}
	return n, err
}

// end records that the whole body has been read.
func (b *Body) end() {
	if b.ended {
		return
	}
	b.ended = true
	if b.conn != nil {
		_ = b.conn.EndRequest() // fails only on a closed connection
	}
	if b.atEnd != nil {
		b.err = b.atEnd()
	}
}

// Close implements io.Closer.
func (b *Body) Close() error { return b.source.Close() }

// ReadAll reads the body of a request, which it reserves once if its length is known. The error is an
// *mgbudget.ExceededError if the budget is exhausted, an *http.MaxBytesError if the body is too large, and
// otherwise that of the connection.
func ReadAll(r *http.Request) ([]byte, error) {
	b, ok := r.Body.(*Body)
	if !ok {
		if r.Body == nil {
			return nil, nil
		}
		return io.ReadAll(r.Body)
	}
	if err := b.check(); err != nil {
		return nil, err
	}
	if b.length >= 0 && b.length <= maxAllocated {
		return b.readLength()
	}
	return b.readGrowing()
}

// readLength reads a body whose length is known.
func (b *Body) readLength() ([]byte, error) {
	if b.err = b.claim.Reserve(b.ctx, b.length); b.err != nil {
		return nil, b.err
	}
	data := make([]byte, b.length)
	if _, err := io.ReadFull(readerFunc(b.readSource), data); err != nil {
		return data, err
	}
	return data, b.err // with the last bytes, which io.ReadFull ignores
}

// readGrowing reads a body whose length is unknown.
func (b *Body) readGrowing() ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			size := max(2*int64(cap(data)), growStep)
			if b.max > 0 && size >= b.max {
				size = b.max + 1
			}
			// The old buffer is in use until it has been copied.
			if b.err = b.claim.Reserve(b.ctx, size+int64(cap(data))); b.err != nil {
				return nil, b.err
			}
			data = append(make([]byte, 0, size), data...)
			b.claim.Trim(size)
		}
		n, err := b.readSource(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, nil
		}
		if err == nil {
			err = b.check()
		}
		if err != nil {
			return nil, err
		}
	}
}

// readerFunc is a function as a reader.
type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
