package link

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/fleet"
)

func TestProcessesFindThisProcess(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	defer dialled.Close()
	accepted, err := listener.Accept()
	must.NoError(t, err)
	defer accepted.Close()

	p := NewProcesses()
	must.Eq(t, "", p.Domain(accepted.RemoteAddr()))
	p.Add(os.Getpid(), "d1")
	must.Eq(t, "d1", p.Domain(accepted.RemoteAddr()))
}

// ownLoopbackIP returns a loopback address that only this process uses. A port that
// was bound once can then be bound again, whichever ports other processes use.
func ownLoopbackIP() net.IP {
	pid := os.Getpid()
	return net.IPv4(127, byte(1+pid>>16), byte(pid>>8), byte(pid))
}

// Connections in TIME-WAIT can share the local address of the client's
// connection. They belong to no process and must be skipped.
func TestProcessLookupSkipsTimeWaitConnections(t *testing.T) {
	const timeWaitCount = 16
	reuse := net.Dialer{LocalAddr: &net.TCPAddr{IP: ownLoopbackIP()}, Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
		})
		return errors.Join(err, failure)
	}}
	connect := func() (dialled, accepted net.Conn) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		defer listener.Close()
		dialled, err = reuse.Dial("tcp", listener.Addr().String())
		must.NoError(t, err)
		accepted, err = listener.Accept()
		must.NoError(t, err)
		reuse.LocalAddr = dialled.LocalAddr()
		return dialled, accepted
	}
	for range timeWaitCount {
		dialled, accepted := connect()
		must.NoError(t, dialled.Close()) // the end that closes first goes to TIME-WAIT
		_, err := accepted.Read(make([]byte, 1))
		must.ErrorIs(t, err, io.EOF)
		must.NoError(t, accepted.Close())
	}
	dialled, accepted := connect()
	defer dialled.Close()
	defer accepted.Close()
	p := NewProcesses()
	p.Add(os.Getpid(), "d1")
	must.Eq(t, "d1", p.Domain(accepted.RemoteAddr()))
}

func TestCutPausesConnectionsAcrossDomains(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	defer server.Close()
	processes := NewProcesses()
	processes.Add(os.Getpid(), "d1")
	network := NewNetwork(processes.Domain)
	near, err := network.Relay(t.Context(), "127.0.0.1:0", server.Listener.Addr().String(), "d1")
	must.NoError(t, err)
	far, err := network.Relay(t.Context(), "127.0.0.1:0", server.Listener.Addr().String(), "d2")
	must.NoError(t, err)
	const (
		// cutTimeout is how long a request that can't pass is tried, and passTimeout the
		// longest time that another one takes on a busy machine.
		cutTimeout  = 200 * time.Millisecond
		passTimeout = 10 * time.Second
	)
	get := func(address string, timeout time.Duration) error {
		client := http.Client{Timeout: timeout}
		resp, err := client.Get("http://" + address)
		if err == nil {
			err = resp.Body.Close()
		}
		return err
	}
	must.NoError(t, get(far, passTimeout))
	network.Cut("d1")
	must.NoError(t, get(near, passTimeout))
	must.Error(t, get(far, cutTimeout))
	network.Heal()
	must.NoError(t, get(far, passTimeout))
}

func TestNextCutWakesConnectionsOfThePreviousOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := NewNetwork(func(net.Addr) fleet.DomainID { return "" })
		network.Cut("d1")
		passed := make(chan error, 1)
		go func() { passed <- network.await(t.Context(), "d1", "d2") }()
		synctest.Wait()
		network.Cut("d3")
		synctest.Wait()
		must.Eq(t, 1, len(passed))
		must.NoError(t, <-passed)

		go func() { passed <- network.await(t.Context(), "d3", "d2") }()
		synctest.Wait()
		network.Cut("d2") // d3 and d2 are still cut off from each other
		synctest.Wait()
		must.Eq(t, 0, len(passed))
		network.Heal()
		must.NoError(t, <-passed)
	})
}
