// Package detour sends requests to endpoints by way of another instance, for an instance that does not reach the endpoints itself. The
// other instance connects to the endpoint directly, never by way of a third one.
package detour
