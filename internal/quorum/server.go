package quorum

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/greengagewheel/greengagewheel/internal/blame"
	"github.com/greengagewheel/greengagewheel/internal/claim"
	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/group"
	"github.com/greengagewheel/greengagewheel/internal/repl"
	"github.com/greengagewheel/greengagewheel/internal/scale"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

type (
	// Proposal is a request to commit a command.
	Proposal struct {
		Command ctrl.Command `json:"command"`
	}

	// Response is the response to a Proposal or HolderRequest. If IsLeader is false the replica is not the leader, and only Leader
	// is set; otherwise only Result is.
	Response struct {
		IsLeader bool `json:"lead"`
		// Leader is the address of the replica believed to be the leader, or an invalid address.
		Leader netip.AddrPort `json:"leader"`
		Result ctrl.Result    `json:"result"`
	}

	// HolderRequest asks which instance holds a cell's lease; Requester acquires it if it is free.
	HolderRequest struct {
		Cell      string        `json:"cell"`
		Requester ctrl.Instance `json:"asker"`
		// Create allows a cell that does not exist yet, for endpoints of Kind.
		Create bool       `json:"create,omitempty"`
		Kind   endpt.Kind `json:"kind,omitempty"`
		// QueryOnly leaves a free lease as it is; a stopping instance sets it.
		QueryOnly bool `json:"decline,omitempty"`
	}

	// Query selects a part of the control state. If no field is set, the result has spending, desired states and record counts.
	Query struct {
		// Customer alone selects the customer's contract.
		Customer string `json:"customer,omitempty"`
		// Key selects the claim of an idempotency key of Customer.
		Key string `json:"key,omitempty"`
		// Fingerprint selects the crash record of a request fingerprint.
		Fingerprint string `json:"print,omitempty"`
		// LeastVersion selects only what every result has: LeastVersion, InstanceCount and Status.
		LeastVersion bool `json:"least,omitempty"`
		// Document selects the routing table.
		Document bool `json:"document,omitempty"`
		// Parts selects what is known against prompt parts.
		Parts bool `json:"parts,omitempty"`
		// Usage selects the usage of the latest windows.
		Usage bool `json:"usage,omitempty"`
		// ScaleOrders selects the last orders of endpoints. A replica of an older build returns none for it.
		ScaleOrders bool `json:"scale,omitempty"`
	}

	// QueryResult is the response to a Query. If IsLeader is false the replica is not the leader, and only Leader and Status are set.
	QueryResult struct {
		IsLeader      bool                         `json:"lead"`
		Leader        netip.AddrPort               `json:"leader"`
		Contract      *ctrl.VersionedContract      `json:"contract,omitempty"`
		Claim         *claim.Record                `json:"claim,omitempty"`
		Crash         ctrl.Crash                   `json:"print"`
		Spending      map[string]ctrl.Spending     `json:"spent,omitempty"`
		DesiredStates map[string]ctrl.DesiredState `json:"desired,omitempty"`
		Counts        map[string]int               `json:"counts,omitempty"`
		// LeastVersion is the lowest configuration version applied on all instances, InstanceCount their number.
		LeastVersion  uint64      `json:"least,omitempty"`
		InstanceCount int         `json:"members,omitempty"`
		Status        repl.Status `json:"status"`
		Document      []byte      `json:"document,omitempty"`
		// Parts is indexed by prompt part.
		Parts       blame.Records `json:"parts,omitempty"`
		Usage       *ctrl.Usage   `json:"usage,omitempty"`
		ScaleOrders []scale.Order `json:"scale,omitempty"`
	}

	// Server serves proposals and queries on a replica.
	Server struct {
		group        *group.Group
		machine      *ctrl.Machine
		leastVersion func(now time.Time) (uint64, int)
		mu           sync.Mutex
		// term is the log term in which the leases were last reset. It is guarded by mu.
		term uint64
	}
)

// Check returns an error if the command is invalid.
func (p *Proposal) Check() error {
	return p.Command.Check()
}

