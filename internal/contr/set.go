package contr

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
)

type (
	// Set is an immutable set of contracts at one version, indexed by key.
	Set struct {
		Version   uint64
		contracts map[string]*Contract
		keys      map[[keyBytes]byte]*Contract
	}
)

// NewSet returns a set of the given contracts at a version.
func NewSet(version uint64, contracts map[string]*Contract) *Set {
	empty := &Set{contracts: map[string]*Contract{}, keys: map[[keyBytes]byte]*Contract{}}
	return empty.With(version, contracts)
}

// With returns the set with some contracts changed, those that are nil removed, at a new version.
func (s *Set) With(version uint64, changed map[string]*Contract) *Set {
	next := &Set{Version: version, contracts: maps.Clone(s.contracts), keys: maps.Clone(s.keys)}
	for customer := range changed {
		if old := next.contracts[customer]; old != nil {
			for _, k := range old.Keys {
				delete(next.keys, sum(k))
			}
			delete(next.contracts, customer)
		}
	}
	for customer, c := range changed {
		if c == nil {
			continue
		}
		next.contracts[customer] = c
		for _, k := range c.Keys {
			next.keys[sum(k)] = c
		}
	}
	return next
}

// sum decodes a stored hash.
func sum(k string) [keyBytes]byte {
	var out [keyBytes]byte
	_, _ = hex.Decode(out[:], []byte(k[len(keyPrefix):]))
	return out
}

// Hash returns the form in which a contract stores a caller's key.
func Hash(key string) string {
	h := sha256.Sum256([]byte(key))
	return keyPrefix + hex.EncodeToString(h[:])
}

// ByKey returns the contract to which a caller's key belongs; the look-up is by hash, so its time tells nothing of the key.
func (s *Set) ByKey(key string) (*Contract, error) {
	if c := s.keys[sha256.Sum256([]byte(key))]; c != nil {
		return c, nil
	}
	return nil, errBadKey
}

// Get returns the contract of a customer, or nil.
func (s *Set) Get(customer string) *Contract {
	return s.contracts[customer]
}

// Len returns the number of contracts.
func (s *Set) Len() int {
	return len(s.contracts)
}

// All calls f for each contract, in no order.
func (s *Set) All(f func(*Contract)) {
	for _, c := range s.contracts {
		f(c)
	}
}
