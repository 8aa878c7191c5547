package mgbody

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgbudget"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

const connBytes = 1000

// countingReader counts the bytes that are read of it.
type countingReader struct {
	io.Reader
	count int
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.count += n
	return n, err
}

// receive returns a request whose connection has a claim on a budget, and the function that finishes it.
func receive(budget *mgbudget.Budget, body io.Reader, length int64) (*http.Request, func()) {
	So(budget.AcquireConn(connBytes, false), ShouldBeTrue)
	ctx := mgbudget.WithClaim(context.Background(), mgbudget.NewClaim(budget, connBytes, nil))
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/", io.NopCloser(body))
	r.ContentLength = length
	return Receive(r)
}

// Guards against bytes that are read before they are granted, or that aren't given back.
func TestBodyReadBeforeGranted(t *testing.T) {
	const large = 1 << 20
	for _, c := range []struct {
		name    string
		length  int64
		budget  int64
		granted bool
		read    int // bytes that may have been read
	}{
		{
			name:    "of a known length, within the budget",
			length:  large,
			budget:  2 * large,
			granted: true,
			read:    large,
		},
		{
			name:   "of a known length, beyond it",
			length: large,
			budget: large,
			read:   0,
		},
		{
			name:    "of an unknown length, within the budget",
			length:  -1,
			budget:  5 * large,
			granted: true,
			read:    large,
		},
		{
			name:   "of an unknown length, beyond it",
			length: -1,
			budget: large,
			read:   large / 2,
		},
	} {
		Convey("A body "+c.name, t, func() {
			budget := mgbudget.New(c.budget)
			source := &countingReader{
				Reader: iotest.HalfReader(bytes.NewReader(make([]byte, large))),
			}
			r, finish := receive(budget, source, c.length)
			data, err := ReadAll(r)
			So(source.count, ShouldBeLessThanOrEqualTo, c.read)
			if c.granted {
				So(err, ShouldBeNil)
				So(len(data), ShouldEqual, large)
				So(budget.State().Held, ShouldBeGreaterThanOrEqualTo, large)
			} else {
				So(Problem(err).Kind(), ShouldEqual, mgproblem.Overloaded)
				So(Problem(err).Outcome(), ShouldEqual, mgproblem.NotRun)
				So(Problem(err).RetryAfter(), ShouldBeGreaterThan, 0)
			}
			So(budget.State().Most, ShouldBeLessThanOrEqualTo, c.budget)
			finish()
			So(budget.State().Held, ShouldEqual, connBytes)
		})
	}
}

// Guards against readers of single bytes or of whole messages that exceed the budget.
func TestBodyReadInPartsUngranted(t *testing.T) {
	Convey("A body that is read in parts is counted with its copies", t, func() {
		budget := mgbudget.New(1 << 20)
		r, _ := receive(budget, strings.NewReader(strings.Repeat("x", 1<<20)), -1)
		data, err := io.ReadAll(r.Body)
		var exceeded *mgbudget.ExceededError
		So(errors.As(err, &exceeded), ShouldBeTrue)
		So(int64(readerCopies*len(data)), ShouldBeLessThanOrEqualTo, budget.State().Held)
		_, err = r.Body.Read(make([]byte, 1))
		So(errors.As(err, &exceeded), ShouldBeTrue)
	})
	Convey("A length that no memory has is refused", t, func() {
		r, _ := receive(mgbudget.New(1<<20), strings.NewReader("x"), 1<<62)
		_, err := r.Body.Read(make([]byte, 1))
		So(Problem(err).Kind(), ShouldEqual, mgproblem.Overloaded)
	})
}

// Guards against a body that is too large and read all the same, and a small one that is taken for too large.
func TestBodyBeyondLimit(t *testing.T) {
	for _, length := range []int64{-1, 100} {
		Convey("A body of 100 bytes", t, func() {
			source := &countingReader{
				Reader: strings.NewReader(strings.Repeat("x", 100)),
			}
			r, _ := receive(mgbudget.New(1<<20), source, length)
			Convey("is refused beyond the limit", func() {
				Limit(httptest.NewRecorder(), r, 99)
				_, err := ReadAll(r)
				So(Problem(err).Kind(), ShouldEqual, mgproblem.TooLarge)
				So(length < 0 || source.count == 0, ShouldBeTrue)
			})
			Convey("is read at the limit", func() {
				Limit(httptest.NewRecorder(), r, 100)
				data, err := ReadAll(r)
				So(err, ShouldBeNil)
				So(len(data), ShouldEqual, 100)
			})
		})
	}
}

// Guards against a body that ends early and is taken for whole.
func TestShortBodyTakenForWhole(t *testing.T) {
	Convey("A body that ends before its length", t, func() {
		r, _ := receive(mgbudget.New(1<<20), strings.NewReader("short"), 100)
		_, err := ReadAll(r)
		So(Problem(err).Kind(), ShouldEqual, mgproblem.Invalid)
	})
	Convey("A request without a body stays as it is", t, func() {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		received, finish := Receive(r)
		So(received, ShouldEqual, r)
		finish()
	})
}

// Guards against a request that runs although its process began to leave while its body arrived.
func TestEndOfBodyUnchecked(t *testing.T) {
	leaving := mgproblem.New(mgproblem.Leaving, mgproblem.NotRun, "leaving", "send it again")
	readers := map[string]func(*http.Request) ([]byte, error){
		"as a whole": ReadAll,
		"in parts":   func(r *http.Request) ([]byte, error) { return io.ReadAll(r.Body) },
	}
	for _, c := range []struct {
		name      string
		length    int64
		hasBudget bool
	}{
		{
			name:      "of a known length",
			length:    100,
			hasBudget: true,
		},
		{
			name:      "of an unknown length",
			length:    -1,
			hasBudget: true,
		},
		{
			name: "without a budget",
		},
	} {
		for name, read := range readers {
			Convey("A body "+c.name+" that is read "+name, t, func() {
				source := strings.NewReader(strings.Repeat("x", 100))
				r := httptest.NewRequest(http.MethodPost, "/", source)
				if c.hasBudget {
					r, _ = receive(mgbudget.New(1<<20), source, c.length)
				}
				Convey("fails with the error of the check at its end", func() {
					CheckEnd(r, func() error {
						So(source.Len(), ShouldEqual, 0)
						return leaving
					})
					_, err := read(r)
					So(Problem(err), ShouldEqual, leaving)
				})
				Convey("is whole if the check passes", func() {
					CheckEnd(r, func() error { return nil })
					data, err := read(r)
					So(err, ShouldBeNil)
					So(len(data), ShouldEqual, 100)
				})
			})
		}
	}
	Convey("A request without a body isn't checked", t, func() {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		CheckEnd(r, func() error { return leaving })
		_, err := ReadAll(r)
		So(err, ShouldBeNil)
	})
}

// Guards against a page of documentation that promises more bodies than an entry can hold.
func TestBodiesOfSmallVM(t *testing.T) {
	Convey("An entry with 134 MB and 100 connections", t, func() {
		const conns, body = 100, 4 << 20
		budget := mgbudget.New(mgbudget.PartsOf(134e6, true).Callers())
		var claims []*mgbudget.Claim
		for range conns {
			So(budget.AcquireConn(mgbudget.CallerConnBytes, false), ShouldBeTrue)
			claims = append(claims, mgbudget.NewClaim(budget, mgbudget.CallerConnBytes, nil))
		}
		held := 0
		for _, claim := range claims {
			if claim.TryReserve(body) {
				held++
			}
		}
		So(held, ShouldEqual, 10)
	})
}
