package contr

import (
	"crypto/sha256"
	"encoding/hex"
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
	b := &Book{Version: version, contracts: contracts, keys: map[[keyBytes]byte]*Contract{}}
	for _, c := range contracts {
		for _, k := range c.Keys {
			var sum [keyBytes]byte
			_, _ = hex.Decode(sum[:], []byte(k[len(keyPrefix):]))
			b.keys[sum] = c
		}
	}
	return b
}

// Hash returns the form in which a contract stores a caller's key.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyPrefix + hex.EncodeToString(sum[:])
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
