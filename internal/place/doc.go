// Package place chooses the endpoint for each request behind a route, from what runs where, what each engine likely has in
// its prompt cache, and how endpoints answered of late.
//
// It answers two loads: bursts of long prompts, which delay every short request that is placed behind them, and endpoints
// that turn slow or fail while they say that they are well. It is pure: time and input come in as arguments.
package place
