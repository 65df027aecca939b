// Package claim holds the rules by which a request that may not be repeated runs at most once.
//
// A claim is open before the first byte goes to a service. It ends as done, with
// the answer, or as void, when its holder knows that no byte was sent. When the
// holder is lost it is in doubt, and nobody runs it again.
package claim
