// Package trace holds the format of recorded requests: JSON lines, first a header with the targets of the classes, then one line
// for each request.
package trace
