// Package relay sends requests to endpoints: streams from model engines, which are resumed if they break, and calls of plain
// services, which are sent once unless they may be repeated.
package relay
