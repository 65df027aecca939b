package ctrl

import (
	"github.com/greengagewheel/greengagewheel/internal/claim"
	"github.com/greengagewheel/greengagewheel/internal/contr"
	"github.com/greengagewheel/greengagewheel/internal/order"
	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

const (
	// maxChangeResults is the number of change IDs whose results are kept, so that a resent change is applied once.
	maxChangeResults = 20_000
	// maxSliceResults is the number of slice IDs whose results are kept, so that a resent slice is applied once.
	maxSliceResults = 20_000
	// maxCrashRecords is the number of crash records kept.
	maxCrashRecords = 10_000
	// crashesToQuarantine is the number of endpoint crashes after which a request is quarantined: refused by all instances.
	crashesToQuarantine = 2
)

type (
	// Lease is the right to schedule a cell. Epoch grows by one with each acquisition.
	Lease struct {
		Epoch    uint64     `json:"epoch"`
		Holder   Instance   `json:"holder"`
		Released bool       `json:"released,omitempty"`
		Mod      uint64     `json:"mod"`
		Kind     endpt.Kind `json:"kind,omitempty"`
	}

	// Signed is a contract with the version and author of its last change.
	Signed struct {
		Contract contr.Contract `json:"contract"`
		Mod      uint64         `json:"mod"`
		Author   string         `json:"author"`
	}

	// Spending is the part of a customer's spending ceiling that is allocated in a period, in micro-euros: Taken is the total, Out
	// the part of each holder.
	Spending struct {
		Period string           `json:"period"`
		Taken  int64            `json:"taken"`
		Out    map[string]int64 `json:"out"`
	}

	// Print records the crashes that a request caused; Boots holds the boot IDs of the endpoints that crashed.
	Print struct {
		Boots       []string `json:"boots"`
		Quarantined bool     `json:"quarantined"`
		Mod         uint64   `json:"mod"`
	}

	// DesiredState is the last value ordered from an engine for each kind of order. Fence is the fencing token of the last order,
	// Done that of the last order carried out.
	DesiredState struct {
		Fence uint64                `json:"fence"`
		Done  uint64                `json:"done"`
		Want  map[order.Kind]string `json:"want"`
	}

	// resultCache holds the results of recent commands by ID. Order lists the IDs from oldest to newest.
	resultCache struct {
		Order   []string          `json:"order"`
		Results map[string]Result `json:"results"`
	}

	// State is the whole control state. Now and Swept are Unix milliseconds, taken from the commands. Gone holds the versions of
	// tombstones by item ID, and Floor the version up to which tombstones may have been pruned.
	State struct {
		Version       uint64                   `json:"version"`
		Now           int64                    `json:"now"`
		Contracts     map[string]*Signed       `json:"contracts"`
		Instances     map[string]*Registered   `json:"instances"`
		Gone          map[string]uint64        `json:"gone"`
		Leases        map[string]*Lease        `json:"leases"`
		Claims        map[string]*claim.Record `json:"claims"`
		Spent         map[string]*Spending     `json:"spent"`
		Prints        map[string]*Print        `json:"prints"`
		Desired       map[string]*DesiredState `json:"desired"`
		Fence         uint64                   `json:"fence"`
		Changes       resultCache              `json:"changes"`
		Slices        resultCache              `json:"slices"`
		Swept         int64                    `json:"swept"`
		Floor         uint64                   `json:"floor"`
		Routing       Routing                  `json:"routing"`
		Roster        *roster.Roster           `json:"roster"`
		totalShare    int64
		customerByKey map[string]string
	}

	// Registered is a registered instance with the version of its registration. Seen is the time of its last registration in Unix
	// milliseconds.
	Registered struct {
		Instance Instance `json:"instance"`
		Mod      uint64   `json:"mod"`
		Seen     int64    `json:"seen"`
	}
)

func newResultCache() resultCache {
	return resultCache{Results: map[string]Result{}}
}

func (c *resultCache) store(id string, res Result, limit int) Result {
	c.Order = append(c.Order, id)
	c.Results[id] = res
	if len(c.Order) > limit {
		delete(c.Results, c.Order[0])
		c.Order = c.Order[1:]
	}
	return res
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		Contracts: map[string]*Signed{}, Instances: map[string]*Registered{}, Gone: map[string]uint64{},
		Leases: map[string]*Lease{}, Claims: map[string]*claim.Record{}, Spent: map[string]*Spending{},
		Prints: map[string]*Print{}, Desired: map[string]*DesiredState{}, Changes: newResultCache(), Slices: newResultCache(),
		Routing: newRouting(), Roster: roster.New(), customerByKey: map[string]string{},
	}
}

// Apply applies one command.
func (s *State) Apply(cmd Command) Result {
	s.Now = max(s.Now, cmd.At)
	s.expireClaims()
	switch {
	case cmd.Put != nil:
		return s.putContract(*cmd.Put)
	case cmd.Drop != nil:
		return s.dropContract(*cmd.Drop)
	case cmd.Register != nil:
		return s.register(*cmd.Register)
	case cmd.Deregister != nil:
		return s.deregister(*cmd.Deregister)
	case cmd.Lease != nil:
		return s.acquireLease(*cmd.Lease)
	case cmd.Renew != nil:
		return s.renewLeases(*cmd.Renew)
	case cmd.Claim != nil:
		return s.applyClaim(*cmd.Claim)
	case cmd.Slice != nil:
		return s.applySlice(*cmd.Slice)
	case cmd.Poison != nil:
		return s.recordCrash(*cmd.Poison)
	case cmd.Order != nil:
		return s.applyOrder(*cmd.Order)
	case cmd.Replace != nil:
		return s.replaceTable(*cmd.Replace)
	case cmd.Announce != nil:
		return s.announce(*cmd.Announce)
	case cmd.Exit != nil:
		return s.exit(*cmd.Exit)
	}
	return Result{Code: Invalid, Reason: "empty command"}
}

// nextVersion increments the configuration version and returns it.
func (s *State) nextVersion() uint64 {
	s.Version++
	return s.Version
}

func (s *State) applyClaim(cmd claim.Cmd) Result {
	id := claim.ID(cmd.Customer, cmd.Key)
	next, ok := claim.Next(s.Claims[id], cmd, s.Now)
	if !ok {
		return Result{Code: Held, Claim: s.Claims[id]}
	}
	s.Claims[id] = &next
	return Result{Code: OK, Claim: &next}
}

// expireClaims deletes claims whose retention has passed, at most once a minute of the commands' time. Open claims are kept.
func (s *State) expireClaims() {
	const sweepIntervalMS = 60_000
	if s.Now-s.Swept < sweepIntervalMS {
		return
	}
	s.Swept = s.Now
	for id, rec := range s.Claims {
		if rec.State != claim.Open && rec.Expired(s.Now) {
			delete(s.Claims, id)
		}
	}
}

// Restored rebuilds the indexes and sums that aren't encoded. It must be called after the state was decoded.
func (s *State) Restored() {
	s.Roster.Restored()
	s.totalShare = 0
	s.customerByKey = map[string]string{}
	for _, c := range s.Contracts {
		s.totalShare += c.Contract.Share()
		s.reindexKeys(nil, &c.Contract)
	}
}
