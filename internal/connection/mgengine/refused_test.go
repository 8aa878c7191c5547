package mgengine_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
)

// Guards against treating an unreachable engine like one that refused a request.
// In both cases nothing runs, but only the latter may get other requests.
func TestUnreachableEngineTakenForRefusal(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, `{"kind":"invalid","detail":"the prompt is too long"}`, http.StatusBadRequest)
	}))
	Convey("A start", t, func() {
		refused := mgengine.NewHTTP(server.URL, nil).Start(context.Background(), mgengine.StartSpec{ID: "a"})
		So(mgengine.KindOf(refused), ShouldEqual, mgengine.NotStarted)
		So(mgengine.IsRefusal(refused), ShouldBeTrue)
		server.Close()
		gone := mgengine.NewHTTP(server.URL, nil).Start(context.Background(), mgengine.StartSpec{ID: "a"})
		So(mgengine.KindOf(gone), ShouldEqual, mgengine.NotStarted)
		So(mgengine.IsRefusal(gone), ShouldBeFalse)
	})
}
