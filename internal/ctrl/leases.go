package ctrl

// register registers an instance or refreshes its registration. If an instance of this name has restarted, the leases of its
// previous boot are released.
func (s *State) register(inst Instance) Result {
	old := s.Instances[inst.Name]
	if old != nil && old.Instance == inst {
		old.LastSeenMS = s.NowMS
		return Result{Code: OK, Version: old.ModVersion}
	}
	if old != nil && old.Instance.Boot != inst.Boot {
		s.releaseLeases(old.Instance.Boot)
	}
	version := s.nextVersion()
	s.Instances[inst.Name] = &RegisteredInstance{Instance: inst, ModVersion: version, LastSeenMS: s.NowMS}
	delete(s.Tombstones, KindInstance.itemID(inst.Name))
	return Result{Code: OK, Version: version}
}

func (s *State) deregister(cmd Deregister) Result {
	old := s.Instances[cmd.Name]
	if old == nil || old.Instance.Boot != cmd.Boot {
		return Result{Code: NotFound, Reason: "no such instance"}
	}
	delete(s.Instances, cmd.Name)
	version := s.tombstone(KindInstance, cmd.Name)
	return Result{Code: OK, Version: version}
}

// acquireLease gives a cell's lease to the requester if its epoch is unchanged. The leader proposes this only if Machine.Lease finds
// the lease free; the epoch rules out that another requester has acquired it since.
func (s *State) acquireLease(cmd AcquireLease) Result {
	lease := s.Leases[cmd.Cell]
	if lease == nil {
		lease = &Lease{ModVersion: s.nextVersion(), Kind: cmd.Kind}
		s.Leases[cmd.Cell] = lease
	}
	if lease.Epoch != cmd.SeenEpoch {
		return Result{Code: Held, Epoch: lease.Epoch, Holder: lease.Holder}
	}
	*lease = Lease{Epoch: cmd.SeenEpoch + 1, Holder: cmd.Holder, ModVersion: lease.ModVersion, Kind: lease.Kind}
	return Result{Code: OK, Epoch: lease.Epoch, Holder: lease.Holder}
}

func (s *State) renewLeases(cmd RenewLeases) Result {
	if cmd.Release {
		s.releaseLeases(cmd.Boot)
	}
	var lost []string
	for _, cell := range cmd.Cells {
		if lease := s.Leases[cell]; lease == nil || lease.Holder.Boot != cmd.Boot || lease.Released {
			lost = append(lost, cell)
		}
	}
	return Result{Code: OK, LostCells: lost}
}

func (s *State) releaseLeases(boot string) {
	for _, lease := range s.Leases {
		if lease.Holder.Boot == boot {
			lease.Released = true
		}
	}
}
