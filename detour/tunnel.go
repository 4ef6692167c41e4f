package detour

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"

	"hawthornway/exchange"
	"hawthornway/fleet"
	"hawthornway/peer"
)

// Path is the HTTP path at which hosts accept tunnels.
const Path = "/detour"

// A tunnel is a WebSocket connection between two hosts. The first message of each side is a
// wireOpen or a wireOpened. After that, each message begins with its kind.
const (
	// kindData is followed by bytes of the connection.
	kindData byte = iota
	// kindNotice is followed by a wireNotice.
	kindNotice
)

// wireOpen asks for a connection to a target.
type wireOpen struct {
	Address string `cbor:"address"`
}

// wireOpened tells whether the connection was opened.
type wireOpened struct {
	// Refusal is why it wasn't, or empty.
	Refusal string `cbor:"refusal,omitempty"`
	// Unreachable is set if the target didn't take the connection.
	Unreachable bool `cbor:"unreachable,omitempty"`
}

// wireNotice is what the target has said of itself to one of the two hosts, which concerns
// the other as well: the target takes both for one.
type wireNotice struct {
	Leaving bool `cbor:"leaving,omitempty"`
	// Pause is in milliseconds.
	Pause int64 `cbor:"pause-ms,omitempty"`
}

// statusReset is the WebSocket close code of a tunnel whose target has reset the connection.
// The normal one means that the target has closed it.
const statusReset websocket.StatusCode = 4000

// chunkBytes limits the data of one message.
const chunkBytes = 16 << 10

// bufferedChunks is the number of messages that are received ahead of their reader.
const bufferedChunks = 2

// Conn is a connection to a target through another host. It implements exchange.Detour
// without deadlines.
type Conn struct {
	ws      *websocket.Conn
	ctx     context.Context
	cancel  context.CancelFunc
	closed  func()
	through fleet.Member
	// openedAt and now tell its age.
	openedAt time.Time
	now      func() time.Time
	address  string

	chunks chan []byte
	// chunk is what is left of the chunk that is being read.
	chunk []byte
	mu    sync.Mutex
	// err is why no further chunk comes, or nil.
	err error
	// noticed is set if the target wants no further request through the other host.
	noticed bool
}

// maxReuseAge is the age from which a connection isn't used for another request, so that
// direct connections are tried again.
const maxReuseAge = 4 * time.Second

// Reusable reports whether the connection can be used for another request.
func (c *Conn) Reusable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil && !c.noticed && len(c.chunk) == 0 && len(c.chunks) == 0 && c.now().Sub(c.openedAt) < maxReuseAge
}

// receive reads messages until the tunnel ends.
func (c *Conn) receive() {
	defer close(c.chunks)
	for {
		_, message, err := c.ws.Read(c.ctx)
		switch {
		case err != nil:
			c.mu.Lock()
			c.err = tunnelError(err)
			c.mu.Unlock()
			return
		case len(message) == 0:
		case message[0] == kindNotice:
			c.mu.Lock()
			c.noticed = true
			c.mu.Unlock()
		case message[0] == kindData:
			select {
			case c.chunks <- message[1:]:
			case <-c.ctx.Done():
			}
		}
	}
}

// tunnelError returns the error of a connection, given that of its tunnel.
func tunnelError(err error) error {
	switch websocket.CloseStatus(err) {
	case websocket.StatusNormalClosure:
		return io.EOF
	case statusReset:
		return fmt.Errorf("through another host: %w", syscall.ECONNRESET)
	default:
		// The cause isn't wrapped, since it could be taken for the target's.
		return fmt.Errorf("%w: %v", exchange.ErrDetourBroken, err)
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.chunk) == 0 {
		c.mu.Unlock()
		chunk, ok := <-c.chunks
		c.mu.Lock()
		if !ok {
			return 0, c.err
		}
		c.chunk = chunk
	}
	n := copy(p, c.chunk)
	c.chunk = c.chunk[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		n := min(len(p), chunkBytes)
		if err := c.ws.Write(c.ctx, websocket.MessageBinary, append([]byte{kindData}, p[:n]...)); err != nil {
			return written, tunnelError(err)
		}
		written += n
		p = p[n:]
	}
	return written, nil
}

// Notify tells the host at the end of the tunnel what the target has said of itself: that it
// leaves, or that it wants no requests for some time.
func (c *Conn) Notify(leaving bool, pause time.Duration) error {
	return writeNotice(c.ctx, c.ws, wireNotice{Leaving: leaving, Pause: pause.Milliseconds()})
}

func writeNotice(ctx context.Context, ws *websocket.Conn, notice wireNotice) error {
	body, err := peer.Encode(notice)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(ws.Write(ctx, websocket.MessageBinary, append([]byte{kindNotice}, body...)))
}

// Close implements net.Conn. It makes the other host reset its connection to the target.
func (c *Conn) Close() error {
	c.cancel()
	c.closed()
	return c.ws.CloseNow()
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return addr(c.through.Host) }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return addr(c.address) }

// SetDeadline implements net.Conn. It returns os.ErrNoDeadline.
func (c *Conn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline implements net.Conn. It returns os.ErrNoDeadline.
func (c *Conn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline implements net.Conn. It returns os.ErrNoDeadline.
func (c *Conn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }

// addr is an end of a Conn.
type addr string

// Network returns the name of the network.
func (addr) Network() string { return "detour" }

// String returns the address or the name of a host.
func (a addr) String() string { return string(a) }
