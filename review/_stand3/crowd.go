package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdSize is the number of connections of the clients that nobody controls, crowdBody the announced length of each body, which the
	// limit of 4 MiB allows. All stop crowdShort bytes before the end.
	crowdSize  = 4500
	crowdBody  = 200_000
	crowdShort = 1
	// ordinaryClients is the number of ordinary clients; each begins a request every ordinaryPause.
	ordinaryClients = 8
	ordinaryPause   = 500 * time.Millisecond
	// contact is contactMs of the deployment.
	contact = 3 * time.Second
)

// crowd lets clients that nobody controls send large bodies of legal size and stop just short of their end. Ordinary clients must still
// get answers, and a machine that says that it is ready must take new connections.
func crowd(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, 3, 0, 2, 280, 134)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.startAll(); err != nil {
		return false, err
	}
	if _, err := d.replace(configuration(1, 10, 2, "p", ""), time.Second, 20*time.Second); err != nil {
		return false, err
	}
	for n := range 3 {
		s, err := startServer(rec, n, "p", string(rune('a'+n)), d.registries(), nil)
		if err != nil {
			return false, err
		}
		defer s.close()
	}
	for _, m := range d.edges {
		if err := d.awaitService(m); err != nil {
			return false, err
		}
	}
	rec.printf("the system serves")
	target := d.edges[0]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var lastAnswer atomic.Int64
	var answered, failed, notReady atomic.Int64
	lastAnswer.Store(time.Now().UnixNano())
	// The platform asks over one connection, which it keeps.
	wg.Go(func() {
		client := &http.Client{Timeout: time.Second}
		for {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", target.ip, d.ready, readyPath))
			status := 0
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				status = resp.StatusCode
			}
			if status != http.StatusOK {
				notReady.Add(1)
			}
			now, peak := target.memory()
			rec.quiet("readiness of %s: %d; memory %.0f MB, peak %.0f MB, descriptors %d", target.name, status, float64(now)/1e6, float64(peak)/1e6, target.openFiles())
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
		}
	})
	var longest atomic.Int64
	for c := range ordinaryClients {
		wg.Go(func() {
			for n := 0; ; n++ {
				id := fmt.Sprintf("c%d-%d", c, n)
				status, _, err := d.send(target, id, http.MethodPost, "/i/x", "hello", time.Second)
				rec.quiet("client %s: status %d, %v", id, status, err)
				if status > 0 {
					lastAnswer.Store(time.Now().UnixNano())
					answered.Add(1)
				} else {
					failed.Add(1)
				}
				gap := time.Now().UnixNano() - lastAnswer.Load()
				for old := longest.Load(); gap > old && !longest.CompareAndSwap(old, gap); old = longest.Load() {
				}
				select {
				case <-stop:
					return
				case <-time.After(ordinaryPause):
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	var conns []net.Conn
	if trouble {
		conns = d.sendCrowd(target)
	}
	time.Sleep(30 * time.Second)
	close(stop)
	wg.Wait()
	for _, c := range conns {
		if c != nil {
			_ = c.Close()
		}
	}
	gap := time.Duration(longest.Load())
	_, peak := target.memory()
	rec.printf("ordinary requests answered %d, not answered %d; longest time without an answer to any of %d clients %.1f s", answered.Load(), failed.Load(), ordinaryClients, gap.Seconds())
	rec.printf("readiness without 200: %d times; process ended: %v; peak memory %.0f MB of %d MB", notReady.Load(), target.ended(), float64(peak)/1e6, target.memoryMB)
	return gap > contact && notReady.Load() == 0 || target.ended() || peak > int64(target.memoryMB)*1e6, nil
}

// sendCrowd opens the crowd's connections and sends on each a request without the end of its body.
func (d *deployment) sendCrowd(m *machine) []net.Conn {
	conns := make([]net.Conn, crowdSize)
	body := bytes.Repeat([]byte("x"), crowdBody-crowdShort)
	head := fmt.Sprintf("POST /upload HTTP/1.1\r\nHost: h.example\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\n\r\n", crowdBody)
	var wg sync.WaitGroup
	work := make(chan int)
	var sent, unsent atomic.Int64
	counts := crowdCounts{}
	go counts.report(d.rec)
	for range 64 {
		wg.Go(func() {
			for n := range work {
				c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, d.front), 2*time.Second)
				if err != nil {
					unsent.Add(1)
					continue
				}
				conns[n] = c
				_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
				if _, err := c.Write(append([]byte(head), body...)); err != nil {
					unsent.Add(1)
					continue
				}
				sent.Add(1)
				go d.watchCrowd(c, &counts)
			}
		})
	}
	for n := range crowdSize {
		work <- n
	}
	close(work)
	wg.Wait()
	d.rec.printf("crowd: %d requests sent but for %d byte, %d not sent", sent.Load(), crowdShort, unsent.Load())
	return conns
}

// crowdCounts counts what became of the crowd's connections.
type crowdCounts struct {
	answered, reset, closed atomic.Int64
}

// watchCrowd reads what the system sends on a connection of the crowd until it ends.
func (*deployment) watchCrowd(c net.Conn, counts *crowdCounts) {
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		switch {
		case n > 0:
			counts.answered.Add(1)
		case errors.Is(err, io.EOF):
			counts.closed.Add(1)
			return
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			counts.reset.Add(1)
			return
		}
	}
}

func (c *crowdCounts) report(rec *record) {
	for range 30 {
		time.Sleep(time.Second)
		rec.quiet("crowd's connections: %d answered, %d reset, %d closed", c.answered.Load(), c.reset.Load(), c.closed.Load())
	}
}
