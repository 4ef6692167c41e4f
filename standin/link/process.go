package link

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"hawthornway/fleet"
)

// socketTable lists this machine's TCP connections over IPv4.
const socketTable = "/proc/net/tcp"

// Processes maps processes on this machine to failure domains.
type Processes struct {
	mu      sync.Mutex
	domains map[int]fleet.DomainID
}

// NewProcesses returns an empty Processes.
func NewProcesses() *Processes { return &Processes{domains: make(map[int]fleet.DomainID)} }

// Add assigns a process to a domain.
func (p *Processes) Add(pid int, domain fleet.DomainID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.domains[pid] = domain
}

// Domain returns the domain of the process that owns the remote end of a
// connection, or "" if the process is unknown. It is a Source.
func (p *Processes) Domain(remote net.Addr) fleet.DomainID {
	inodes := socketInodes(remote)
	p.mu.Lock()
	defer p.mu.Unlock()
	for pid, domain := range p.domains {
		if holdsSocket(pid, inodes) {
			return domain
		}
	}
	return ""
}

// socketInodes returns the inodes of the sockets with a local address. There can
// be several, since connections to different addresses can share a local
// address. Sockets in TIME-WAIT belong to no process and are skipped.
func socketInodes(address net.Addr) []string {
	tcp, isTCP := address.(*net.TCPAddr)
	if !isTCP || tcp.IP.To4() == nil {
		return nil
	}
	table, err := os.ReadFile(socketTable)
	if err != nil {
		return nil
	}
	local := tableAddress(tcp)
	var inodes []string
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > 9 && fields[1] == local && fields[9] != noInode {
			inodes = append(inodes, fields[9])
		}
	}
	return inodes
}

// noInode is the inode that the socket table shows for connections without a
// socket.
const noInode = "0"

// tableAddress formats an address as in the socket table: the IP address as a
// hexadecimal integer in the machine's byte order, and the port.
func tableAddress(address *net.TCPAddr) string {
	var number [4]byte
	binary.BigEndian.PutUint32(number[:], binary.NativeEndian.Uint32(address.IP.To4()))
	return fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(number[:])), address.Port)
}

func holdsSocket(pid int, inodes []string) bool {
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	for _, link := range links {
		target, err := os.Readlink(link)
		if err != nil {
			continue // closed meanwhile
		}
		inode, isSocket := strings.CutPrefix(target, "socket:[")
		if isSocket && slices.Contains(inodes, strings.TrimSuffix(inode, "]")) {
			return true
		}
	}
	return false
}
