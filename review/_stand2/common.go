package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// limits are those of PROTOCOL.md's example.
func configuration(version int, routes []map[string]any, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{tenantKey, secondKey}, "priority": 1}},
	}
}

func route(name, prefix, kind, service string, timeoutMS, targetMS int, extra map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": routeHost, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMS, "targetLatencyMs": targetMS,
		"priority": 2, "service": service, "maxAttempts": 2, "public": false, "sessionAffinity": kind == "streaming",
		"streamResumption": false,
	}
	for k, v := range extra {
		r[k] = v
	}
	return r
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "connectionLimit": 110, "protocol": "h1", "tls": false}
}

func engineService(name string) map[string]any {
	s := plainService(name)
	s["connectionLimit"] = 310
	s["inferenceEngine"] = map[string]any{
		"slots": 48, "kvCapacityTokens": 394350, "kvTokenBytes": 131072, "linkMbps": 740000.0, "moves": true, "backups": true, "stride": 6,
		"most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "kvHandleS": 5.0, "models": []any{map[string]any{"name": "m"}},
	}
	return s
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%08x%08x", os.Getpid(), lastID.Add(1)) }

// newRequest returns a client's request to an edge machine.
func (f *fleet) newRequest(m *machine, method, path string, deadlineMS int, body []byte) *http.Request {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, f.front, path), bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = routeHost
	r.Header.Set("Attempt-Id", newID())
	r.Header.Set("Authorization", "Token "+tenantKey)
	r.Header.Set("Deadline-Ms", strconv.Itoa(deadlineMS))
	return r
}

// ask sends a request and returns the answer; status 0 means that there was none, whole that the body ended properly.
func ask(client *http.Client, r *http.Request) (status int, header http.Header, body string, whole bool, err error) {
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil, "", false, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(data), err == nil, err
}

// memoryMB returns a figure of a process's memory from the kernel, in MB.
func memoryMB(pid int, field string) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 64)
			return kb / 1024
		}
	}
	return 0
}

// ready waits until the edge machines are ready and answer a request on a path.
func (f *fleet) awaitServing(method, path string) error {
	return until(startTimeout, func() bool {
		for _, m := range f.edges {
			if !f.isReady(m) {
				return false
			}
			client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			if status, _, _, _, _ := ask(client, f.newRequest(m, method, path, 2000, nil)); status != http.StatusOK {
				return false
			}
		}
		return true
	})
}
