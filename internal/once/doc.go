// Package once runs non-idempotent calls at most once, each under a claim on its idempotency key that a quorum has committed.
package once
