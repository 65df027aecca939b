package router

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/conf"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

const (
	// silenceCheckInterval is the interval between two checks for silent endpoints.
	silenceCheckInterval = time.Second
	// endpointLostAfter is the silence after which an endpoint is removed. It is long because an endpoint that is only
	// cut off from the replicas may still serve; instances detect dead endpoints themselves.
	endpointLostAfter = 30 * time.Second
	// heartbeatReportInterval is the interval between two reports to the leader about endpoints that announced themselves
	// here.
	heartbeatReportInterval = 500 * time.Millisecond
	// maxHeartbeatReportAge is the age of the last report accepted by the leader beyond which announcements are forwarded to
	// the leader individually. They fail if this replica is cut off, which makes endpoints turn to another replica.
	maxHeartbeatReportAge = 3 * time.Second
	// maxHeartbeatsPerReport bounds the endpoints in one report; the others are sent with the next.
	maxHeartbeatsPerReport = 4096
	// leaderTimeout bounds a message to the leader, including its commit.
	leaderTimeout = 800 * time.Millisecond
)

// errNoLeader means that no leader of the log is known.
var errNoLeader = errors.New("no leader is known")

type (
	// Control is the interface for operators and endpoints.
	Control interface {
		// Replace commits a routing table; source is the document that describes it.
		Replace(ctx context.Context, t table.Table, source []byte) error
		// Document returns the document of the newest routing table.
		Document(ctx context.Context) ([]byte, error)
		// Announce processes an endpoint's announcement and returns the address for its next one.
		Announce(ctx context.Context, e roster.Endpoint) (netip.AddrPort, error)
		// RemoveEndpoint removes an endpoint.
		RemoveEndpoint(ctx context.Context, removal roster.Removal) error
	}

	// control implements Control on a replica. A heartbeat is an announcement that a replica received, whether or not it changes
	// the state.
	control struct {
		router        *Router
		operatorsPort uint16
		mu            sync.Mutex
		// lastHeartbeat holds, on the leader, the time of each endpoint's last heartbeat in term, by endpoint ID.
		lastHeartbeat map[string]time.Time
		term          uint64
		// unreported holds the IDs of the endpoints whose heartbeats this replica received and has yet to report to the leader.
		unreported map[string]bool
		// lastReport is the time of the last report that the leader accepted.
		lastReport time.Time
	}

	// leaderMessage is sent by replicas to the leader; one of its fields is set.
	leaderMessage struct {
		// Endpoint is an announcement.
		Endpoint *roster.Endpoint `json:"endpoint,omitempty"`
		Removal  *roster.Removal  `json:"exit,omitempty"`
		// HeartbeatIDs is a report of the endpoints whose heartbeats the replica received.
		HeartbeatIDs []string `json:"heard,omitempty"`
	}

	// leaderReply is the leader's reply. If IsLeader is false, the message was not processed.
	leaderReply struct {
		IsLeader       bool `json:"leads"`
		UnknownService bool `json:"foreign,omitempty"`
	}
)

func newControl(r *Router, c *conf.Settings) *control {
	return &control{
		router: r, operatorsPort: c.Listen.Operators.Port(), lastHeartbeat: map[string]time.Time{}, unreported: map[string]bool{},
	}
}

// Replace commits a routing table.
func (c *control) Replace(ctx context.Context, t table.Table, source []byte) error {
	result, err := c.router.quorum.Propose(ctx, ctrl.Command{ReplaceTable: &ctrl.ReplaceTable{Table: t, Source: source}})
	if err != nil {
		c.router.log.Warn("routing table not committed", zap.Uint64("table", t.Version), zap.Error(err))
		return err
	}
	c.router.log.Info("routing table accepted", zap.Uint64("table", t.Version), zap.Uint64("in_force", result.Version),
		zap.String("note", result.Reason), zap.Int("routes", len(t.Routes)), zap.Int("organisations", len(t.Organisations)))
	return nil
}

