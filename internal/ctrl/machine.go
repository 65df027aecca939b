package ctrl

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/greengagewheel/greengagewheel/internal/blame"
	"github.com/greengagewheel/greengagewheel/internal/claim"
	"github.com/greengagewheel/greengagewheel/internal/roster"
)

// LeaseTerm is the time after its last renewal at which a lease expires, on the leader's clock.
const LeaseTerm = 3 * time.Second

// Machine is the state machine of the replicated log: a State that is safe for concurrent use, with the local time of each
// lease's last renewal.
type Machine struct {
	// mu guards the fields below.
	mu    sync.RWMutex
	state *State
	// renewedAt is the local time of each lease's last renewal, by cell.
	renewedAt map[string]time.Time
	// undecodable is the number of commands that could not be decoded.
	undecodable int
	onChange    func()
}

// NewMachine returns a machine with an empty state.
func NewMachine() *Machine {
	return &Machine{state: NewState(), renewedAt: map[string]time.Time{}}
}

// Apply decodes the command of the log entry at index, applies it and returns its Result.
func (m *Machine) Apply(index uint64, data []byte) any {
	var cmd Command
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := cbor.Unmarshal(data, &cmd); err != nil {
		m.undecodable++
		return Result{Code: Invalid, Reason: err.Error()}
	}
	oldVersion := m.state.Version
	res := m.state.Apply(index, cmd)
	m.recordRenewals(cmd, time.Now())
	if m.onChange != nil && m.state.Version != oldVersion {
		m.onChange()
	}
	return res
}

// OnChange sets the function called after each change of the configuration. It is called with the lock held, so it must not
// block or call the Machine.
func (m *Machine) OnChange(notify func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onChange = notify
}

// recordRenewals records the local time at which leases were acquired or renewed.
func (m *Machine) recordRenewals(cmd Command, now time.Time) {
	switch {
	case cmd.AcquireLease != nil:
		m.renewedAt[cmd.AcquireLease.Cell] = now
	case cmd.RenewLeases != nil && !cmd.RenewLeases.Release:
		for _, cell := range cmd.RenewLeases.Cells {
			if lease := m.state.Leases[cell]; lease != nil && lease.Holder.Boot == cmd.RenewLeases.Boot {
				m.renewedAt[cell] = now
			}
		}
	}
}

// Snapshot returns the state in CBOR.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return cbor.Marshal(m.state)
}

// Restore replaces the state by a snapshot. All leases count as just renewed, as the snapshot doesn't hold renewal times.
func (m *Machine) Restore(data []byte) error {
	state := NewState()
	if err := cbor.Unmarshal(data, state); err != nil {
		return err
	}
	state.RebuildIndexes()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
	for cell := range state.Leases {
		m.renewedAt[cell] = time.Now()
	}
	return nil
}

// Reset replaces the state by an empty one.
func (m *Machine) Reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = NewState()
	clear(m.renewedAt)
}

// Lease returns a cell's lease and whether it can be acquired: it was never held, was released, or has expired.
func (m *Machine) Lease(now time.Time, cell string) (Lease, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	lease := m.state.Leases[cell]
	if lease == nil {
		return Lease{}, true
	}
	return *lease, lease.Released || now.Sub(m.renewedAt[cell]) > LeaseTerm
}

// MarkLeasesRenewed makes all leases count as renewed at now. A new leader calls it, as it can't know when they were last renewed.
func (m *Machine) MarkLeasesRenewed(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for cell := range m.state.Leases {
		m.renewedAt[cell] = now
	}
}

// Since is State.Since; it also returns the current version.
func (m *Machine) Since(version uint64) (items []Item, full bool, current uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	items, full = m.state.Since(version)
	return items, full, m.state.Version
}

// Contract returns a customer's contract with its version, or nil.
func (m *Machine) Contract(customer string) *VersionedContract {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Contracts[customer]
}

// TableDocument returns the current routing table as the operator submitted it, and its version.
func (m *Machine) TableDocument() (source []byte, version uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Routing.Source, m.state.Routing.Version
}

// AnnouncementSteps returns the announcements to commit for one of an endpoint, none if it would not change the state.
func (m *Machine) AnnouncementSteps(e roster.Endpoint) []roster.Endpoint {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Roster.Steps(e)
}

// Endpoints returns the known endpoints of the services in the routing table, in no particular order.
func (m *Machine) Endpoints() []roster.Endpoint {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make([]roster.Endpoint, 0, len(m.state.Roster.Records))
	for _, e := range m.state.Roster.Records {
		out = append(out, e.Endpoint)
	}
	return out
}

// Claim returns the claim on a customer's idempotency key, or nil.
func (m *Machine) Claim(customer, key string) *claim.Record {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Claims[claim.ID(customer, key)]
}

// Crash returns the crash record of a request fingerprint, or the zero value if the request crashed no endpoint.
func (m *Machine) Crash(fingerprint string) Crash {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if rec := m.state.Crashes[fingerprint]; rec != nil {
		return *rec
	}
	return Crash{}
}

// Parts returns what is known against prompt parts.
func (m *Machine) Parts() blame.Records {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make(blame.Records, len(m.state.Blame.Records))
	for part, rec := range m.state.Blame.Records {
		out[part] = rec.Clone()
	}
	return out
}

// Duties returns the last holder of each duty and subject, in no particular order.
func (m *Machine) Duties() []DutyRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Collect(maps.Values(m.state.Duties))
}

// Spending returns the allocated part of each customer's spending ceiling, without the parts by holder.
func (m *Machine) Spending() map[string]Spending {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make(map[string]Spending, len(m.state.Spending))
	for customer, spending := range m.state.Spending {
		out[customer] = Spending{Period: spending.Period, Allocated: spending.Allocated}
	}
	return out
}

// SilentInstances returns the instances whose last registration is older than maxSilence.
func (m *Machine) SilentInstances(maxSilence time.Duration) []Instance {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []Instance
	for _, inst := range m.state.Instances {
		if m.state.NowMS-inst.LastSeenMS > maxSilence.Milliseconds() {
			out = append(out, inst.Instance)
		}
	}
	return out
}

// DesiredStates returns the desired state of each engine, by endpoint.
func (m *Machine) DesiredStates() map[string]DesiredState {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := map[string]DesiredState{}
	for name, desired := range m.state.DesiredStates {
		out[name] = desired.clone()
	}
	return out
}

// Counts returns the number of records of each type.
func (m *Machine) Counts() map[string]int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return map[string]int{
		"contracts": len(m.state.Contracts), "instances": len(m.state.Instances), "claims": len(m.state.Claims),
		"leases": len(m.state.Leases), "prints": len(m.state.Crashes), "parts": len(m.state.Blame.Records),
	}
}
