package mglistener

import (
	"context"
	"crypto/tls"
	"net"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// ConnContext stores a connection in the contexts of its requests. It is a ConnContext hook of
// http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// RequestConn returns the connection of a request with this context, or nil if the server has no
// ConnContext.
func RequestConn(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return conn
}

// lingerDefault makes the kernel send what is left after a close (net.TCPConn.SetLinger).
const lingerDefault = -1

// ResetOnClose sets whether the connection is reset when it is closed, by this process or by the
// kernel as the process ends. An HTTP answer that ends with its connection must not end so before
// it is complete. A nil connection, or one that isn't TCP, stays as it is.
func ResetOnClose(conn net.Conn, reset bool) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	tcp, ok := conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return
	}
	seconds := lingerDefault
	if reset {
		seconds = 0
	}
	_ = tcp.SetLinger(seconds) // fails only on a closed connection
}
