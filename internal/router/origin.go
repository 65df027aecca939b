package router

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/twitchtv/twirp"

	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/origin"
	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/picker"
	"github.com/greengagewheel/greengagewheel/internal/roster"
)

// originSender implements origin.Sender by calls between instances.
type originSender struct {
	links *peer.Links
}

func (s originSender) SendOrigins(ctx context.Context, to netip.AddrPort, msg origin.Message) (origin.Reply, error) {
	var reply picker.LeaderReply
	err := s.links.Call(ctx, to, peer.Ask, leaderTimeout, picker.LeaderRequest{Origin: &msg}, &reply)
	switch {
	case err != nil:
		return origin.Reply{}, err
	case reply.Origin == nil:
		return origin.Reply{}, origin.ErrNotKept
	}
	return *reply.Origin, nil
}

func (r *Router) newOrigins() *origin.Keeper {
	return origin.New(origin.Options{
		Sender: originSender{r.links}, Replicas: r.otherReplicas, Entries: r.otherEntries, Endpoints: r.presentEndpoints, Now: clock.Now,
		Log: r.log,
	})
}

// presentEndpoints returns the endpoints in the configuration, and whether that is proven current.
func (r *Router) presentEndpoints(now time.Time) (endpoints map[string]roster.Endpoint, current bool) {
	return r.distributor.View().Endpoints, r.distributor.ConfigCurrent(now)
}

// otherReplicas returns the replicas of the log without this instance, the leader first and the others in an order that differs
// between instances.
func (r *Router) otherReplicas() []netip.AddrPort {
	leader := r.leader()
	var others []netip.AddrPort
	for _, replica := range r.distributor.Replicas() {
		if replica.Addr != leader && replica.Addr != r.self.Addr {
			others = append(others, replica.Addr)
		}
	}
	if n := uint64(len(others)); n > 0 {
		first := xxhash.Sum64String(r.self.Name) % n
		others = slices.Concat(others[first:], others[:first])
	}
	if leader.IsValid() && leader != r.self.Addr {
		others = slices.Insert(others, 0, leader)
	}
	return others
}

// otherEntries returns the other entry instances, those in this availability zone first.
func (r *Router) otherEntries() []netip.AddrPort {
	var near, far []netip.AddrPort
	for _, inst := range r.distributor.View().Instances {
		switch {
		case inst.Addr == r.self.Addr:
		case inst.Zone == r.self.Zone:
			near = append(near, inst.Addr)
		default:
			far = append(far, inst.Addr)
		}
	}
	return append(near, far...)
}

// serveAsk handles a placement request, or a message about the origins of streams or about usage.
func (r *Router) serveAsk(ctx context.Context, req picker.LeaderRequest) (picker.LeaderReply, error) {
	if req.Origin != nil {
		reply := r.origins.Serve(*req.Origin)
		return picker.LeaderReply{Origin: &reply}, nil
	}
	if req.UsageCopy != nil {
		return r.serveUsageCopy(req.UsageCopy), nil
	}
	if r.pickerServer == nil {
		return picker.LeaderReply{}, twirp.NewError(twirp.Unimplemented, "requests are placed by replicas only")
	}
	reply, err := r.pickerServer.Serve(ctx, req)
	reply.Usage = r.receiveUsage(&req)
	return reply, err
}
