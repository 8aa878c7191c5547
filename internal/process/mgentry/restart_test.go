package mgentry_test

import (
	"bufio"
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
)

// An engine dies before the first token, and the entry restarts the generation at
// another. A caller that knows only the first generation's name takes the second's
// tokens for another answer's, resumes the dead generation and loses the answer.
func TestStaleAnswerNameAfterRestart(t *testing.T) {
	Convey("The last name announced is that of the tokens' event IDs", t, func() {
		entry := newEntry(hostTransport{
			"agent-1": agentHandler(acceptingAgent{
				firstTokenWait: 1,
				cancelOutcome:  "unknown",
			}, &mgrpc.Frame{
				Fault:   "interrupted",
				Outcome: "unknown",
			}),
			"agent-2": agentHandler(acceptingAgent{
				firstTokenWait: 900,
				cancelOutcome:  "unknown",
			}, &mgrpc.Frame{
				Seq:   1,
				Text:  []string{"tide "},
				End:   "stop",
				Total: 1,
			}),
		})
		server := httptest.NewServer(entry.Handler())
		defer server.Close()
		var names []string
		ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
			Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
				names = append(names, header.Get("Answer"))
				return nil
			},
		})
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/v1/chat/completions",
			strings.NewReader(`{"model":"report","stream":true,"messages":[{"role":"user","content":"len=1"}]}`))
		So(err, ShouldBeNil)
		request.Header.Set("Authorization", "Bearer sample-tankline")
		response, err := http.DefaultClient.Do(request)
		So(err, ShouldBeNil)
		defer response.Body.Close()
		line, err := bufio.NewReader(response.Body).ReadString('\n')
		So(err, ShouldBeNil)
		So(len(names), ShouldEqual, 2)
		So(line, ShouldEqual, "id: "+names[1]+".1\n")
	})
}
