package mgcrowd

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"
)

// reopenDelay is the time after which a client opens a connection that was closed again.
const reopenDelay = time.Second

// A Crowd is a number of connections that play a script.
type Crowd struct {
	// Address is that of the listener.
	Address string
	// Conns is the number of connections.
	Conns int
	// Waves is the number of groups in which they are opened, WaveGap apart. Zero stands for one.
	Waves   int
	WaveGap time.Duration
	// Play plays the script.
	Play Script
	// TLS makes the connections use it, without regard to the certificate. Nil stands for plain TCP.
	TLS *tls.Config
}

// Run plays the crowd until ctx ends.
func (c Crowd) Run(ctx context.Context) {
	var clients sync.WaitGroup
	defer clients.Wait()
	waves := max(c.Waves, 1)
	for n := range c.Conns {
		wave := time.Duration(n * waves / c.Conns)
		clients.Go(func() {
			if sleep(ctx, wave*c.WaveGap) {
				c.runClient(ctx)
			}
		})
	}
}

// runClient plays the script until ctx ends, on a new connection each time the last one was closed.
func (c Crowd) runClient(ctx context.Context) {
	for {
		if conn, err := c.dial(ctx); err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			if c.Play(ctx, conn) == nil {
				_, _ = io.Copy(io.Discard, conn) // stays until the other side closes the connection
			}
			stop()
			_ = conn.Close()
		}
		if !sleep(ctx, reopenDelay) {
			return
		}
	}
}

func (c Crowd) dial(ctx context.Context) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", c.Address)
	if err != nil || c.TLS == nil {
		return conn, err
	}
	return tls.Client(conn, c.TLS), nil
}

// sleep waits for a duration, and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
