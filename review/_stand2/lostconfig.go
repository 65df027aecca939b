package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"
)

func envInt(name string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return value
}

// largeConfiguration returns a configuration with many routes and tenants.
func largeConfiguration(version, routes, tenants int) map[string]any {
	var rs []map[string]any
	for i := range routes {
		r := route(fmt.Sprintf("r-%07d", i), fmt.Sprintf("/lohu%d/", i), "idempotent", "kancelar", 1500, 150, nil)
		delete(r, "service")
		r["trafficSplit"] = []any{map[string]any{"service": "kancelar", "weight": 90}, map[string]any{"service": "kancelar2", "weight": 10}}
		r["gapTargetMs"] = 800
		rs = append(rs, r)
	}
	cfg := configuration(version, rs, []map[string]any{plainService("kancelar"), plainService("kancelar2")})
	var ts []any
	for i := range tenants {
		ts = append(ts, map[string]any{"name": fmt.Sprintf("hule%d", i), "apiKeys": []string{fmt.Sprintf("n2ctnfzs989anu%06d", i), fmt.Sprintf("anfqasnmgkcuyj%06d", i)}, "priority": 1})
	}
	if tenants > 0 {
		cfg["tenants"] = ts
	}
	return cfg
}

func runLostConfig(rec *recorder, trouble bool) (int, error) {
	f, err := newFleet(3, 0, 134)
	if err != nil {
		return 2, err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return 2, err
	}
	if err := f.configure(largeConfiguration(1, 4, 4)); err != nil {
		return 2, err
	}
	body, _ := json.Marshal(largeConfiguration(2, envInt("ROUTES", 30000), envInt("TENANTS", 4)))
	rec.say("sending version 2 of %d bytes", len(body))
	began := time.Now()
	for {
		status, answer := f.call(f.core[0], http.MethodPost, "/v1/configuration/replace", body)
		rec.say("status %d %.200s after %.1f s", status, answer, time.Since(began).Seconds())
		if status == 200 {
			break
		}
		if time.Since(began) > 30*time.Second {
			return 2, errNotInTime
		}
		time.Sleep(time.Second)
	}
	version := func() int {
		status, answer, err := f.operate(http.MethodGet, "/v1/configuration/read", nil)
		var doc struct{ Version int }
		_ = json.Unmarshal(answer, &doc)
		rec.say("read: status %d version %d %v", status, doc.Version, err)
		return doc.Version
	}
	version()
	time.Sleep(2 * time.Second)
	for _, m := range f.core {
		rec.say("%s rss %.0f MB peak %.0f", m.name, memoryMB(m.cmd.Process.Pid, "VmRSS"), memoryMB(m.cmd.Process.Pid, "VmHWM"))
	}
	if trouble {
		for _, m := range f.core {
			_ = m.cmd.Process.Kill()
		}
		for _, m := range f.core {
			<-m.exited
			m.bootstrap = false
			if err := f.start(m); err != nil {
				return 2, err
			}
		}
		time.Sleep(3 * time.Second)
	}
	for range 3 {
		if version() < 2 {
			return 1, nil
		}
		time.Sleep(time.Second)
	}
	return 0, nil
}
