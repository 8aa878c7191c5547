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

// A process serves the list of VMs by long polling, as the platform serves its values
// (see mgplatform): a request for a list newer than a version is held until there is a
// newer one or its wait is over.
const (
	listPath = "/list"
	// afterParam is the version that the caller has, waitParam its maximum wait in ms.
	afterParam = "after"
	waitParam  = "wait"
	// listVersionHeader and tableVersionHeader are the headers that hold the versions of the list
	// of VMs and of the table in the sender's mgconfig.VersionReport. listAgeHeader is the time in
	// ms since the platform confirmed the list, negative if it has not.
	listVersionHeader  = "List"
	listAgeHeader      = "List-Age"
	tableVersionHeader = "Table"
	// tableAgeHeader is the time in ms since the platform confirmed that it has no newer
	// table, negative if that isn't known. Processes of earlier releases don't send it.
	tableAgeHeader = "Table-Age"
)

const (
	// maxLongPoll limits how long a request is held, whatever wait its caller asks for.
	maxLongPoll = 5 * mgclock.Second
	// maxListBytes limits the size of an encoded list, as mgplatform limits a value.
	maxListBytes = 1 << 20
)

// serveList answers a peer's long poll for the list of VMs. The reported ages are the times since
// the platform confirmed the list, and that there is no newer table.
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
	reply := n.configLoop.HandleLongPoll(r.Context(), after, min(mgclock.Millis(wait), maxLongPoll))
	header := w.Header()
	header.Set(listVersionHeader, strconv.FormatUint(reply.Report.List, 10))
	header.Set(listAgeHeader, strconv.FormatInt(int64(reply.Report.Age), 10))
	header.Set(tableVersionHeader, strconv.FormatUint(reply.Report.Table, 10))
	header.Set(tableAgeHeader, strconv.FormatInt(int64(reply.Report.TableAge), 10))
	if reply.Compressed == nil {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	header.Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(reply.Compressed) // a peer that closed the connection asks again
}

// longPollList asks the process at an address for a list newer than a version, and waits
// up to wait for one.
func (n *Node) longPollList(ctx context.Context, addr string, after uint64, wait mgclock.Millis) (mgconfig.ListReply, error) {
	query := url.Values{
		afterParam: {strconv.FormatUint(after, 10)},
		waitParam:  {strconv.FormatInt(int64(wait), 10)},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, n.guard.BaseURL(addr)+listPath+"?"+query.Encode(), nil)
	if err != nil {
		return mgconfig.ListReply{}, fmt.Errorf("peer %s: invalid address: %w", addr, err)
	}
	response, err := n.calls.RoundTrip(request)
	if err != nil {
		return mgconfig.ListReply{}, fmt.Errorf("peer %s: requesting the list of VMs: %w", addr, err)
	}
	defer response.Body.Close()
	reply, err := decodeListReply(response)
	if err != nil {
		return mgconfig.ListReply{}, fmt.Errorf("peer %s: reading the list of VMs: %w", addr, err)
	}
	return reply, nil
}

// decodeListReply reads the response to a long poll for the list.
func decodeListReply(response *http.Response) (mgconfig.ListReply, error) {
	header := response.Header
	var reply mgconfig.ListReply
	var age int64
	for _, read := range []func() error{
		func() (err error) {
			reply.Report.List, err = strconv.ParseUint(header.Get(listVersionHeader), 10, 64)
			return
		},
		func() (err error) {
			reply.Report.Table, err = strconv.ParseUint(header.Get(tableVersionHeader), 10, 64)
			return
		},
		func() (err error) { age, err = strconv.ParseInt(header.Get(listAgeHeader), 10, 64); return },
	} {
		if err := read(); err != nil {
			return mgconfig.ListReply{}, fmt.Errorf("status %d, and a header is missing or not a number: %w", response.StatusCode, err)
		}
	}
	reply.Report.Age = mgclock.Millis(age)
	reply.Report.TableAge = -1
	if tableAge, err := strconv.ParseInt(header.Get(tableAgeHeader), 10, 64); err == nil {
		reply.Report.TableAge = mgclock.Millis(tableAge)
	}
	if response.StatusCode == http.StatusNotModified {
		return reply, nil
	}
	packed, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return mgconfig.ListReply{}, fmt.Errorf("the response broke off: %w", err)
	}
	reply.Compressed = packed
	return reply, nil
}
