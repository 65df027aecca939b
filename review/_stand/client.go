package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

type (
	// call is one client attempt.
	call struct {
		method, path, key string
		body              []byte
		deadline          time.Duration
		header            []string // lines without their ends
	}

	// result is what a client received.
	result struct {
		id       string
		status   int
		signed   bool
		body     string
		complete bool
		took     time.Duration
		err      error
	}

	// clientConn is a client's connection that is kept for several requests.
	clientConn struct {
		net.Conn
		reader *bufio.Reader
	}
)

var lastAttempt atomic.Int64

// newID returns a new attempt ID.
func newID() string {
	return fmt.Sprintf("9c41d07b%08x", lastAttempt.Add(1))
}

// dial connects to a machine as clients do.
func dial(addr string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, reader: bufio.NewReader(c)}, nil
}

// once sends a request on a connection of its own.
func once(addr string, c call) result {
	conn, err := dial(addr)
	if err != nil {
		return result{id: newID(), err: err}
	}
	defer func() { _ = conn.Close() }()
	return conn.do(c)
}

// do sends a request and reads its answer.
func (conn *clientConn) do(c call) (r result) {
	r.id = newID()
	start := time.Now()
	defer func() { r.took = time.Since(start) }()
	_ = conn.SetDeadline(start.Add(c.deadline + time.Second))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", c.method, c.path, r.id, c.deadline.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&head, "Authorization: Token %s\r\n", c.key)
	}
	for _, line := range c.header {
		head.WriteString(line + "\r\n")
	}
	if c.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(c.body))
	}
	head.WriteString("\r\n")
	if _, r.err = conn.Write(append([]byte(head.String()), c.body...)); r.err != nil {
		return r
	}
	resp, err := http.ReadResponse(conn.reader, &http.Request{Method: c.method})
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.signed = resp.StatusCode, resp.Header.Get("Server-Signature") != ""
	data, err := io.ReadAll(resp.Body)
	r.body, r.complete, r.err = string(data), err == nil, err
	return r
}

// String describes the result for the record.
func (r result) String() string {
	switch {
	case r.status == 0:
		return fmt.Sprintf("request %s: no answer after %v: %v", r.id, r.took.Round(time.Millisecond), r.err)
	case !r.complete:
		return fmt.Sprintf("request %s: status %d, broken off after %v and %d bytes: %v", r.id, r.status, r.took.Round(time.Millisecond), len(r.body), r.err)
	}
	return fmt.Sprintf("request %s: status %d, signed %v, complete after %v", r.id, r.status, r.signed, r.took.Round(time.Millisecond))
}
