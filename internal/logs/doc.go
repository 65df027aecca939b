// Package logs makes the logger: one line of key=value pairs for each event.
package logs
