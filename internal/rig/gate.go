package rig

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/greengagewheel/greengagewheel/internal/fault"
)

// Ways in which a process is cut off from the servers behind gates.
const (
	// CutReset resets connections, and new ones as soon as they are made.
	CutReset Cut = iota + 1
	// CutSilent passes nothing on, in either direction, over old connections and new ones.
	CutSilent
	// CutNew resets new connections; old ones live on.
	CutNew
)

type (
	// Cut is a way in which a process is cut off.
	Cut int

	// Gates are loopback proxies in front of servers that can cut single processes off from all of them.
	Gates struct {
		mu        sync.Mutex
		cuts      map[int]Cut
		conns     map[*gateConn]bool
		listeners []net.Listener
		// pids returns the IDs of the processes that may be cut off.
		pids func() []int
		// changed is closed and replaced when a process is cut off or no longer.
		changed chan struct{}
	}

	// gateConn is a connection through a gate.
	gateConn struct {
		pid            int
		caller, server *net.TCPConn
	}
)

// NewGates returns gates for the processes that pids returns. Connections of others are never cut.
func NewGates(pids func() []int) *Gates {
	return &Gates{cuts: map[int]Cut{}, conns: map[*gateConn]bool{}, pids: pids, changed: make(chan struct{})}
}

// Open starts a gate in front of a server, on any port of the given address, and returns the gate's address.
func (g *Gates) Open(ip string, server string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", fault.Wrap("open gate", server, err)
	}
	g.mu.Lock()
	g.listeners = append(g.listeners, l)
	g.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			caller, _ := c.(*net.TCPConn)
			go g.serve(caller, server)
		}
	}()
	return l.Addr().String(), nil
}

// Close closes the gates and all connections through them.
func (g *Gates) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.listeners {
		_ = l.Close()
	}
	for c := range g.conns {
		c.reset()
	}
}

// Cut cuts a process off from all servers.
func (g *Gates) Cut(pid int, how Cut) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cuts[pid] = how
	g.signal()
	for c := range g.conns {
		if c.pid == pid && how == CutReset {
			c.reset()
		}
	}
}

// Heal ends the cut of a process. What was held back meanwhile arrives.
func (g *Gates) Heal(pid int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.cuts, pid)
	g.signal()
}

// signal wakes those who wait for a change. The caller holds g.mu.
func (g *Gates) signal() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// cutOf returns how a process is cut off, or 0, and a channel that is closed at the next change.
func (g *Gates) cutOf(pid int) (Cut, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cuts[pid], g.changed
}

// serve passes on what comes over one connection.
func (g *Gates) serve(caller *net.TCPConn, server string) {
	pid := ownerOf(caller, g.pids())
	c := &gateConn{pid: pid, caller: caller}
	g.mu.Lock()
	how := g.cuts[pid]
	g.conns[c] = true
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(g.conns, c)
		g.mu.Unlock()
	}()
	if how == CutReset || how == CutNew {
		c.reset()
		return
	}
	g.awaitSound(pid)
	dialed, err := net.Dial("tcp", server)
	if err != nil {
		c.reset()
		return
	}
	c.server, _ = dialed.(*net.TCPConn)
	var wg sync.WaitGroup
	wg.Go(func() { g.pass(c, c.server, c.caller) })
	wg.Go(func() { g.pass(c, c.caller, c.server) })
	wg.Wait()
	_ = c.caller.Close()
	_ = c.server.Close()
}

// awaitSound waits while a process is cut off silently.
func (g *Gates) awaitSound(pid int) {
	for {
		how, changed := g.cutOf(pid)
		if how != CutSilent {
			return
		}
		<-changed
	}
}

// pass copies from one side to the other, and passes on how it ends.
func (g *Gates) pass(c *gateConn, to, from *net.TCPConn) {
	const bufferBytes = 32 << 10
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		g.awaitSound(c.pid)
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

// reset resets both sides of a connection.
func (c *gateConn) reset() {
	for _, side := range []*net.TCPConn{c.caller, c.server} {
		if side != nil {
			_ = side.SetLinger(0)
			_ = side.Close()
		}
	}
}

// ownerOf returns the ID of the process at the other end of a loopback connection, or 0 if it is none of the given ones.
func ownerOf(c *net.TCPConn, pids []int) int {
	local, _ := netip.ParseAddrPort(c.RemoteAddr().String())
	remote, _ := netip.ParseAddrPort(c.LocalAddr().String())
	inode := socketInode(local, remote)
	if inode == "" {
		return 0
	}
	want := "socket:[" + inode + "]"
	for _, pid := range pids {
		dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
		fds, err := os.ReadDir(dir)
		if err != nil {
			continue
		}
		for _, fd := range fds {
			if link, err := os.Readlink(filepath.Join(dir, fd.Name())); err == nil && link == want {
				return pid
			}
		}
	}
	return 0
}

// socketInode returns the inode of the IPv4 socket with the given addresses, or an empty string.
func socketInode(local, remote netip.AddrPort) string {
	const localField, remoteField, inodeField = 1, 2, 9
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > inodeField && fields[localField] == procAddr(local) && fields[remoteField] == procAddr(remote) {
			return fields[inodeField]
		}
	}
	return ""
}

// procAddr returns an IPv4 address and port as /proc/net/tcp shows them.
func procAddr(addr netip.AddrPort) string {
	ip := addr.Addr().Unmap().As4()
	return fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(ip[:]), addr.Port())
}
