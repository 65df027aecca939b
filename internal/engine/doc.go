// Package engine holds the stand-ins for a model engine and a plain service, used by the demo, tests and load runs.
package engine
