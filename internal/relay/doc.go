// Package relay carries requests to endpoints: streams that are resumed where they broke, and calls that are sent once.
package relay
