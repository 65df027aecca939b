package rig

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestGate guards against cuts that concern other processes, or none.
func TestGate(t *testing.T) {
	const timeout = 200 * time.Millisecond
	open := func(pid int) (*Gates, func() net.Conn) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() { _, _ = io.Copy(c, c) }()
			}
		}()
		g := NewGates(func() []int { return []int{pid} })
		addr, err := g.Open("127.0.0.1", l.Addr().String())
		So(err, ShouldBeNil)
		t.Cleanup(func() {
			g.Close()
			_ = l.Close()
		})
		return g, func() net.Conn {
			c, err := net.Dial("tcp", addr)
			So(err, ShouldBeNil)
			return c
		}
	}
	echoWithin := func(c net.Conn, timeout time.Duration) error {
		_ = c.SetDeadline(time.Now().Add(timeout))
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		_, err := io.ReadFull(c, make([]byte, 1))
		return err
	}
	// An echo takes long on a busy machine, as the gate looks for the owner of each connection.
	echo := func(c net.Conn) error { return echoWithin(c, WaitTimeout) }
	// refused dials a gate that resets the connection, at times before the dial has returned.
	refused := func(g *Gates) error {
		c, err := net.Dial("tcp", g.listeners[0].Addr().String())
		if err != nil {
			return err
		}
		return echo(c)
	}
	self := os.Getpid()
	Convey("a process that is cut off silently gets nothing until it is healed", t, func() {
		g, dial := open(self)
		old := dial()
		So(echo(old), ShouldBeNil)
		g.Cut(self, CutSilent)
		So(errors.Is(echoWithin(old, timeout), os.ErrDeadlineExceeded), ShouldBeTrue)
		fresh := dial()
		So(errors.Is(echoWithin(fresh, timeout), os.ErrDeadlineExceeded), ShouldBeTrue)
		g.Heal(self)
		So(echo(dial()), ShouldBeNil)
	})
	Convey("a process whose connections are reset makes none", t, func() {
		g, dial := open(self)
		old := dial()
		So(echo(old), ShouldBeNil)
		g.Cut(self, CutReset)
		So(echo(old), ShouldNotBeNil)
		err := refused(g)
		So(errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF), ShouldBeTrue)
		g.Heal(self)
		So(echo(dial()), ShouldBeNil)
	})
	Convey("old connections live on if only new ones are cut", t, func() {
		g, dial := open(self)
		old := dial()
		So(echo(old), ShouldBeNil)
		g.Cut(self, CutNew)
		So(echo(old), ShouldBeNil)
		So(refused(g), ShouldNotBeNil)
	})
	Convey("another process is not concerned", t, func() {
		g, dial := open(1)
		g.Cut(1, CutReset)
		So(echo(dial()), ShouldBeNil)
	})
}
