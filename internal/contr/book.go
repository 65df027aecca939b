package contr

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
)

type (
	// Book is an immutable set of contracts at one version, indexed by key.
	Book struct {
		Version   uint64
		contracts map[string]*Contract
		keys      map[[keyBytes]byte]*Contract
	}
)

// NewBook returns a book of the given contracts at a version.
func NewBook(version uint64, contracts map[string]*Contract) *Book {
	empty := &Book{contracts: map[string]*Contract{}, keys: map[[keyBytes]byte]*Contract{}}
	return empty.With(version, contracts)
}

// With returns the book with some contracts changed, those that are nil removed, at a new version.
func (b *Book) With(version uint64, changed map[string]*Contract) *Book {
	next := &Book{Version: version, contracts: maps.Clone(b.contracts), keys: maps.Clone(b.keys)}
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
func (b *Book) ByKey(key string) (*Contract, error) {
	if c := b.keys[sha256.Sum256([]byte(key))]; c != nil {
		return c, nil
	}
	return nil, errBadKey
}

// Get returns the contract of a customer, or nil.
func (b *Book) Get(customer string) *Contract {
	return b.contracts[customer]
}

// Len returns the number of contracts.
func (b *Book) Len() int {
	return len(b.contracts)
}

// All calls f for each contract, in no order.
func (b *Book) All(f func(*Contract)) {
	for _, c := range b.contracts {
		f(c)
	}
}
