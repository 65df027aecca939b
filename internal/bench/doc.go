// Package bench measures the router: it replays traces under injected faults and compares the results with baselines, and it measures
// how costs grow with load and size and fits lines to them, for capacity planning.
package bench
