package mgrelay

import "net/http"

// resume has a request go on from a copy, after the last event that the caller
// has.
func (y *Relay) resume(x *exchange, request *http.Request) {
	form := &y.spec.Form
	if x.from.copy != "" {
		request.Header.Set(form.Copy, x.from.copy)
		x.from = place{}
	}
	if x.order.last != "" {
		request.Header.Set(form.Event, x.order.last)
		x.resumed = true
	}
}

// carryOn reports whether a generation that broke off goes on from a copy.
func (y *Relay) carryOn(x *exchange) bool {
	if !x.begun || len(x.places) == 0 {
		return false
	}
	x.from = x.places[0]
	x.places = x.places[1:]
	y.spec.Metrics.Counter("relay.carried").Inc(1)
	y.log(x, "a generation goes on from a copy at "+x.from.host.Name, 0)
	return true
}
