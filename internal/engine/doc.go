// Package engine simulates a model engine and a plain service for the demo, tests and load runs.
package engine
