package mgrelay

import (
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mglimit"
)

// noteLimit takes the rate that an upstream names in an answer.
func (y *Relay) noteLimit(x *exchange, host Host, response *http.Response) {
	text := response.Header.Get(y.spec.Form.Limit)
	if y.spec.Form.Limit == "" || text == "" {
		return
	}
	rate, err := mglimit.Parse(text)
	if err != nil {
		y.spec.Metrics.Counter("relay.limit.unreadable").Inc(1)
		y.spec.Log.Info("an upstream's limit can't be read, what was known of it stays", mglog.Request, x.id,
			mglog.Upstream, host.Name, "why", err.Error())
		return
	}
	y.spec.Metrics.Counter("relay.limit.named").Inc(1)
	y.spec.Log.Info("an upstream names a limit", mglog.Request, x.id, mglog.Upstream, host.Name, "rate", rate)
}
