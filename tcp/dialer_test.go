package tcp_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/tcp"
)

// Data that the peer hasn't received when the connection is closed must never
// arrive.
func TestCloseDiscardsUndeliveredData(t *testing.T) {
	const sent = 64 << 20 // exceeds the socket buffers of both ends
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	conn, err := tcp.Dialer{Timeout: time.Second}.DialContext(t.Context(), "tcp", listener.Addr().String())
	must.NoError(t, err)
	peer, err := listener.Accept()
	must.NoError(t, err)
	defer peer.Close()
	must.NoError(t, conn.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	written, err := conn.Write(make([]byte, sent))
	must.Error(t, err) // the buffers fill up because the peer doesn't read
	must.NoError(t, conn.Close())
	received, err := io.Copy(io.Discard, peer)
	must.ErrorIs(t, err, syscall.ECONNRESET)
	must.Less(t, int64(written), received)
}
