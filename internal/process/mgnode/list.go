package mgnode

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/marjoramgauge/marjoramgauge/internal/version/mgconfig"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A process tells the list of VMs as the platform publishes its values (see
// mgplatform): a question for what is newer than a version is held until there is
// something newer or its wait is over.
const (
	listPath = "/list"
	// afterQuery and waitQuery are the version that the caller has, and ms.
	afterParam = "after"
	waitParam  = "wait"
	// listHeader and tableHeader are versions; ageHeader is the list's age since the
	// platform confirmed it, ms, negative where it doesn't.
	listVersionHeader  = "List"
	listAgeHeader      = "List-Age"
	tableVersionHeader = "Table"
	// tableAgeHeader is how long ago the platform had no newer table, ms, negative where
	// that isn't known. A process of an earlier release doesn't tell it.
	tableAgeHeader = "Table-Age"
)

const (
	// maxListWait bounds how long a question is held, whatever its caller asks.
	maxLongPoll = 5 * mgclock.Second
	// maxList bounds a list on the wire in bytes, as the platform bounds a value.
	maxListBytes = 1 << 20
)

// serveList answers a process that listens at this one.
func (n *Node) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get(afterParam), 10, 64)
	if err != nil {
		http.Error(w, "after is no version: give a whole number", http.StatusBadRequest)
		return
	}
	wait, err := strconv.ParseInt(query.Get(waitParam), 10, 64)
	if err != nil {
		http.Error(w, "wait is no time: give whole ms", http.StatusBadRequest)
		return
	}
	listing := n.loop.Listing(r.Context(), after, min(mgclock.Millis(wait), maxLongPoll))
	header := w.Header()
	header.Set(listVersionHeader, strconv.FormatUint(listing.Word.List, 10))
	header.Set(listAgeHeader, strconv.FormatInt(int64(listing.Word.Age), 10))
	header.Set(tableVersionHeader, strconv.FormatUint(listing.Word.Table, 10))
	header.Set(tableAgeHeader, strconv.FormatInt(int64(listing.Word.TableAge), 10))
	if listing.Packed == nil {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	header.Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(listing.Packed) // a listener that left asks again
}

// listen asks the process at an address for a list newer than a version.
func (n *Node) longPollList(ctx context.Context, addr string, after uint64, wait mgclock.Millis) (mgconfig.Listing, error) {
	query := url.Values{
		afterParam: {strconv.FormatUint(after, 10)},
		waitParam:  {strconv.FormatInt(int64(wait), 10)},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, n.guard.Base(addr)+listPath+"?"+query.Encode(), nil)
	if err != nil {
		return mgconfig.Listing{}, fmt.Errorf("peer %s: its address is odd: %w", addr, err)
	}
	response, err := n.calls.RoundTrip(request)
	if err != nil {
		return mgconfig.Listing{}, fmt.Errorf("peer %s: no list: %w", addr, err)
	}
	defer response.Body.Close()
	listing, err := decodeListing(response)
	if err != nil {
		return mgconfig.Listing{}, fmt.Errorf("peer %s: no list: %w", addr, err)
	}
	return listing, nil
}

// readListing reads the answer to a question for the list.
func decodeListing(response *http.Response) (mgconfig.Listing, error) {
	header := response.Header
	var listing mgconfig.Listing
	var age int64
	for _, read := range []func() error{
		func() (err error) {
			listing.Word.List, err = strconv.ParseUint(header.Get(listVersionHeader), 10, 64)
			return
		},
		func() (err error) {
			listing.Word.Table, err = strconv.ParseUint(header.Get(tableVersionHeader), 10, 64)
			return
		},
		func() (err error) { age, err = strconv.ParseInt(header.Get(listAgeHeader), 10, 64); return },
	} {
		if err := read(); err != nil {
			return mgconfig.Listing{}, fmt.Errorf("status %d, and a header is missing: %w", response.StatusCode, err)
		}
	}
	listing.Word.Age = mgclock.Millis(age)
	listing.Word.TableAge = -1
	if tableAge, err := strconv.ParseInt(header.Get(tableAgeHeader), 10, 64); err == nil {
		listing.Word.TableAge = mgclock.Millis(tableAge)
	}
	if response.StatusCode == http.StatusNotModified {
		return listing, nil
	}
	packed, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return mgconfig.Listing{}, fmt.Errorf("it broke off: %w", err)
	}
	listing.Packed = packed
	return listing, nil
}
