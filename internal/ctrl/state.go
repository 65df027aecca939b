package ctrl

import (
	"github.com/greengagewheel/greengagewheel/internal/claim"
	"github.com/greengagewheel/greengagewheel/internal/contr"
	"github.com/greengagewheel/greengagewheel/internal/order"
	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

const (
	// keptChanges is the number of change IDs whose results are kept for a resend.
	keptChanges = 20_000
	// keptSlices is the number of slice IDs kept for a resend.
	keptSlices = 20_000
	// keptPrints is the number of prints of requests that crashed an endpoint.
	keptPrints = 10_000
	// crashesToQuarantine is the number of endpoints that a request may crash before it is refused everywhere.
	crashesToQuarantine = 2
)

type (
	// Lease is who schedules a cell.
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

	// Spending is what of a customer's ceiling is taken in a period, in micro-euros.
	Spending struct {
		Period string           `json:"period"`
		Taken  int64            `json:"taken"`
		Out    map[string]int64 `json:"out"`
	}

	// Print is what is known of a request that crashed an endpoint.
	Print struct {
		Boots       []string `json:"boots"`
		Quarantined bool     `json:"quarantined"`
		Mod         uint64   `json:"mod"`
	}

	// DesiredState is what an engine was ordered to last, by kind.
	DesiredState struct {
		Fence uint64                `json:"fence"`
		Done  uint64                `json:"done"`
		Want  map[order.Kind]string `json:"want"`
	}

	// recent keeps the results of the last commands by ID, oldest first.
	recent struct {
		Order   []string          `json:"order"`
		Results map[string]Result `json:"results"`
	}

	// State is the whole control state.
	State struct {
		Version   uint64                   `json:"version"`
		Now       int64                    `json:"now"`
		Contracts map[string]*Signed       `json:"contracts"`
		Instances map[string]*Registered   `json:"instances"`
		Gone      map[string]uint64        `json:"gone"`
		Leases    map[string]*Lease        `json:"leases"`
		Claims    map[string]*claim.Record `json:"claims"`
		Spent     map[string]*Spending     `json:"spent"`
		Prints    map[string]*Print        `json:"prints"`
		Desired   map[string]*DesiredState `json:"desired"`
		Fence     uint64                   `json:"fence"`
		Changes   recent                   `json:"changes"`
		Slices    recent                   `json:"slices"`
		Swept     int64                    `json:"swept"`
		Floor     uint64                   `json:"floor"`
		Routing   Routing                  `json:"routing"`
		Roster    *roster.Roster           `json:"roster"`
		share     int64
		keys      map[string]string
	}

	// Registered is an instance with the version at which it was entered.
	Registered struct {
		Instance Instance `json:"instance"`
		Mod      uint64   `json:"mod"`
		Seen     int64    `json:"seen"`
	}
)

func newRecent() recent {
	return recent{Results: map[string]Result{}}
}

func (r *recent) keep(id string, res Result, limit int) Result {
	r.Order = append(r.Order, id)
	r.Results[id] = res
	if len(r.Order) > limit {
		delete(r.Results, r.Order[0])
		r.Order = r.Order[1:]
	}
	return res
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		Contracts: map[string]*Signed{}, Instances: map[string]*Registered{}, Gone: map[string]uint64{},
		Leases: map[string]*Lease{}, Claims: map[string]*claim.Record{}, Spent: map[string]*Spending{},
		Prints: map[string]*Print{}, Desired: map[string]*DesiredState{}, Changes: newRecent(), Slices: newRecent(),
		Routing: newRouting(), Roster: roster.New(), keys: map[string]string{},
	}
}

// Apply carries out one command.
func (s *State) Apply(c Command) Result {
	s.Now = max(s.Now, c.At)
	s.sweep()
	switch {
	case c.Put != nil:
		return s.put(*c.Put)
	case c.Drop != nil:
		return s.drop(*c.Drop)
	case c.Register != nil:
		return s.register(*c.Register)
	case c.Deregister != nil:
		return s.deregister(*c.Deregister)
	case c.Lease != nil:
		return s.acquire(*c.Lease)
	case c.Renew != nil:
		return s.renew(*c.Renew)
	case c.Claim != nil:
		return s.claim(*c.Claim)
	case c.Slice != nil:
		return s.slice(*c.Slice)
	case c.Poison != nil:
		return s.poison(*c.Poison)
	case c.Order != nil:
		return s.order(*c.Order)
	case c.Replace != nil:
		return s.replace(*c.Replace)
	case c.Announce != nil:
		return s.announce(*c.Announce)
	case c.Exit != nil:
		return s.exit(*c.Exit)
	}
	return Result{Code: Invalid, Reason: "empty command"}
}

// next counts the version of the configuration up.
func (s *State) next() uint64 {
	s.Version++
	return s.Version
}

func (s *State) claim(c claim.Cmd) Result {
	id := claim.ID(c.Customer, c.Key)
	next, ok := claim.Next(s.Claims[id], c, s.Now)
	if !ok {
		return Result{Code: Held, Claim: s.Claims[id]}
	}
	s.Claims[id] = &next
	return Result{Code: OK, Claim: &next}
}

// sweep forgets claims whose retention is over, at most once a minute of the log's time.
func (s *State) sweep() {
	const everyMs = 60_000
	if s.Now-s.Swept < everyMs {
		return
	}
	s.Swept = s.Now
	for id, r := range s.Claims {
		if r.State != claim.Open && r.Expired(s.Now) {
			delete(s.Claims, id)
		}
	}
}

// Restored rebuilds what is derived from the state after it was decoded.
func (s *State) Restored() {
	s.Roster.RebuildIndex()
	s.share = 0
	s.keys = map[string]string{}
	for _, c := range s.Contracts {
		s.share += c.Contract.TotalShare()
		s.index(nil, &c.Contract)
	}
}
