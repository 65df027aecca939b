package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// streamEvents is the number of events of a stream, eventGap the time between two.
	streamEvents = 25
	eventGap     = 100 * time.Millisecond
	// budgetTime is the window of the retry budget: machines that have just started may not repeat anything.
	budgetTime = 11 * time.Second
)

// Parts of configurations.
const (
	configLimits  = `"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}`
	engineService = `{"name":"asistent","healthPath":"/health","connectionLimit":310,"protocol":"h1","tls":false,"inferenceEngine":{"slots":48,` +
		`"kvCapacityTokens":394350,"kvTokenBytes":131072,"linkMbps":740000.0,"moves":true,"backups":true,"stride":6,"most":12,"pinMs":4000.0,` +
		`"holdMs":2000.0,"kvHandleS":5.0,"models":[{"name":"m"}]}}`
	streamDocument = `{"version":7,"routes":[{"name":"r-quote","host":"ficu95.example","pathPrefix":"/quote/","kind":"streaming",` +
		`"timeoutMs":4000,"targetLatencyMs":600,"priority":1,"service":"asistent","maxAttempts":2,"public":false,"sessionAffinity":true,` +
		`"streamResumption":true,"gapTargetMs":300}],"services":[` + engineService + `],` + configLimits +
		`,"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}`
)

// quote sends a request for a stream that may be resumed.
func (f *fleet) quote(m *machine) result {
	return f.stream(m, "/quote/2f", 4*time.Second)
}

// stream sends a request for a stream.
func (f *fleet) stream(m *machine, path string, deadline time.Duration) result {
	return once(f.frontOf(m), call{
		method: http.MethodPost, path: path, key: "n2ctnfzs989anu6wsjnb", body: []byte("a draft"), deadline: deadline,
		header: []string{"Model-Name: m", "Token-Counts: 410,150", fmt.Sprintf("Prompt-Prefix: 5c1e07a2:400,%x:10", 0x10000+lastAttempt.Load())},
	})
}

// events returns the number of events that a client has received.
func events(r result) int {
	return strings.Count(r.body, "data:")
}

// chat sends a request for a long stream that may be resumed.
func (f *fleet) chat(m *machine, deadline time.Duration, header ...string) result {
	return once(f.frontOf(m), call{
		method: http.MethodPost, path: "/chat/2f", key: "n2ctnfzs989anu6wsjnb", body: []byte("a question"), deadline: deadline,
		header: append(header, "Model-Name: m", "Token-Counts: 410,600",
			fmt.Sprintf("Prompt-Prefix: %x:400,%x:10", 0x5c1e0000+lastAttempt.Load()%16, 0x10000+lastAttempt.Load())),
	})
}
