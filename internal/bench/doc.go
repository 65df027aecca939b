// Package bench measures the system: it replays traces under injected faults against baselines, and fits the lines by which
// costs grow with load and size, for capacity planning.
package bench
