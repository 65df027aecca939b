package quorum

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/greengagewheel/greengagewheel/internal/claim"
	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/group"
	"github.com/greengagewheel/greengagewheel/internal/repl"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

type (
	// Proposal is a command for the leader.
	Proposal struct {
		Command ctrl.Command `json:"command"`
	}

	// Outcome answers a proposal; with Lead unset the answer is that of a replica that does not lead.
	Outcome struct {
		Lead   bool           `json:"lead"`
		Leader netip.AddrPort `json:"leader"`
		Result ctrl.Result    `json:"result"`
	}

	// Holder asks who schedules a cell; who asks takes the lease if it is free. Create allows a cell that never was, for
	// endpoints of Kind; Decline only asks, as one that stops does.
	Holder struct {
		Cell    string        `json:"cell"`
		Asker   ctrl.Instance `json:"asker"`
		Create  bool          `json:"create,omitempty"`
		Kind    endpt.Kind    `json:"kind,omitempty"`
		Decline bool          `json:"decline,omitempty"`
	}

	// Query asks the leader for a part of the control state.
	Query struct {
		Customer string `json:"customer,omitempty"`
		Key      string `json:"key,omitempty"`
		Print    string `json:"print,omitempty"`
		Least    bool   `json:"least,omitempty"`
		Document bool   `json:"document,omitempty"`
	}

	// View answers a query.
	View struct {
		Lead     bool                         `json:"lead"`
		Leader   netip.AddrPort               `json:"leader"`
		Contract *ctrl.VersionedContract      `json:"contract,omitempty"`
		Claim    *claim.Record                `json:"claim,omitempty"`
		Print    ctrl.Crash                   `json:"print"`
		Spent    map[string]ctrl.Spending     `json:"spent,omitempty"`
		Desired  map[string]ctrl.DesiredState `json:"desired,omitempty"`
		Counts   map[string]int               `json:"counts,omitempty"`
		Least    uint64                       `json:"least,omitempty"`
		Members  int                          `json:"members,omitempty"`
		Status   repl.Status                  `json:"status"`
		Document []byte                       `json:"document,omitempty"`
	}

	// Server serves the control state on a replica.
	Server struct {
		group   *group.Group
		machine *ctrl.Machine
		least   func(now time.Time) (uint64, int)
		mu      sync.Mutex
		term    uint64
	}
)

// Check returns an error for a proposal whose command is broken.
func (p *Proposal) Check() error {
	return p.Command.Check()
}

// NewServer returns a server over a replica; least tells the least configuration version applied on all instances.
func NewServer(g *group.Group, m *ctrl.Machine, least func(time.Time) (uint64, int)) *Server {
	return &Server{group: g, machine: m, least: least}
}

// away is the answer of a replica that does not lead.
func (s *Server) away() Outcome {
	m, _ := s.group.Leader()
	return Outcome{Leader: m.Addr}
}

// Propose commits a command under the leader's time.
func (s *Server) Propose(ctx context.Context, p Proposal) (Outcome, error) {
	p.Command.ProposedAtMS = time.Now().UnixMilli()
	data, err := cbor.Marshal(p.Command)
	if err != nil {
		return Outcome{}, err
	}
	v, err := s.group.Propose(ctx, data)
	if errors.Is(err, repl.ErrNotLeader) {
		return s.away(), nil
	}
	if err != nil {
		return Outcome{}, err
	}
	res, _ := v.(ctrl.Result)
	return Outcome{Lead: true, Result: res}, nil
}

// Holder returns a cell's holder, and gives the lease to the asker where it is free.
func (s *Server) Holder(ctx context.Context, h Holder) (Outcome, error) {
	st := s.group.Status()
	if st.Role != repl.Leader.String() {
		return s.away(), nil
	}
	now := time.Now()
	s.noteTerm(now, st.Term)
	l, free := s.machine.Lease(now, h.Cell)
	if !free {
		return Outcome{Lead: true, Result: ctrl.Result{Code: ctrl.Held, Epoch: l.Epoch, Holder: l.Holder}}, nil
	}
	if l.Epoch == 0 && !h.Create {
		return Outcome{Lead: true, Result: ctrl.Result{Code: ctrl.NotFound, Reason: "no endpoint ever served " + h.Cell}}, nil
	}
	if h.Decline {
		return Outcome{Lead: true, Result: ctrl.Result{Code: ctrl.Held, Epoch: l.Epoch}}, nil
	}
	cmd := ctrl.Command{AcquireLease: &ctrl.AcquireLease{Cell: h.Cell, SeenEpoch: l.Epoch, Holder: h.Asker, Kind: h.Kind}}
	return s.Propose(ctx, Proposal{Command: cmd})
}

// noteTerm starts all leases anew at the first look in a term that this replica leads.
func (s *Server) noteTerm(now time.Time, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != term {
		s.term = term
		s.machine.RestartLeaseTerms(now)
	}
}

// Read answers a query after a quorum has proved that this replica leads.
func (s *Server) Read(ctx context.Context, q Query) (View, error) {
	_, err := s.group.Confirm(ctx)
	if errors.Is(err, repl.ErrNotLeader) {
		return View{Leader: s.away().Leader, Status: s.group.Status()}, nil
	}
	if err != nil {
		return View{}, err
	}
	v := View{Lead: true, Status: s.group.Status()}
	v.Least, v.Members = s.least(clock.Now())
	switch {
	case q.Least:
	case q.Document:
		v.Document, _ = s.machine.TableDocument()
	case q.Print != "":
		v.Print = s.machine.Crash(q.Print)
	case q.Key != "":
		v.Claim = s.machine.Claim(q.Customer, q.Key)
	case q.Customer != "":
		v.Contract = s.machine.Contract(q.Customer)
	default:
		v.Spent, v.Desired, v.Counts = s.machine.Spending(), s.machine.DesiredStates(), s.machine.Counts()
	}
	return v, nil
}
