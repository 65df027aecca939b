// Package bench measures the system: recorded traces under faults against baselines, and the slopes from which capacity is worked out.
package bench
