package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// tenants is the number of organisations that the users' letter names, keysEach the number of keys of each.
	tenants  = 4900
	keysEach = 64
)

// engine makes the servers of a configuration's service model servers.
const engine = `,"inferenceEngine":{"slots":48,"kvCapacityTokens":394350,"kvTokenBytes":131072,"linkMbps":740000.0,"moves":true,"backups":true,` +
	`"stride":6,"most":12,"pinMs":4000.0,"holdMs":2000.0,"kvHandleS":5.0,"models":[{"name":"m"}]}`

// streamAttempts is the part of a configuration that sets maxAttempts of the streaming route.
const streamAttempts = `"maxAttempts":2,"streamResumption"`

// configuration returns a configuration with a number of tenants. extra is added to the fields of its service.
func configuration(version, tenantCount, keys int, service, extra string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[{"name":"i","host":"h.example","pathPrefix":"/i/","kind":"idempotent","timeoutMs":3000,"targetLatencyMs":300,"priority":1,"service":%q,"maxAttempts":2},`, version, service)
	fmt.Fprintf(&b, `{"name":"n","host":"h.example","pathPrefix":"/n/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":300,"priority":1,"service":%q,"maxAttempts":1},`, service)
	fmt.Fprintf(&b, `{"name":"s","host":"h.example","pathPrefix":"/s/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":2000,"priority":1,"service":%q,"maxAttempts":2,"streamResumption":true,"gapTargetMs":800}]`, service)
	fmt.Fprintf(&b, `,"services":[{"name":%q,"healthPath":"/health","connectionLimit":310,"protocol":"h1","tls":false%s}]`, service, extra)
	b.WriteString(`,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"org","apiKeys":["k"],"priority":1}`)
	for t := range tenantCount {
		fmt.Fprintf(&b, `,{"name":"t%d","apiKeys":[`, t)
		for k := range keys {
			if k > 0 {
				b.WriteByte(',')
			}
			fmt.Fprintf(&b, `"n%07dx%04dk0q7"`, t, k)
		}
		b.WriteString(`],"priority":1}`)
	}
	b.WriteString("]}")
	return []byte(b.String())
}

// rounds is the number of times that the core is killed after an acknowledgement, until one is lost.
const rounds = 3

// bigConfig kills all processes of the core right after they have acknowledged a configuration, starts them within a second and reads
// the configuration back.
func bigConfig(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, 5, 0, 0, 280, 134)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.startAll(); err != nil {
		return false, err
	}
	if _, err := d.replace(configuration(1, 10, 2, "p", ""), time.Second, 12*time.Second); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	for round := range rounds {
		version := 2 + round
		newest, err := d.acknowledgeAndKill(version, trouble)
		if err != nil {
			return false, err
		}
		if newest < version {
			rec.printf("version %d was acknowledged, version %d is read back", version, newest)
			return true, nil
		}
	}
	return false, nil
}

// acknowledgeAndKill sends a configuration until it is acknowledged, kills and starts the core if trouble is set, and returns the newest
// version that is read back until recoveryS after the core is back.
func (d *deployment) acknowledgeAndKill(version int, trouble bool) (newest int, err error) {
	big := configuration(version, tenants, keysEach, "p", "")
	d.rec.printf("sends version %d, %d bytes, %d tenants with %d keys each", version, len(big), tenants, keysEach)
	by, err := d.replace(big, 6*time.Second, 12*time.Second)
	if err != nil {
		return 0, err
	}
	d.rec.printf("version %d acknowledged by %s", version, by.name)
	for _, m := range d.cores {
		_, peak := m.memory()
		d.rec.quiet("%s: peak memory %.0f MB of %d MB", m.name, float64(peak)/1e6, m.memoryMB)
	}
	if trouble {
		d.kill(d.cores...)
		d.rec.printf("all processes of the core killed")
		time.Sleep(300 * time.Millisecond)
		for _, m := range d.cores {
			if err := d.start(m, false); err != nil {
				return 0, err
			}
		}
		d.rec.printf("all processes of the core started")
	}
	answers := 0
	for end := time.Now().Add(recovery + 4*time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, m := range d.cores {
			read, status := d.readVersion(m)
			d.rec.quiet("read at %s: status %d, version %d", m.name, status, read)
			if status == 200 {
				answers++
				newest = max(newest, read)
			}
		}
		if newest == version {
			break
		}
	}
	d.rec.printf("reads answered with 200: %d, newest version read: %d", answers, newest)
	return newest, nil
}
