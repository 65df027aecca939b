// Package place chooses the endpoint for each request of a route, based on the requests in progress, the estimated content of
// the engines' prompt caches, and the recent latency and failures of the endpoints.
//
// It is built for two conditions: bursts of long prompts, which delay every short request queued behind them, and endpoints
// that become slow or fail while they report to be healthy. The package does no input or output; the current time is a
// parameter.
//
// An entry instance is one that accepts requests from callers. The leader of the log places the requests of all entry
// instances; while it does not answer, each entry instance places its own.
package place
