// Package logs creates loggers that write one line of key=value pairs (logfmt) for each event.
package logs
