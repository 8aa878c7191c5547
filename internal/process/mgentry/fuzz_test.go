package mgentry_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgentry"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// FuzzBody sends bodies to an entry without agents: it must answer any content
// with a problem.
func FuzzBody(f *testing.F) {
	parsed, err := mgtable.Parse([]byte(table))
	if err != nil {
		f.Fatal(err)
	}
	var members mgmember.Members
	spec := entrySpec(parsed, &members)
	spec.Settings.MaxBody = 1 << 16
	spec.Settings.ProbeTimeout = 1
	e := mgentry.New(spec, "life")
	routes := e.Handler()
	f.Add("/v1/chat/completions", `{"model":"report","messages":[{"role":"user","content":"len=3"}]}`)
	f.Fuzz(func(t *testing.T, path, body string) {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
		r.URL.Path = path
		r.Header.Set("Authorization", "Bearer sample-tankline")
		w := httptest.NewRecorder()
		routes.ServeHTTP(w, r)
		if w.Code < 400 || w.Code == http.StatusInternalServerError {
			t.Fatalf("status %d: %s", w.Code, w.Body)
		}
	})
}
