package ctrl

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/greengagewheel/greengagewheel/internal/claim"
	"github.com/greengagewheel/greengagewheel/internal/roster"
)

// LeaseTerm is how long a cell's lease outlives its last renewal, on the leader's clock.
const LeaseTerm = 3 * time.Second

// Machine is the control state behind a lock, as the state machine of the log.
type Machine struct {
	mu    sync.RWMutex
	st    *State
	heard map[string]time.Time
	bad   int
	news  func()
}

// NewMachine returns a machine with an empty state.
func NewMachine() *Machine {
	return &Machine{st: NewState(), heard: map[string]time.Time{}}
}

// Apply carries out a coded command and returns its Result.
func (m *Machine) Apply(_ uint64, data []byte) any {
	var c Command
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := cbor.Unmarshal(data, &c); err != nil {
		m.bad++
		return Result{Code: Invalid, Reason: err.Error()}
	}
	before := m.st.Version
	res := m.st.Apply(c)
	m.hear(c, time.Now())
	if m.news != nil && m.st.Version != before {
		m.news()
	}
	return res
}

// OnChange sets what is called after each change of the configuration; it must not block.
func (m *Machine) OnChange(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.news = f
}

// hear notes on the own clock that leases were taken or renewed.
func (m *Machine) hear(c Command, now time.Time) {
	switch {
	case c.Lease != nil:
		m.heard[c.Lease.Cell] = now
	case c.Renew != nil && !c.Renew.Release:
		for _, cell := range c.Renew.Cells {
			if l := m.st.Leases[cell]; l != nil && l.Holder.Boot == c.Renew.Boot {
				m.heard[cell] = now
			}
		}
	}
}

// Snapshot returns the coded state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return cbor.Marshal(m.st)
}

// Restore replaces the state by a coded one; all leases count as just renewed.
func (m *Machine) Restore(data []byte) error {
	st := NewState()
	if err := cbor.Unmarshal(data, st); err != nil {
		return err
	}
	st.Restored()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.st = st
	for cell := range st.Leases {
		m.heard[cell] = time.Now()
	}
	return nil
}

// Reset empties the state.
func (m *Machine) Reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.st = NewState()
	clear(m.heard)
}

// Lease returns a cell's lease, and whether it may be taken: never held, given up, or not renewed for its term.
func (m *Machine) Lease(now time.Time, cell string) (Lease, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	l := m.st.Leases[cell]
	if l == nil {
		return Lease{}, true
	}
	return *l, l.Released || now.Sub(m.heard[cell]) > LeaseTerm
}

// Forget makes all leases count as just renewed, as a new leader cannot know when they were.
func (m *Machine) Forget(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for cell := range m.st.Leases {
		m.heard[cell] = now
	}
}

// Since returns the configuration items changed after a version, and the present version.
func (m *Machine) Since(version uint64) (items []Item, full bool, now uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	items, full = m.st.Since(version)
	return items, full, m.st.Version
}

// Contract returns a customer's contract with its version, or nil.
func (m *Machine) Contract(customer string) *Signed {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.st.Contracts[customer]
}

// Document returns the routing table in force as its operator sent it, and its version.
func (m *Machine) Document() (source []byte, version uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.st.Routing.Source, m.st.Routing.Version
}

// News reports whether an endpoint's announcement would change the state.
func (m *Machine) News(e roster.Endpoint) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.st.Roster.WouldChange(e)
}

// Endpoints returns the known endpoints behind routes.
func (m *Machine) Endpoints() []roster.Endpoint {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make([]roster.Endpoint, 0, len(m.st.Roster.Records))
	for _, e := range m.st.Roster.Records {
		out = append(out, e.Endpoint)
	}
	return out
}

// Claim returns the claim of a customer's key, or nil.
func (m *Machine) Claim(customer, key string) *claim.Record {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.st.Claims[claim.ID(customer, key)]
}

// Print returns what is known of a request's print; the zero value where it crashed nothing.
func (m *Machine) Print(print string) Print {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if p := m.st.Prints[print]; p != nil {
		return *p
	}
	return Print{}
}

// Spent returns what of each customer's ceiling is taken.
func (m *Machine) Spent() map[string]Spending {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make(map[string]Spending, len(m.st.Spent))
	for k, s := range m.st.Spent {
		out[k] = Spending{Period: s.Period, Taken: s.Taken}
	}
	return out
}

// Lost returns the instances that did not register for the given time.
func (m *Machine) Lost(age time.Duration) []Instance {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []Instance
	for _, i := range m.st.Instances {
		if m.st.Now-i.Seen > age.Milliseconds() {
			out = append(out, i.Instance)
		}
	}
	return out
}

// Desired returns the orders that are not yet carried out, by endpoint.
func (m *Machine) Desired() map[string]DesiredState {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := map[string]DesiredState{}
	for name, w := range m.st.Desired {
		out[name] = w.copy()
	}
	return out
}

// Counts returns the sizes of the state's parts.
func (m *Machine) Counts() map[string]int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return map[string]int{
		"contracts": len(m.st.Contracts), "instances": len(m.st.Instances), "claims": len(m.st.Claims),
		"leases": len(m.st.Leases), "prints": len(m.st.Prints),
	}
}
