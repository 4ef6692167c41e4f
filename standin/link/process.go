package link

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"hawthornway/fleet"
)

// socketTable lists this machine's TCP connections over IPv4.
const socketTable = "/proc/net/tcp"

// Processes knows the failure domains of processes on this machine.
type Processes struct {
	mu      sync.Mutex
	domains map[int]fleet.DomainID
}

// NewProcesses returns a new Processes that knows none.
func NewProcesses() *Processes { return &Processes{domains: make(map[int]fleet.DomainID)} }

// Add puts a process into a domain.
func (p *Processes) Add(pid int, domain fleet.DomainID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.domains[pid] = domain
}

// Domain returns the domain of the process that holds the other end of a
// connection, or "" if it is none of those known. It is a Source.
func (p *Processes) Domain(remote net.Addr) fleet.DomainID {
	inode := socketInode(remote)
	if inode == "" {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for pid, domain := range p.domains {
		if holdsSocket(pid, inode) {
			return domain
		}
	}
	return ""
}

// socketInode returns the inode of the socket that is bound to an address.
func socketInode(address net.Addr) string {
	tcp, isTCP := address.(*net.TCPAddr)
	if !isTCP || tcp.IP.To4() == nil {
		return ""
	}
	table, err := os.ReadFile(socketTable)
	if err != nil {
		return ""
	}
	local := tableAddress(tcp)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > 9 && fields[1] == local {
			return fields[9]
		}
	}
	return ""
}

// tableAddress returns an address as the socket table writes it: the IP number
// as one integer in the machine's byte order, and the port.
func tableAddress(address *net.TCPAddr) string {
	var number [4]byte
	binary.BigEndian.PutUint32(number[:], binary.NativeEndian.Uint32(address.IP.To4()))
	return fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(number[:])), address.Port)
}

func holdsSocket(pid int, inode string) bool {
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	want := "socket:[" + inode + "]"
	for _, link := range links {
		if held, err := os.Readlink(link); err == nil && held == want {
			return true
		}
	}
	return false
}
