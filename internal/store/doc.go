// Package store keeps a replica's log, votes, snapshot and identity in its data folder.
package store
