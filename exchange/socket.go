package exchange

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// isReusable reports whether an idle connection is open and has no bytes to
// read. Unsolicited bytes belong to no request.
func isReusable(c net.Conn) bool {
	if detour, ok := c.(Detour); ok {
		return detour.Reusable()
	}
	sys, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, err := unix.Read(int(fd), buf[:])
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}
