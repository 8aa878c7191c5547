package mgrelay

import "github.com/marjoramgauge/marjoramgauge/internal/request/mgrouting"

// A Host is an upstream that may be sent a request.
type Host struct {
	Name string // the upstream's name, which it checks
	Addr string // IP and port
	Zone string

	// Fleet counts what is in flight at Place. A nil Fleet counts nothing.
	Fleet *mgrouting.Fleet
	Place int
}

// flights returns this process's requests in flight there.
func (h *Host) flights() int {
	if h.Fleet == nil {
		return 0
	}
	return h.Fleet.Flights(h.Place)
}

func (h *Host) started() {
	if h.Fleet != nil {
		h.Fleet.Started(h.Place)
	}
}

func (h *Host) ended() {
	if h.Fleet != nil {
		h.Fleet.Ended(h.Place)
	}
}