// Document reads the document of the newest routing table from the leader, confirmed by a quorum.
func (c *control) Document(ctx context.Context) ([]byte, error) {
	result, err := c.router.quorum.Read(ctx, quorum.Query{Document: true})
	return result.Document, err
}

// Announce processes an endpoint's announcement. It returns the address to use for the next one, which is this
// replica's, so that endpoints stay distributed over all replicas. An announcement without changes is only included in
// the next report to the leader.
func (c *control) Announce(ctx context.Context, e roster.Endpoint) (netip.AddrPort, error) {
	self := netip.AddrPortFrom(c.router.self.Addr.Addr(), c.operatorsPort)
	if len(c.router.machine.AnnouncementSteps(e)) == 0 && c.serviceKnown(&e) && c.queueHeartbeat(clock.Now(), e.ID) {
		return self, nil
	}
	if err := c.sendToLeader(ctx, leaderMessage{Endpoint: &e}); err != nil {
		return netip.AddrPort{}, err
	}
	return self, nil
}

// serviceKnown reports whether the endpoint's service is in the routing table, or there is no table yet.
func (c *control) serviceKnown(e *roster.Endpoint) bool {
	t := c.router.distributor.View().Table
	return t.Version() == 0 || t.Service(e.Service) != nil
}

// queueHeartbeat adds an endpoint to the next report. It returns false if the leader has not accepted a report recently.
func (c *control) queueHeartbeat(now time.Time, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.lastReport) > maxHeartbeatReportAge {
		return false
	}
	c.unreported[id] = true
	return true
}

// reportHeartbeats reports to the leader the endpoints whose heartbeats this replica received.
func (c *control) reportHeartbeats(ctx context.Context) {
	c.mu.Lock()
	ids := make([]string, 0, len(c.unreported))
	for id := range c.unreported {
		if len(ids) < maxHeartbeatsPerReport {
			ids = append(ids, id)
			delete(c.unreported, id)
		}
	}
	c.mu.Unlock()
	err := c.sendToLeader(ctx, leaderMessage{HeartbeatIDs: ids})
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.lastReport = clock.Now()
		return
	}
	c.router.log.Debug("heartbeats of endpoints not reported to the leader", zap.Error(err))
	for _, id := range ids {
		c.unreported[id] = true
	}
}

// RemoveEndpoint has the leader remove an endpoint.
func (c *control) RemoveEndpoint(ctx context.Context, removal roster.Removal) error {
	return c.sendToLeader(ctx, leaderMessage{Removal: &removal})
}

// sendToLeader has the leader process a message, locally if this instance leads.
func (c *control) sendToLeader(ctx context.Context, msg leaderMessage) error {
	if c.router.isLeader() {
		reply, err := c.handleMessage(ctx, msg)
		return replyError(reply, err)
	}
	leader := c.router.group.LeaderAddr()
	if !leader.IsValid() {
		return errNoLeader
	}
	var reply leaderReply
	err := c.router.links.Call(ctx, leader, peer.Announce, leaderTimeout, msg, &reply)
	return replyError(reply, err)
}

func replyError(reply leaderReply, err error) error {
	switch {
	case err != nil:
		return err
	case reply.UnknownService:
		return roster.ErrUnknownService
	case !reply.IsLeader:
		return errNoLeader
	}
	return nil
}

// handleMessage processes a message on the leader.
func (c *control) handleMessage(ctx context.Context, msg leaderMessage) (leaderReply, error) {
	if !c.router.isLeader() {
		return leaderReply{}, nil
	}
	switch {
	case msg.Endpoint != nil:
		return c.handleAnnouncement(ctx, *msg.Endpoint)
	case msg.Removal != nil:
		err := c.commit(ctx, ctrl.Command{RemoveEndpoint: msg.Removal})
		c.router.log.Info("endpoint left", zap.String("endpoint", msg.Removal.ID), zap.Int64("born", msg.Removal.StartedAtMS), zap.Error(err))
		return leaderReply{IsLeader: true}, err
	}
	// The heartbeats were received at some time within the report interval.
	at := clock.Now().Add(-heartbeatReportInterval)
	for _, id := range msg.HeartbeatIDs {
		c.recordHeartbeat(at, id)
	}
	return leaderReply{IsLeader: true}, nil
}