// NewServer returns a server for a replica. leastVersion returns the lowest configuration version applied on all instances, and
// their number.
func NewServer(g *group.Group, m *ctrl.Machine, leastVersion func(time.Time) (uint64, int)) *Server {
	return &Server{group: g, machine: m, leastVersion: leastVersion}
}

// notLeaderResponse returns the response of a replica that is not the leader.
func (s *Server) notLeaderResponse() Response {
	m, _ := s.group.Leader()
	return Response{Leader: m.Addr}
}

// Propose commits a command, with the leader's clock as the command's time. On a replica that is not the leader it returns a
// Response without IsLeader and no error.
func (s *Server) Propose(ctx context.Context, p Proposal) (Response, error) {
	p.Command.ProposedAtMS = time.Now().UnixMilli()
	data, err := cbor.Marshal(p.Command)
	if err != nil {
		return Response{}, err
	}
	v, err := s.group.Propose(ctx, data)
	if errors.Is(err, repl.ErrNotLeader) {
		return s.notLeaderResponse(), nil
	}
	if err != nil {
		return Response{}, err
	}
	res, _ := v.(ctrl.Result)
	return Response{IsLeader: true, Result: res}, nil
}

// Holder returns the holder of a cell's lease, and grants the lease to the requester if it is free.
func (s *Server) Holder(ctx context.Context, q HolderRequest) (Response, error) {
	status := s.group.Status()
	if status.Role != repl.Leader.String() {
		return s.notLeaderResponse(), nil
	}
	now := time.Now()
	s.resetLeasesOnNewTerm(now, status.Term)
	lease, free := s.machine.Lease(now, q.Cell)
	if !free {
		return Response{IsLeader: true, Result: ctrl.Result{Code: ctrl.Held, Epoch: lease.Epoch, Holder: lease.Holder}}, nil
	}
	if lease.Epoch == 0 && !q.Create {
		return Response{IsLeader: true, Result: ctrl.Result{Code: ctrl.NotFound, Reason: "no endpoint ever served " + q.Cell}}, nil
	}
	if q.QueryOnly {
		return Response{IsLeader: true, Result: ctrl.Result{Code: ctrl.Held, Epoch: lease.Epoch}}, nil
	}
	cmd := ctrl.Command{AcquireLease: &ctrl.AcquireLease{Cell: q.Cell, SeenEpoch: lease.Epoch, Holder: q.Requester, Kind: q.Kind}}
	return s.Propose(ctx, Proposal{Command: cmd})
}

// resetLeasesOnNewTerm makes all leases count as renewed now, at the first request in a new log term: a new leader cannot know when
// they were renewed.
func (s *Server) resetLeasesOnNewTerm(now time.Time, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != term {
		s.term = term
		s.machine.MarkLeasesRenewed(now)
	}
}

// Read answers a query after a quorum has confirmed that this replica is the leader.
func (s *Server) Read(ctx context.Context, q Query) (QueryResult, error) {
	_, err := s.group.Confirm(ctx)
	if errors.Is(err, repl.ErrNotLeader) {
		return QueryResult{Leader: s.notLeaderResponse().Leader, Status: s.group.Status()}, nil
	}
	if err != nil {
		return QueryResult{}, err
	}
	v := QueryResult{IsLeader: true, Status: s.group.Status()}
	v.LeastVersion, v.InstanceCount = s.leastVersion(clock.Now())
	switch {
	case q.LeastVersion:
	case q.Document:
		v.Document, _ = s.machine.TableDocument()
	case q.Parts:
		v.Parts = s.machine.Parts()
	case q.Usage:
		usage := s.machine.Usage()
		v.Usage = &usage
	case q.ScaleOrders:
		v.ScaleOrders = s.machine.ScaleOrders()
	case q.Fingerprint != "":
		v.Crash = s.machine.Crash(q.Fingerprint)
	case q.Key != "":
		v.Claim = s.machine.Claim(q.Customer, q.Key)
	case q.Customer != "":
		v.Contract = s.machine.Contract(q.Customer)
	default:
		v.Spending, v.DesiredStates, v.Counts = s.machine.Spending(), s.machine.DesiredStates(), s.machine.Counts()
	}
	return v, nil
}
