package ctrl

import (
	"github.com/greengagewheel/greengagewheel/internal/blame"
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
	// maxCrashRecords is the number of crash records kept; the one modified longest ago is evicted first.
	maxCrashRecords = 10_000
	// crashesToQuarantine is the number of endpoint crashes after which a request is quarantined: refused by all instances.
	crashesToQuarantine = 2
)

type (
	// Lease is the right to schedule a cell. Epoch grows by one with each acquisition.
	Lease struct {
		Epoch      uint64     `json:"epoch"`
		Holder     Instance   `json:"holder"`
		Released   bool       `json:"released,omitempty"`
		ModVersion uint64     `json:"mod"`
		Kind       endpt.Kind `json:"kind,omitempty"`
	}

	// VersionedContract is a contract with the version and author of its last change.
	VersionedContract struct {
		Contract   contr.Contract `json:"contract"`
		ModVersion uint64         `json:"mod"`
		Author     string         `json:"author"`
	}

	// Spending is the part of a customer's spending ceiling that is allocated in a period, in micro-euros. ByHolder holds what each
	// holder has been granted and hasn't returned.
	Spending struct {
		Period    string           `json:"period"`
		Allocated int64            `json:"taken"`
		ByHolder  map[string]int64 `json:"out"`
	}

	// Crash records the crashes that a request caused; Boots holds the boot IDs of the endpoints that crashed.
	Crash struct {
		Boots       []string `json:"boots"`
		Quarantined bool     `json:"quarantined"`
		ModVersion  uint64   `json:"mod"`
	}

	// DesiredState is the last value ordered from an engine for each kind of order. Fence is the fencing token of the last order,
	// DoneFence that of the last order carried out.
	DesiredState struct {
		Fence     uint64                `json:"fence"`
		DoneFence uint64                `json:"done"`
		Values    map[order.Kind]string `json:"want"`
	}

	// resultCache holds the results of recent commands by ID. IDs lists the IDs from oldest to newest.
	resultCache struct {
		IDs     []string          `json:"order"`
		Results map[string]Result `json:"results"`
	}

	// State is the whole control state.
	State struct {
		// Version is the version of the configuration.
		Version uint64 `json:"version"`
		// NowMS is the latest time of a command, in Unix milliseconds.
		NowMS     int64                          `json:"now"`
		Contracts map[string]*VersionedContract  `json:"contracts"`
		Instances map[string]*RegisteredInstance `json:"instances"`
		// Tombstones holds the versions of deletions by item ID.
		Tombstones map[string]uint64 `json:"gone"`
		// Leases is indexed by cell.
		Leases map[string]*Lease `json:"leases"`
		// Claims is indexed by claim.ID.
		Claims map[string]*claim.Record `json:"claims"`
		// Spending is indexed by customer.
		Spending map[string]*Spending `json:"spent"`
		// Crashes is indexed by request fingerprint.
		Crashes map[string]*Crash `json:"prints"`
		// Blame is what is known against prompt parts, PartVersions the version of the last change of each part's record.
		Blame        blame.Tracker     `json:"blame"`
		PartVersions map[uint64]uint64 `json:"partVersions"`
		// DesiredStates is indexed by endpoint.
		DesiredStates map[string]*DesiredState `json:"desired"`
		// Fence is the last fencing token given to an order.
		Fence         uint64      `json:"fence"`
		ChangeResults resultCache `json:"changes"`
		SliceResults  resultCache `json:"slices"`
		// LastExpiryMS is the time at which claims were last expired, in Unix milliseconds taken from the commands.
		LastExpiryMS int64 `json:"swept"`
		// PrunedVersion is the version up to which tombstones have been pruned.
		PrunedVersion uint64         `json:"floor"`
		Routing       Routing        `json:"routing"`
		Roster        *roster.Roster `json:"roster"`
		// Duties is indexed by duty and subject.
		Duties map[string]DutyRecord `json:"duties,omitempty"`
		Usage  Usage                 `json:"usage,omitzero"`
		// ScaleOrders is indexed by service, zone and kind.
		ScaleOrders map[string]ScaleOrder `json:"scale,omitempty"`
		// totalShare is the sum of the guaranteed shares of all contracts, in thousandths of a percent.
		totalShare int64
		// customerByKey holds the customer of each API key, by the hash of the key.
		customerByKey map[string]string
	}

	// RegisteredInstance is a registered instance with the version of its registration. LastSeenMS is the time of its last
	// registration in Unix milliseconds.
	RegisteredInstance struct {
		Instance   Instance `json:"instance"`
		ModVersion uint64   `json:"mod"`
		LastSeenMS int64    `json:"seen"`
	}
)

