package ctrl

import (
	"fmt"

	"github.com/greengagewheel/greengagewheel/internal/claim"
	"github.com/greengagewheel/greengagewheel/internal/contr"
	"github.com/greengagewheel/greengagewheel/internal/order"
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
		Epoch    uint64   `json:"epoch"`
		Holder   Instance `json:"holder"`
		Released bool     `json:"released,omitempty"`
		Mod      uint64   `json:"mod"`
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

	// Wish is what an engine was ordered to last, by kind.
	Wish struct {
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
		Instances map[string]*Enlisted     `json:"instances"`
		Gone      map[string]uint64        `json:"gone"`
		Leases    map[string]*Lease        `json:"leases"`
		Claims    map[string]*claim.Record `json:"claims"`
		Spent     map[string]*Spending     `json:"spent"`
		Prints    map[string]*Print        `json:"prints"`
		Wishes    map[string]*Wish         `json:"wishes"`
		Fence     uint64                   `json:"fence"`
		Changes   recent                   `json:"changes"`
		Slices    recent                   `json:"slices"`
		Swept     int64                    `json:"swept"`
		Floor     uint64                   `json:"floor"`
		share     int64
		keys      map[string]string
	}

	// Enlisted is an instance with the version at which it was entered.
	Enlisted struct {
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
		Contracts: map[string]*Signed{}, Instances: map[string]*Enlisted{}, Gone: map[string]uint64{},
		Leases: map[string]*Lease{}, Claims: map[string]*claim.Record{}, Spent: map[string]*Spending{},
		Prints: map[string]*Print{}, Wishes: map[string]*Wish{}, Changes: newRecent(), Slices: newRecent(),
		keys: map[string]string{},
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
	case c.Enlist != nil:
		return s.enlist(*c.Enlist)
	case c.Strike != nil:
		return s.strike(*c.Strike)
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
	}
	return Result{Code: Invalid, Reason: "empty command"}
}

// next counts the version of the configuration up.
func (s *State) next() uint64 {
	s.Version++
	return s.Version
}

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
		others -= old.Contract.Share()
	}
	if err := p.Contract.Fits(others); err != nil {
		return Result{Code: Invalid, Reason: err.Error()}
	}
	if owner := s.keyOwner(p.Contract); owner != "" {
		return Result{Code: Invalid, Reason: fmt.Sprintf("keys: one of them is in the contract of %s", owner)}
	}
	s.share = others + p.Contract.Share()
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
	s.share -= old.Contract.Share()
	s.index(&old.Contract, nil)
	delete(s.Contracts, d.Customer)
	mod := s.bury(KindContract, d.Customer)
	return Result{Code: OK, Version: mod, Author: d.Author}
}

func (s *State) enlist(i Instance) Result {
	old := s.Instances[i.Name]
	if old != nil && old.Instance == i {
		old.Seen = s.Now
		return Result{Code: OK, Version: old.Mod}
	}
	if old != nil && old.Instance.Boot != i.Boot {
		s.release(old.Instance.Boot)
	}
	mod := s.next()
	s.Instances[i.Name] = &Enlisted{Instance: i, Mod: mod, Seen: s.Now}
	delete(s.Gone, KindInstance.id(i.Name))
	return Result{Code: OK, Version: mod}
}

func (s *State) strike(k Strike) Result {
	old := s.Instances[k.Name]
	if old == nil || old.Instance.Boot != k.Boot {
		return Result{Code: Missing, Reason: "no such instance"}
	}
	delete(s.Instances, k.Name)
	mod := s.bury(KindInstance, k.Name)
	return Result{Code: OK, Version: mod}
}

func (s *State) acquire(a Acquire) Result {
	l := s.Leases[a.Cell]
	if l == nil {
		l = &Lease{Mod: s.next()}
		s.Leases[a.Cell] = l
	}
	if l.Epoch != a.Seen {
		return Result{Code: Held, Epoch: l.Epoch, Holder: l.Holder}
	}
	*l = Lease{Epoch: a.Seen + 1, Holder: a.Holder, Mod: l.Mod}
	return Result{Code: OK, Epoch: l.Epoch, Holder: l.Holder}
}

