// Package retry limits how many requests are retried, so that retries do not multiply the load on endpoints that fail.
package retry
