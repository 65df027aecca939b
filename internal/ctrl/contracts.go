package ctrl

import (
	"fmt"

	"github.com/greengagewheel/greengagewheel/internal/contr"
)

// putContract creates or updates a contract. A change ID that was applied before returns the earlier result and changes nothing.
func (s *State) putContract(cmd PutContract) Result {
	if res, ok := s.ChangeResults.Results[cmd.ChangeID]; ok {
		return res
	}
	return s.ChangeResults.store(cmd.ChangeID, s.storeContract(cmd), maxChangeResults)
}

// storeContract checks a contract against the current version, the other contracts' shares and their keys, and stores it.
func (s *State) storeContract(cmd PutContract) Result {
	old := s.Contracts[cmd.Contract.Customer]
	if res, ok := versionConflict(old, cmd.BaseVersion); ok {
		return res
	}
	if err := cmd.Contract.Check(); err != nil {
		return Result{Code: Invalid, Reason: err.Error()}
	}
	otherShares := s.totalShare
	if old != nil {
		otherShares -= old.Contract.TotalShare()
	}
	if err := cmd.Contract.CheckShares(otherShares); err != nil {
		return Result{Code: Invalid, Reason: err.Error()}
	}
	if owner := s.keyOwner(cmd.Contract); owner != "" {
		return Result{Code: Invalid, Reason: fmt.Sprintf("keys: one of them is in the contract of %s", owner)}
	}
	s.totalShare = otherShares + cmd.Contract.TotalShare()
	version := s.nextVersion()
	if old != nil {
		s.reindexKeys(&old.Contract, nil)
	}
	s.reindexKeys(nil, &cmd.Contract)
	s.Contracts[cmd.Contract.Customer] = &VersionedContract{Contract: cmd.Contract, ModVersion: version, Author: cmd.Author}
	delete(s.Tombstones, KindContract.itemID(cmd.Contract.Customer))
	return Result{Code: OK, Version: version, Author: cmd.Author}
}

// versionConflict returns a Conflict result and true if the contract's version differs from baseVersion.
func versionConflict(old *VersionedContract, baseVersion uint64) (Result, bool) {
	var version uint64
	var author string
	if old != nil {
		version, author = old.ModVersion, old.Author
	}
	if version == baseVersion {
		return Result{}, false
	}
	return Result{Code: Conflict, Reason: "the contract has changed", Version: version, Author: author}, true
}

// keyOwner returns the alphabetically first other customer that already uses one of the contract's keys, or "". The order by
// name keeps the result the same on all replicas.
func (s *State) keyOwner(c contr.Contract) string {
	owner := ""
	for _, key := range c.Keys {
		other := s.customerByKey[key]
		if other != "" && other != c.Customer && (owner == "" || other < owner) {
			owner = other
		}
	}
	return owner
}

// reindexKeys replaces the keys of the old contract in the key index by those of the current one; either may be nil.
func (s *State) reindexKeys(old, current *contr.Contract) {
	if old != nil {
		for _, key := range old.Keys {
			delete(s.customerByKey, key)
		}
	}
	if current != nil {
		for _, key := range current.Keys {
			s.customerByKey[key] = current.Customer
		}
	}
}

// dropContract deletes a contract. A change ID that was applied before returns the earlier result and changes nothing.
func (s *State) dropContract(cmd DropContract) Result {
	if res, ok := s.ChangeResults.Results[cmd.ChangeID]; ok {
		return res
	}
	return s.ChangeResults.store(cmd.ChangeID, s.removeContract(cmd), maxChangeResults)
}

// removeContract checks the version of a contract and removes it.
func (s *State) removeContract(cmd DropContract) Result {
	old := s.Contracts[cmd.Customer]
	if old == nil {
		return Result{Code: NotFound, Reason: "no such contract"}
	}
	if res, ok := versionConflict(old, cmd.BaseVersion); ok {
		return res
	}
	s.totalShare -= old.Contract.TotalShare()
	s.reindexKeys(&old.Contract, nil)
	delete(s.Contracts, cmd.Customer)
	version := s.tombstone(KindContract, cmd.Customer)
	return Result{Code: OK, Version: version, Author: cmd.Author}
}