func (s *State) renew(r Renew) Result {
	if r.Release {
		s.release(r.Boot)
	}
	var lost []string
	for _, cell := range r.Cells {
		if l := s.Leases[cell]; l == nil || l.Holder.Boot != r.Boot || l.Released {
			lost = append(lost, cell)
		}
	}
	return Result{Code: OK, Lost: lost}
}

func (s *State) release(boot string) {
	for _, l := range s.Leases {
		if l.Holder.Boot == boot {
			l.Released = true
		}
	}
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

func (s *State) slice(q Slice) Result {
	if r, ok := s.Slices.Results[q.ID]; ok {
		return r
	}
	return s.Slices.keep(q.ID, s.spend(q), keptSlices)
}

func (s *State) spend(q Slice) Result {
	signed := s.Contracts[q.Customer]
	if signed == nil {
		return Result{Code: Missing, Reason: "no such contract"}
	}
	sp := s.Spent[q.Customer]
	if sp == nil || sp.Period < q.Period {
		sp = &Spending{Period: q.Period, Out: map[string]int64{}}
		s.Spent[q.Customer] = sp
	}
	if sp.Period != q.Period {
		return Result{Code: Conflict, Reason: "the period is over"}
	}
	back := min(q.Return, sp.Out[q.Holder])
	sp.Out[q.Holder] -= back
	sp.Taken -= back
	if sp.Out[q.Holder] == 0 {
		delete(sp.Out, q.Holder)
	}
	got := q.Take
	if ceiling := signed.Contract.Ceiling; ceiling > 0 {
		got = max(min(got, ceiling-sp.Taken), 0)
	}
	if got == 0 && q.Take > 0 {
		return Result{Code: Ceiling, Reason: "the spending ceiling is reached"}
	}
	if got > 0 {
		sp.Out[q.Holder] += got
	}
	sp.Taken += got
	return Result{Code: OK, Amount: got}
}

func (s *State) poison(p Poison) Result {
	old := s.Prints[p.Print]
	if p.Clear {
		if old != nil && !old.Quarantined {
			delete(s.Prints, p.Print)
			s.bury(KindPrint, p.Print)
		}
		return Result{Code: OK, Version: s.Version}
	}
	if old == nil {
		if len(s.Prints) >= keptPrints {
			s.forgetOldestPrint()
		}
		old = &Print{}
		s.Prints[p.Print] = old
		delete(s.Gone, KindPrint.id(p.Print))
	}
	for _, b := range old.Boots {
		if b == p.Boot {
			return Result{Code: OK, Version: old.Mod}
		}
	}
	old.Boots = append(old.Boots, p.Boot)
	old.Quarantined = len(old.Boots) >= crashesToQuarantine
	old.Mod = s.next()
	return Result{Code: OK, Version: old.Mod}
}

func (s *State) forgetOldestPrint() {
	oldest := ""
	for k, p := range s.Prints {
		if oldest == "" || p.Mod < s.Prints[oldest].Mod {
			oldest = k
		}
	}
	delete(s.Prints, oldest)
	s.bury(KindPrint, oldest)
}

func (s *State) order(o Order) Result {
	w := s.Wishes[o.Endpoint]
	if o.Done > 0 {
		if w != nil && o.Done == w.Fence {
			w.Done = o.Done
		}
		return Result{Code: OK}
	}
	if r, ok := s.Changes.Results[o.ID]; ok {
		return r
	}
	if w == nil {
		w = &Wish{Want: map[order.Kind]string{}}
		s.Wishes[o.Endpoint] = w
	}
	s.Fence++
	w.Fence = s.Fence
	w.Want[o.Kind] = o.Value
	return s.Changes.keep(o.ID, Result{Code: OK, Fence: s.Fence}, keptChanges)
}

// Restored rebuilds what is derived from the state after it was decoded.
func (s *State) Restored() {
	s.share = 0
	s.keys = map[string]string{}
	for _, c := range s.Contracts {
		s.share += c.Contract.Share()
		s.index(nil, &c.Contract)
	}
}

func (w *Wish) copy() Wish {
	out := Wish{Fence: w.Fence, Done: w.Done, Want: map[order.Kind]string{}}
	for k, v := range w.Want {
		out.Want[k] = v
	}
	return out
}
