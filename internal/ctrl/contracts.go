package ctrl

import (
	"fmt"

	"github.com/greengagewheel/greengagewheel/internal/contr"
)

func (s *State) put(p Put) Result {
	if r, ok := s.Changes.Results[p.Change]; ok {
		return r
	}
	return s.Changes.keep(p.Change, s.change(p), keptChanges)
}

func (s *State) change(p Put) Result {
	old := s.Contracts[p.Contract.Customer]
	if r, ok := passedBy(old, p.Expect); ok {
		return r
	}
	if err := p.Contract.Check(); err != nil {
		return Result{Code: Invalid, Reason: err.Error()}
	}
	others := s.share
	if old != nil {
		others -= old.Contract.TotalShare()
	}
	if err := p.Contract.CheckShares(others); err != nil {
		return Result{Code: Invalid, Reason: err.Error()}
	}
	if owner := s.keyOwner(p.Contract); owner != "" {
		return Result{Code: Invalid, Reason: fmt.Sprintf("keys: one of them is in the contract of %s", owner)}
	}
	s.share = others + p.Contract.TotalShare()
	mod := s.next()
	if old != nil {
		s.index(&old.Contract, nil)
	}
	s.index(nil, &p.Contract)
	s.Contracts[p.Contract.Customer] = &Signed{Contract: p.Contract, Mod: mod, Author: p.Author}
	delete(s.Gone, KindContract.id(p.Contract.Customer))
	return Result{Code: OK, Version: mod, Author: p.Author}
}

// passedBy tells of a conflict where the contract has changed since the expected version.
func passedBy(old *Signed, expect uint64) (Result, bool) {
	var now uint64
	var author string
	if old != nil {
		now, author = old.Mod, old.Author
	}
	if now == expect {
		return Result{}, false
	}
	return Result{Code: Conflict, Reason: "the contract has changed", Version: now, Author: author}, true
}

// keyOwner returns the first other customer, by name, that already has one of the contract's keys.
func (s *State) keyOwner(c contr.Contract) string {
	owner := ""
	for _, k := range c.Keys {
		o := s.keys[k]
		if o != "" && o != c.Customer && (owner == "" || o < owner) {
			owner = o
		}
	}
	return owner
}

// index replaces a customer's keys in the index by those of its present contract.
func (s *State) index(old, now *contr.Contract) {
	if old != nil {
		for _, k := range old.Keys {
			delete(s.keys, k)
		}
	}
	if now != nil {
		for _, k := range now.Keys {
			s.keys[k] = now.Customer
		}
	}
}

func (s *State) drop(d Drop) Result {
	if r, ok := s.Changes.Results[d.Change]; ok {
		return r
	}
	return s.Changes.keep(d.Change, s.remove(d), keptChanges)
}

func (s *State) remove(d Drop) Result {
	old := s.Contracts[d.Customer]
	if old == nil {
		return Result{Code: Missing, Reason: "no such contract"}
	}
	if r, ok := passedBy(old, d.Expect); ok {
		return r
	}
	s.share -= old.Contract.TotalShare()
	s.index(&old.Contract, nil)
	delete(s.Contracts, d.Customer)
	mod := s.tombstone(KindContract, d.Customer)
	return Result{Code: OK, Version: mod, Author: d.Author}
}
