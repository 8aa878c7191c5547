package mgfleet_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/soak/mgproc"
	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A network element between an agent and its engine loses track of their
// connection in the middle of a report: it neither forwards bytes nor breaks.
// The reader's timeout must end it and the rest arrive over a new connection.
func TestLinkFailureLosesTokens(t *testing.T) {
	cases := []struct {
		name   string
		inject func(r *mgproc.Link) int
	}{
		{
			name:   "cut",
			inject: func(r *mgproc.Link) int { return r.Cut() },
		},
		{
			name:   "silent for good",
			inject: func(r *mgproc.Link) int { return r.DropSilently() },
		},
	}
	Convey("A report is complete although its link is", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
				defer cancel()
				e := mgstandin.NewEngine(mgstandin.EngineSpec{}, mgclock.Clock{})
				done := make(chan struct{})
				go func() {
					defer close(done)
					e.Run(ctx)
				}()
				defer func() {
					cancel()
					<-done
				}()
				s, err := mgstandin.Listen("127.0.0.1:0", e.Handler())
				So(err, ShouldBeNil)
				defer s.Close()
				r, err := mgproc.NewLink(s.Addr())
				So(err, ShouldBeNil)
				defer r.Close()
				client := mgengine.NewHTTP("http://"+r.Addr(), nil)
				So(client.Start(ctx, mgengine.StartSpec{
					ID:     "g",
					Prompt: "len=30",
				}), ShouldBeNil)

				text, err := readSome(ctx, client, 1, func(seq uint64) {
					if seq == 10 {
						So(c.inject(r), ShouldEqual, 1)
					}
				})
				So(mgengine.KindOf(err), ShouldEqual, mgengine.Broken)
				got := uint64(len(text))
				rest, err := readSome(ctx, client, got+1, nil)
				So(err, ShouldBeNil)
				whole := ""
				for _, token := range append(text, rest...) {
					whole += token
				}
				So(whole, ShouldEqual, mgstandin.FirstTokens("g", 30))
			})
		}
	})
}

// silenceTimeout is how long a reader waits on a link without a sign of life.
const silenceTimeout = 3 * time.Second

// readSome reads tokens from seq on until the stream ends or its reader times
// out.
func readSome(ctx context.Context, client mgengine.Client, seq uint64, seen func(uint64)) ([]string, error) {
	stream, err := client.Stream(ctx, "g", seq)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	var text []string
	for {
		alive, cancel := context.WithTimeout(ctx, silenceTimeout)
		token, err := stream.Next(alive)
		cancel()
		if err != nil || token.End != "" {
			return text, err
		}
		if token.IsHeartbeat() {
			continue
		}
		text = append(text, token.Text)
		if seen != nil {
			seen(token.Seq)
		}
	}
}
