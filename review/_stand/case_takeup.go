package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// longEvents is the number of events of the streams of this case, which last for ten seconds.
	longEvents = 100
	// takenUp is the number of streams that clients take up again.
	takenUp = 16
	// coreDown is how long the core is down.
	coreDown = 600 * time.Millisecond
	// startSpread is the time between the start of one machine of the core and that of the others.
	startSpread = 250 * time.Millisecond
	// calm is the time behind the start of the core after which the machines are in touch again, with a margin.
	calm = 4 * time.Second
	// rounds is how often the case is played at most; it ends with the first round that breaks the rule.
	rounds = 6
)

// The case "takeup" kills the machine at which streams run, so that their clients take them up at other machines. With the disruption, all
// processes of the core were killed some seconds before. The streams must go on about as often as new ones begin.
func init() {
	cases["takeup"] = testCase{opt: options{cores: 5, edges: 9, memoryMB: 134}, play: playTakeup}
}

const takeupDocument = `{"version":7,"routes":[{"name":"r-chat","host":"ficu95.example","pathPrefix":"/chat/","kind":"streaming",` +
	`"timeoutMs":12000,"targetLatencyMs":1000,"priority":0,"service":"asistent","maxAttempts":2,"public":false,"sessionAffinity":true,` +
	`"streamResumption":true,"gapTargetMs":300}],"services":[` + engineService + `],` + configLimits +
	`,"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}`

func playTakeup(f *fleet, trouble bool) (breaks int, err error) {
	if _, err := f.replace(takeupDocument); err != nil {
		return 0, err
	}
	for i := range 3 {
		opt := serverOptions{
			id: fmt.Sprintf("i-%d", i), service: "asistent", zone: zones[i], slots: 48, queue: 144, events: longEvents,
			work: func() time.Duration { return eventGap },
		}
		if _, err := f.startServer(opt); err != nil {
			return 0, err
		}
	}
	chat := f.chat
	if err := f.awaitReady(func(m *machine) bool { return chat(m, 300*time.Millisecond).status == http.StatusOK }); err != nil {
		return 0, err
	}
	for range rounds {
		if breaks, err = f.takeUpRound(trouble, chat); breaks > 0 || err != nil {
			return breaks, err
		}
		if err := f.start(f.edges[0]); err != nil {
			return 0, err
		}
		if err := f.awaitReady(func(m *machine) bool { return chat(m, 300*time.Millisecond).status == http.StatusOK }); err != nil {
			return 0, err
		}
	}
	return 0, nil
}

// takeUpRound plays the case once.
func (f *fleet) takeUpRound(trouble bool, chat func(m *machine, deadline time.Duration, header ...string) result) (breaks int, err error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	wentOn, begun := 0, 0
	for n := range takenUp {
		wg.Add(1)
		go func() {
			defer wg.Done()
			start := time.Now()
			r := chat(f.edges[0], 12*time.Second)
			f.rec.line("client: at %s: %v, %d events", f.edges[0].name, r, events(r))
			first, got, m := r.id, events(r), f.edges[1+n%2]
			for try := 0; try < 3 && got < longEvents; try++ {
				left := 12*time.Second - time.Since(start)
				r = chat(m, left, "Resumes: "+first, fmt.Sprintf("Last-Event-Id: %d", got))
				f.rec.line("client: takes %s up behind event %d at %s: %v, %d events, %q", first, got, m.name, r, events(r), oneLine(r))
				if events(r) > 0 {
					mu.Lock()
					wentOn++
					mu.Unlock()
					return
				}
				time.Sleep(400 * time.Millisecond)
			}
		}()
	}
	time.Sleep(time.Second)
	if trouble {
		f.rec.line("platform: kills all processes of the core")
		for _, m := range f.cores {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range f.cores {
			<-m.exited
		}
		time.Sleep(coreDown)
		for i, m := range f.leaderFirst() {
			if i == 1 {
				time.Sleep(startSpread)
			}
			if err := f.start(m); err != nil {
				return 0, err
			}
		}
		f.rec.line("platform: the processes of the core are started")
	}
	time.Sleep(calm)
	f.rec.line("platform: kills %s", f.edges[0].name)
	f.edges[0].kill()
	for n := range takenUp {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			m := f.edges[1+n%2]
			r := chat(m, time.Second)
			f.rec.line("client: new stream at %s: %v, %d events", m.name, r, events(r))
			if events(r) > 0 {
				mu.Lock()
				begun++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	f.rec.line("%d of %d streams that were taken up went on; %d of %d new streams began", wentOn, takenUp, begun, takenUp)
	if 2*wentOn < begun {
		f.rec.line("BROKEN (LOST): streams that are taken up go on less than half as often as new ones begin")
		breaks = begun - wentOn
	}
	return breaks, nil
}

// oneLine returns the text of an answer without an event.
func oneLine(r result) string {
	if events(r) > 0 {
		return ""
	}
	return strings.TrimSpace(r.body)
}

// leaderFirst returns the machines of the core, the one that led before first.
func (f *fleet) leaderFirst() (machines []*machine) {
	for _, m := range f.cores {
		data, err := os.ReadFile(filepath.Join(f.dir, m.name+".log"))
		if err == nil && strings.Contains(string(data), "with log leadership") && strings.Contains(string(data), "here=true") {
			machines = append([]*machine{m}, machines...)
		} else {
			machines = append(machines, m)
		}
	}
	return machines
}
