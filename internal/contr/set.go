package contr

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
)

type (
	// Set is an immutable set of contracts at one version of the configuration.
	Set struct {
		Version    uint64
		byCustomer map[string]*Contract
		byKeyHash  map[[hashBytes]byte]*Contract
	}
)

// NewSet returns a set of the given contracts, which are indexed by customer, at a version.
func NewSet(version uint64, contracts map[string]*Contract) *Set {
	empty := &Set{byCustomer: map[string]*Contract{}, byKeyHash: map[[hashBytes]byte]*Contract{}}
	return empty.With(version, contracts)
}

// With returns a copy of the set at a new version with the given contracts replaced, or removed where they are nil.
func (s *Set) With(version uint64, changed map[string]*Contract) *Set {
	next := &Set{Version: version, byCustomer: maps.Clone(s.byCustomer), byKeyHash: maps.Clone(s.byKeyHash)}
	for customer := range changed {
		if old := next.byCustomer[customer]; old != nil {
			for _, hash := range old.Keys {
				delete(next.byKeyHash, decodeHash(hash))
			}
			delete(next.byCustomer, customer)
		}
	}
	for customer, c := range changed {
		if c == nil {
			continue
		}
		next.byCustomer[customer] = c
		for _, hash := range c.Keys {
			next.byKeyHash[decodeHash(hash)] = c
		}
	}
	return next
}

// decodeHash decodes a hash as stored in a contract; the hash must be valid.
func decodeHash(hash string) [hashBytes]byte {
	var sum [hashBytes]byte
	_, _ = hex.Decode(sum[:], []byte(hash[len(hashPrefix):]))
	return sum
}

// HashKey returns the hash of an API key in the form stored in a contract: "sha256:" and 64 hex digits.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hashPrefix + hex.EncodeToString(sum[:])
}

// ByKey returns the contract that holds an API key, or an error if there is none. The lookup is by hash, so that its timing
// reveals nothing about the key.
func (s *Set) ByKey(key string) (*Contract, error) {
	if c := s.byKeyHash[sha256.Sum256([]byte(key))]; c != nil {
		return c, nil
	}
	return nil, errUnknownKey
}

// Get returns the contract of a customer, or nil.
func (s *Set) Get(customer string) *Contract {
	return s.byCustomer[customer]
}

// Len returns the number of contracts.
func (s *Set) Len() int {
	return len(s.byCustomer)
}

// Each calls visit for each contract, in no particular order.
func (s *Set) Each(visit func(*Contract)) {
	for _, c := range s.byCustomer {
		visit(c)
	}
}