// handleAnnouncement commits what is new in an announcement and records it as a heartbeat.
func (c *control) handleAnnouncement(ctx context.Context, e roster.Endpoint) (leaderReply, error) {
	if !c.serviceKnown(&e) {
		c.router.log.Warn("announcement refused", zap.String("endpoint", e.ID), zap.String("service", e.Service),
			zap.Stringer("address", e.Addr))
		return leaderReply{IsLeader: true, UnknownService: true}, nil
	}
	steps := c.router.machine.AnnouncementSteps(e)
	for _, step := range steps {
		if err := c.commit(ctx, ctrl.Command{Announce: &step}); err != nil {
			return leaderReply{IsLeader: true}, err
		}
	}
	if len(steps) > 0 {
		e = steps[len(steps)-1]
		c.router.log.Info("endpoint announced", zap.String("endpoint", e.ID), zap.String("service", e.Service),
			zap.Stringer("address", e.Addr), zap.String("state", string(e.State)), zap.Int64("born", e.StartedAtMS),
			zap.String("build", e.Build))
	}
	c.recordHeartbeat(clock.Now(), e.ID)
	return leaderReply{IsLeader: true}, nil
}

// recordHeartbeat records on the leader a heartbeat that an endpoint sent at a time or later.
func (c *control) recordHeartbeat(at time.Time, id string) {
	c.mu.Lock()
	c.lastHeartbeat[id] = at
	c.mu.Unlock()
	c.router.pickerServer.RecordHeartbeat(at, id)
}

func (c *control) commit(ctx context.Context, cmd ctrl.Command) error {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	result, err := c.router.quorumServer.Propose(ctx, quorum.Proposal{Command: cmd})
	if err == nil && !result.IsLeader {
		err = errNoLeader
	}
	return err
}

// run reports the heartbeats received by this replica and, on the leader, removes endpoints that have been silent for too
// long.
func (c *control) run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { pace.Every(ctx, heartbeatReportInterval, func() { c.reportHeartbeats(ctx) }) })
	pace.Every(ctx, silenceCheckInterval, func() {
		if !c.router.isLeader() {
			return
		}
		for _, e := range c.silentEndpoints(clock.Now(), c.router.group.Status().Term) {
			c.router.log.Warn("endpoint lost", zap.String("endpoint", e.ID), zap.String("service", e.Service),
				zap.Stringer("address", e.Addr))
			if err := c.commit(ctx, ctrl.Command{RemoveEndpoint: &roster.Removal{ID: e.ID, StartedAtMS: e.StartedAtMS, Lost: true}}); err != nil {
				c.router.log.Warn("lost endpoint not taken out", zap.String("endpoint", e.ID), zap.Error(err))
			}
		}
	})
}

// silentEndpoints returns the endpoints without a heartbeat for endpointLostAfter in this term.
func (c *control) silentEndpoints(now time.Time, term uint64) []roster.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term != c.term {
		c.term = term
		clear(c.lastHeartbeat)
	}
	var silent []roster.Endpoint
	registered := map[string]bool{}
	for _, e := range c.router.machine.Endpoints() {
		registered[e.ID] = true
		at, ok := c.lastHeartbeat[e.ID]
		if !ok {
			c.lastHeartbeat[e.ID] = now
		} else if now.Sub(at) > endpointLostAfter {
			silent = append(silent, e)
		}
	}
	for id := range c.lastHeartbeat {
		if !registered[id] {
			delete(c.lastHeartbeat, id)
		}
	}
	return silent
}
