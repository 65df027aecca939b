// Package claim implements the state machine of claims on idempotency keys, by which a non-idempotent request runs at most once.
//
// A claim is opened before the first byte is sent to a service. It ends as Done, with the answer, or as Void if its holder knows
// that no byte was sent. If the holder fails or can't learn the outcome, the claim is InDoubt and the request isn't run again.
package claim
