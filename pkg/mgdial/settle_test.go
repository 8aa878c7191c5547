package mgdial

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against an upstream that counts as unreachable because this process is late to see the connection.
func TestLateProcessBlamesUpstream(t *testing.T) {
	for _, c := range []struct {
		name   string
		opened bool // before the timeout, which this process sees when it settles
	}{
		{
			name:   "that was open in time is used",
			opened: true,
		},
		{
			name: "that isn't open after the timeout is given up",
		},
	} {
		Convey("A connection "+c.name, t, func() {
			ready, used := make(chan struct{}), make(chan struct{})
			dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
				select {
				case <-ready:
					defer close(used)
					conn, _ := net.Pipe()
					return conn, nil
				case <-ctx.Done():
					return nil, ctx.Err()
				}
			}
			settled := false
			settle := func(context.Context) {
				settled = true
				if c.opened {
					close(ready)
					<-used
				}
			}
			conn, err := settleBeforeTimeout(dial, time.Millisecond, settle)(context.Background(), "tcp", "upstream")
			if c.opened {
				So(err, ShouldBeNil)
				So(conn.Close(), ShouldBeNil)
				return
			}
			So(errors.Is(err, errConnectTimeout), ShouldBeTrue)
			So(settled, ShouldBeTrue)
		})
	}
}
