// Package trace holds the format of recorded requests: JSON lines, a head with the classes' targets and then one line a request.
package trace
