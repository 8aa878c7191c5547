package mgproblem_test

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// A developer's OpenAI client says "401 status code (no body)": its key was
// missing, the answer said so, and the client shows only the error object of
// its own API.
func TestProblemLacksOpenAIErrorObject(t *testing.T) {
	Convey("A problem has the error object of OpenAI's API", t, func() {
		recorder := httptest.NewRecorder()
		mgproblem.Write(recorder, mgproblem.New(mgproblem.Stranger, mgproblem.NotRun, "no key", "send one"))
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
