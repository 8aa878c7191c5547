package mgproblem_test

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// Guards against problems that OpenAI clients can't show. They read only the
// error object of their own API and otherwise print "401 status code (no body)",
// even when the body explains that the key is missing.
func TestProblemLacksOpenAIErrorObject(t *testing.T) {
	Convey("A problem has the error object of OpenAI's API", t, func() {
		recorder := httptest.NewRecorder()
		mgproblem.Write(recorder, mgproblem.New(mgproblem.Unauthenticated, mgproblem.NotRun, "no key", "send one"))
		var body struct {
			Error struct {
				Message string `json:"message"`
				Type    string `json:"type"`
				Code    string `json:"code"`
			} `json:"error"`
		}
		So(json.Unmarshal(recorder.Body.Bytes(), &body), ShouldBeNil)
		So(body.Error.Message, ShouldEqual, "no key: send one")
		So(body.Error.Type, ShouldEqual, "stranger")
		So(body.Error.Code, ShouldEqual, "notrun")
	})
}
