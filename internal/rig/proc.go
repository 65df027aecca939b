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

// stopTimeout bounds the wait for a process that was asked to stop.
const stopTimeout = 60 * time.Second

// ErrNotStopped tells that a process went on after it was asked to stop.
var ErrNotStopped = errors.New("process did not stop")

type (
	// Proc is one process of a rig.
	Proc struct {
		cmd *exec.Cmd
		log *buffer
		end chan struct{}
		err error
	}

	// buffer is a log that may be read while it is written.
	buffer struct {
		mu sync.Mutex
		b  bytes.Buffer
	}
)

// Write appends to the log.
func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// Build makes the programs in a folder.
func Build(dir, root string) error {
	c := exec.Command("go", "build", "-o", dir, "./cmd/greengagewheel", "./cmd/standin")
	c.Dir = root
	out, err := c.CombinedOutput()
	if err != nil {
		return fault.Errorf("build", root, "%w: %s", err, out)
	}
	return nil
}

// Spawn starts a program of a folder; what it writes to both outputs is its log.
func Spawn(bin, name string, args ...string) (*Proc, error) {
	return spawn(bin, name, args...)
}

func spawn(bin, name string, args ...string) (*Proc, error) {
	p := &Proc{cmd: exec.Command(filepath.Join(bin, name), args...), log: &buffer{}, end: make(chan struct{})}
	p.cmd.Stderr, p.cmd.Stdout = p.log, p.log
	p.cmd.Env = append(os.Environ(), "GREENGAGEWHEEL_ENDPOINT_KEY="+EndpointKey)
	if err := p.cmd.Start(); err != nil {
		return nil, fault.Wrap("start", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.end)
	}()
	return p, nil
}

// Log returns what the process has logged so far.
func (p *Proc) Log() string {
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	return p.log.b.String()
}

// Pid returns the process's ID.
func (p *Proc) Pid() int {
	return p.cmd.Process.Pid
}

// Kill ends the process at once, and waits until it has ended.
func (p *Proc) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.end
}

// Term asks the process to stop.
func (p *Proc) Term() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
}

// Stop asks the process to stop, and returns how it ended.
func (p *Proc) Stop() error {
	p.Term()
	select {
	case <-p.end:
		return p.err
	case <-time.After(stopTimeout):
		return ErrNotStopped
	}
}

// Ended reports whether the process has ended.
func (p *Proc) Ended() bool {
	select {
	case <-p.end:
		return true
	default:
		return false
	}
}

// Freeze stops the process from running, as a paused machine would.
func (p *Proc) Freeze() {
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
}

// Thaw lets a frozen process go on.
func (p *Proc) Thaw() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}