func newResultCache() resultCache {
	return resultCache{Results: map[string]Result{}}
}

func (c *resultCache) store(id string, res Result, limit int) Result {
	c.IDs = append(c.IDs, id)
	c.Results[id] = res
	if len(c.IDs) > limit {
		delete(c.Results, c.IDs[0])
		c.IDs = c.IDs[1:]
	}
	return res
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		Contracts: map[string]*VersionedContract{}, Instances: map[string]*RegisteredInstance{}, Tombstones: map[string]uint64{},
		Leases: map[string]*Lease{}, Claims: map[string]*claim.Record{}, Spending: map[string]*Spending{},
		Crashes: map[string]*Crash{}, Blame: blame.NewTracker(), PartVersions: map[uint64]uint64{},
		DesiredStates: map[string]*DesiredState{}, ChangeResults: newResultCache(), SliceResults: newResultCache(),
		Routing: newRouting(), Roster: roster.New(), Duties: map[string]DutyRecord{}, ScaleOrders: map[string]ScaleOrder{},
		customerByKey: map[string]string{},
	}
}

// Apply applies the command of the log entry at index.
func (s *State) Apply(index uint64, cmd Command) Result {
	s.NowMS = max(s.NowMS, cmd.ProposedAtMS)
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
	case cmd.AcquireLease != nil:
		return s.acquireLease(*cmd.AcquireLease)
	case cmd.RenewLeases != nil:
		return s.renewLeases(*cmd.RenewLeases)
	case cmd.Claim != nil:
		return s.applyClaim(*cmd.Claim)
	case cmd.SpendingSlice != nil:
		return s.applySlice(*cmd.SpendingSlice)
	case cmd.CrashReport != nil:
		return s.recordCrash(*cmd.CrashReport)
	case len(cmd.PartReports) > 0:
		return s.recordPartReports(cmd.ProposedAtMS, cmd.PartReports)
	case cmd.PartTrial != nil:
		return s.grantPartTrial(*cmd.PartTrial)
	case cmd.LiftPart != nil:
		return s.liftPart(cmd.LiftPart.Part)
	case cmd.Order != nil:
		return s.applyOrder(*cmd.Order)
	case cmd.ReplaceTable != nil:
		return s.replaceTable(*cmd.ReplaceTable)
	case cmd.Announce != nil:
		return s.announceEndpoint(*cmd.Announce)
	case cmd.RemoveEndpoint != nil:
		return s.removeEndpoint(*cmd.RemoveEndpoint)
	case cmd.TakeDuty != nil:
		return s.takeDuty(index, *cmd.TakeDuty)
	case cmd.FixUsage != nil:
		return s.fixUsage(*cmd.FixUsage)
	case cmd.ScaleOrder != nil:
		return s.orderEndpoints(*cmd.ScaleOrder)
	}
	return Result{Code: Invalid, Reason: "empty command"}
}

// nextVersion increments the configuration version and returns it.
func (s *State) nextVersion() uint64 {
	s.Version++
	return s.Version
}

func (s *State) applyClaim(cmd claim.Command) Result {
	id := claim.ID(cmd.Customer, cmd.Key)
	next, ok := claim.Next(s.Claims[id], cmd, s.NowMS)
	if !ok {
		return Result{Code: Held, Claim: s.Claims[id]}
	}
	s.Claims[id] = &next
	return Result{Code: OK, Claim: &next}
}

// expireClaims deletes claims whose retention has passed, at most once a minute of the commands' time. Open claims are kept.
func (s *State) expireClaims() {
	const sweepIntervalMS = 60_000
	if s.NowMS-s.LastExpiryMS < sweepIntervalMS {
		return
	}
	s.LastExpiryMS = s.NowMS
	for id, rec := range s.Claims {
		if rec.State != claim.Open && rec.Expired(s.NowMS) {
			delete(s.Claims, id)
		}
	}
}

// RebuildIndexes rebuilds the indexes and sums that aren't encoded. It must be called after the state was decoded.
func (s *State) RebuildIndexes() {
	s.Roster.RebuildIndex()
	s.totalShare = 0
	s.customerByKey = map[string]string{}
	for _, c := range s.Contracts {
		s.totalShare += c.Contract.TotalShare()
		s.reindexKeys(nil, &c.Contract)
	}
}
