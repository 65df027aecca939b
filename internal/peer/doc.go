// Package peer is the protocol between instances: twirp calls whose frames carry CBOR-coded domain types.
package peer
