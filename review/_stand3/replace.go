package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// catchUp and recovery are catchUpS and recoveryS of the deployment.
	catchUp  = 4 * time.Second
	recovery = 12 * time.Second
	// successorDelay is the time after which an empty machine takes the place of one that is gone.
	successorDelay = time.Second
	// secondLoss and thirdLoss are the times of the losses after the first one. The first machine has stopped counting as lost
	// catchUp after its successor has started, so that two at most are lost at the same time.
	secondLoss = 4500 * time.Millisecond
	thirdLoss  = 8200 * time.Millisecond
)

// replaceCores replaces three of five core machines one after the other by empty ones at other addresses, never more than two lost at
// the same time, the second one the leader. The configuration that was acknowledged before must be read back, and clients must be served.
func replaceCores(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, 5, 3, 2, 280, 134)
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
	time.Sleep(12 * time.Second)
	by, err := d.replace(configuration(2, 10, 2, "p", ""), time.Second, 10*time.Second)
	if err != nil {
		return false, err
	}
	rec.printf("version 2 acknowledged by %s", by.name)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var late atomic.Bool
	var served, refused, lateServed, lateRefused atomic.Int64
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			id := fmt.Sprintf("q%d", n)
			status, _, err := d.send(d.edges[n%len(d.edges)], id, http.MethodPost, "/i/x", "hello", 2*time.Second)
			rec.quiet("client %s: status %d, %v", id, status, err)
			ok, bad := &served, &refused
			if late.Load() {
				ok, bad = &lateServed, &lateRefused
			}
			if status == http.StatusOK {
				ok.Add(1)
			} else {
				bad.Add(1)
			}
		}
	})
	if trouble {
		if err := d.replaceThree(); err != nil {
			return false, err
		}
	}
	time.Sleep(successorDelay + catchUp + recovery)
	late.Store(true)
	rec.printf("all machines are back for longer than recoveryS")
	newest, answers, reads := 0, 0, 0
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, m := range d.cores {
			reads++
			version, status := d.readVersion(m)
			rec.quiet("read at %s: status %d, version %d", m.name, status, version)
			if status == http.StatusOK {
				answers++
				newest = max(newest, version)
			}
		}
	}
	close(stop)
	wg.Wait()
	rec.printf("reads of the configuration in the last 20 s: %d, answered with 200: %d, newest version: %d", reads, answers, newest)
	rec.printf("requests before: %d served, %d not; in the last 20 s: %d served, %d not", served.Load(), refused.Load(), lateServed.Load(), lateRefused.Load())
	return newest < 2, nil
}

// replaceThree replaces a follower, the leader and another one of the first machines.
func (d *deployment) replaceThree() error {
	leader := d.leader()
	if leader == nil {
		return fmt.Errorf("no leader is named")
	}
	follower := func() *machine {
		for _, m := range d.cores {
			if m != leader {
				return m
			}
		}
		return nil
	}
	first := follower()
	if err := d.remove(first); err != nil {
		return err
	}
	began := time.Now()
	time.Sleep(successorDelay)
	if err := d.addCore(); err != nil {
		return err
	}
	time.Sleep(secondLoss - time.Since(began))
	if leader = d.leader(); leader == nil {
		return fmt.Errorf("no leader is named")
	}
	if err := d.remove(leader); err != nil {
		return err
	}
	time.Sleep(successorDelay)
	if err := d.addCore(); err != nil {
		return err
	}
	time.Sleep(thirdLoss - time.Since(began))
	if err := d.remove(follower()); err != nil {
		return err
	}
	time.Sleep(successorDelay)
	return d.addCore()
}
