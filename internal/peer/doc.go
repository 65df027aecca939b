// Package peer implements the protocol between instances: Twirp calls whose frames carry domain types encoded in CBOR.
package peer
