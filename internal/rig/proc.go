package rig

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/fault"
)

// stopTimeout is how long Stop waits for a process to exit.
const stopTimeout = 60 * time.Second

// ErrNotStopped means that a process did not exit within 60 s of being asked to stop.
var ErrNotStopped = errors.New("process did not stop")

type (
	// Proc is a process started by this package.
	Proc struct {
		cmd     *exec.Cmd
		output  *syncBuffer
		exited  chan struct{}
		waitErr error
	}

	// syncBuffer is a buffer that is safe for concurrent use.
	syncBuffer struct {
		mu  sync.Mutex
		buf bytes.Buffer
	}
)

// Write appends p to the buffer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// Build builds the router and the standin command from the module at root, and puts the programs into dir. An error holds the
// compiler's output.
func Build(dir, root string) error {
	build := exec.Command("go", "build", "-o", dir, "./cmd/greengagewheel", "./cmd/standin")
	build.Dir = root
	out, err := build.CombinedOutput()
	if err != nil {
		return fault.Errorf("build", root, "%w: %s", err, out)
	}
	return nil
}

// Spawn starts the program name of the folder dir, with the rig's endpoint key in its environment. Its standard output and standard
// error are collected as its log.
func Spawn(dir, name string, args ...string) (*Proc, error) {
	return spawn(dir, name, args...)
}

func spawn(dir, name string, args ...string) (*Proc, error) {
	p := &Proc{cmd: exec.Command(filepath.Join(dir, name), args...), output: &syncBuffer{}, exited: make(chan struct{})}
	p.cmd.Stderr, p.cmd.Stdout = p.output, p.output
	p.cmd.Env = append(os.Environ(), "GREENGAGEWHEEL_ENDPOINT_KEY="+EndpointKey)
	if err := p.cmd.Start(); err != nil {
		return nil, fault.Wrap("start", name, err)
	}
	go func() {
		p.waitErr = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// Log returns what the process has written to standard output and standard error so far.
func (p *Proc) Log() string {
	p.output.mu.Lock()
	defer p.output.mu.Unlock()
	return p.output.buf.String()
}

// Pid returns the process's ID.
func (p *Proc) Pid() int {
	return p.cmd.Process.Pid
}

// Kill kills the process, even if it is suspended, and waits until it has exited.
func (p *Proc) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Terminate sends SIGTERM to the process.
func (p *Proc) Terminate() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
}

// Stop sends SIGTERM to the process and waits until it exits. It returns the error of the exit, or ErrNotStopped after 60 s.
func (p *Proc) Stop() error {
	p.Terminate()
	select {
	case <-p.exited:
		return p.waitErr
	case <-time.After(stopTimeout):
		return ErrNotStopped
	}
}

// Exited reports whether the process has exited.
func (p *Proc) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Suspend suspends the process with SIGSTOP, which simulates a paused machine.
func (p *Proc) Suspend() {
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
}

// Resume resumes the process after Suspend.
func (p *Proc) Resume() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}
