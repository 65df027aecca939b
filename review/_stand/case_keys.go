package main

import (
	"fmt"
	"net/http"
	"time"
)

// The case "keys" takes both tenants' keys away, one after the other. Afterwards no key is known, so that no request with a key may run.
// Without the disruption, the second tenant keeps its key.
func init() {
	cases["keys"] = testCase{opt: options{cores: 5, edges: 3, memoryMB: 134}, play: playKeys}
}

const keysDocument = `{"version":%d,"routes":[{"name":"r-book","host":"ficu95.example","pathPrefix":"/book/","kind":"non_idempotent",` +
	`"timeoutMs":800,"targetLatencyMs":150,"priority":2,"service":"kancelar","maxAttempts":1,"public":false}],` +
	`"services":[{"name":"kancelar","healthPath":"/health","connectionLimit":110,"protocol":"h1","tls":false}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},` +
	`"tenants":[{"name":"hule930","apiKeys":[%s],"priority":1},{"name":"fida11","apiKeys":[%s],"priority":1}]}`

func playKeys(f *fleet, trouble bool) (breaks int, err error) {
	const first, second, never = "n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk", "zzzzzzzzzzzzzzzzzzzz"
	book := func(m *machine, key string) result {
		r := once(f.frontOf(m), call{method: http.MethodPost, path: "/book/2f", key: key, body: []byte("a visit"), deadline: 1500 * time.Millisecond})
		f.rec.line("client: at %s with key %q: %v", m.name, key, r)
		return r
	}
	if _, err := f.replace(fmt.Sprintf(keysDocument, 7, `"`+first+`"`, `"`+second+`"`)); err != nil {
		return 0, err
	}
	for i, zone := range zones {
		opt := serverOptions{id: fmt.Sprintf("i-%d", i), service: "kancelar", zone: zone, slots: 6, queue: 24, work: func() time.Duration { return 30 * time.Millisecond }}
		if _, err := f.startServer(opt); err != nil {
			return 0, err
		}
	}
	if err := f.awaitReady(func(m *machine) bool {
		return book(m, first).status == http.StatusOK && book(m, second).status == http.StatusOK
	}); err != nil {
		return 0, err
	}
	for _, m := range f.edges {
		if r := book(m, never); r.status != http.StatusUnauthorized {
			return 0, fmt.Errorf("a key that was never known is answered with %d before the change", r.status)
		}
	}
	if _, err := f.replace(fmt.Sprintf(keysDocument, 12, "", `"`+second+`"`)); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	if trouble {
		if _, err := f.replace(fmt.Sprintf(keysDocument, 15, "", "")); err != nil {
			return 0, err
		}
	}
	// The last key is gone for longer than revokeMs and configApplyMs.
	time.Sleep(6 * time.Second)
	revoked := []string{first, never}
	if trouble {
		revoked = append(revoked, second)
	}
	for range 5 {
		for _, m := range f.edges {
			for _, key := range revoked {
				if r := book(m, key); f.totalRuns()[r.id] > 0 {
					f.rec.line("BROKEN: request %s ran, with key %q", r.id, key)
					breaks++
				}
			}
		}
	}
	return breaks, nil
}
