package broker

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/cell"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
	"github.com/greengagewheel/greengagewheel/internal/sched"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

const (
	// grantCallTimeout is the time limit of a call for a grant; the scheduler replies after 1 s if there is no decision.
	grantCallTimeout = 1500 * time.Millisecond
	// callTimeout is the time limit of any other call to a scheduler.
	callTimeout = time.Second
	// findTimeout is the time limit for finding the instance that schedules a cell.
	findTimeout = 4 * time.Second
	// reportInterval is the time between two reports of the running requests.
	reportInterval = time.Second
	// retryDelay is the pause before a failed call is repeated.
	retryDelay = 40 * time.Millisecond
	// completionTimeout is how long a batch of completions is retried.
	completionTimeout = 5 * time.Second
	// maxPendingCompletions is the number of completions queued per cell; further ones are dropped.
	maxPendingCompletions = 4096
	// maxCompletionsPerCall is the largest number of completions in one batch.
	maxCompletionsPerCall = 256
)

var (
	// ErrNoCell means that no endpoint has ever served the model or service.
	ErrNoCell      = errors.New("no endpoint serves it")
	errNoScheduler = errors.New("nobody schedules the cell at present")
)

type (
	// Options configures a broker.
	Options struct {
		Self ctrl.Instance
		// Links reaches schedulers on other instances.
		Links *peer.Links
		// Quorum looks up the holder of a cell's lease.
		Quorum *quorum.Client
		// Cells holds the schedulers on this instance.
		Cells *cell.Manager
		Log   *zap.Logger
	}

	// Broker is the client of all cells' schedulers, and holds the running requests of this instance.
	Broker struct {
		opt Options
		// mu guards clients, which are indexed by the name of the cell.
		mu      sync.Mutex
		clients map[string]*cellClient
		wg      conc.WaitGroup
		ctx     context.Context
	}

	// cellClient holds the state of this instance as a client of one cell.
	cellClient struct {
		name string
		// findMu ensures that only one goroutine at a time looks for the scheduler.
		findMu sync.Mutex
		// mu guards the fields below.
		mu sync.Mutex
		// holderAddr is the address of the instance that schedules the cell, or the zero value if it is not known.
		holderAddr  netip.AddrPort
		holderEpoch uint64
		// announcements is indexed by the name of the endpoint.
		announcements map[string]announcement
		// grants is indexed by the ID of the request.
		grants      map[string]*Grant
		completions chan sched.Completion
	}

	// announcement is an endpoint's announcement and the time at which it was received.
	announcement struct {
		ann        endpt.Announcement
		receivedAt time.Time
	}

	// Grant is a granted request that this instance relays to an endpoint.
	Grant struct {
		mu            sync.Mutex
		req           sched.Request
		target        sched.Target
		startedAt     time.Time
		tokenInterval time.Duration
	}
)

// New returns a broker. Its background work ends with the context.
func New(ctx context.Context, opt Options) *Broker {
	return &Broker{opt: opt, clients: map[string]*cellClient{}, ctx: ctx}
}

// SetTokenInterval records the current mean time between tokens of the running request, for the next report.
func (g *Grant) SetTokenInterval(interval time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokenInterval = interval
}

// clientFor returns the client of a cell; a new one starts to report to the cell's scheduler.
func (b *Broker) clientFor(name string) *cellClient {
	b.mu.Lock()
	defer b.mu.Unlock()
	client := b.clients[name]
	if client == nil {
		client = &cellClient{
			name: name, announcements: map[string]announcement{}, grants: map[string]*Grant{},
			completions: make(chan sched.Completion, maxPendingCompletions),
		}
		b.clients[name] = client
		b.wg.Go(func() { b.sendReports(client) })
		b.wg.Go(func() { b.sendCompletions(client) })
	}
	return client
}

// findHolder returns the address of the instance that schedules a cell, and looks it up if it is not known. If the lookup gives
// the lease to this instance, it starts to schedule the cell. If createKind is set, a cell that does not exist is created
// for endpoints of that kind; otherwise the error is ErrNoCell.
func (b *Broker) findHolder(ctx context.Context, client *cellClient, createKind endpt.Kind) (netip.AddrPort, error) {
	if addr, ok := client.holder(); ok {
		return addr, nil
	}
	client.findMu.Lock()
	defer client.findMu.Unlock()
	if addr, ok := client.holder(); ok {
		return addr, nil
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	sentAt := time.Now()
	request := quorum.HolderRequest{
		Cell: client.name, Requester: b.opt.Self, Create: createKind != "", Kind: createKind, QueryOnly: b.opt.Cells.Closed(),
	}
	result, err := b.opt.Quorum.Holder(ctx, request)
	if err != nil {
		return netip.AddrPort{}, fault.Wrap("find scheduler", client.name, err)
	}
	if result.Code == ctrl.NotFound {
		return netip.AddrPort{}, ErrNoCell
	}
	if !result.Holder.Addr.IsValid() {
		return netip.AddrPort{}, errNoScheduler
	}
	if result.Holder.Boot == b.opt.Self.Boot {
		b.opt.Cells.Start(client.name, result.Epoch, sentAt)
	}
	b.setHolder(client, result.Holder.Addr, result.Epoch)
	return result.Holder.Addr, nil
}

// holder returns the address of the instance that schedules the cell, and whether it is known.
func (c *cellClient) holder() (netip.AddrPort, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holderAddr, c.holderAddr.IsValid()
}

// forgetHolder clears the holder's address after a failed call, unless it has changed since.
func (c *cellClient) forgetHolder(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holderAddr == addr {
		c.holderAddr = netip.AddrPort{}
	}
}

// setHolder records the holder of a cell's lease. In a new epoch the scheduler starts without state, so that it is sent the
// running requests and the recent announcements at once.
func (b *Broker) setHolder(client *cellClient, addr netip.AddrPort, epoch uint64) {
	client.mu.Lock()
	changed := client.holderEpoch != epoch
	client.holderAddr, client.holderEpoch = addr, epoch
	var recent []announcement
	for name, ann := range client.announcements {
		if time.Since(ann.receivedAt) > endpt.StaleAfter {
			delete(client.announcements, name)
			continue
		}
		recent = append(recent, ann)
	}
	client.mu.Unlock()
	if !changed {
		return
	}
	b.wg.Go(func() {
		b.sendReport(client, addr)
		for _, ann := range recent {
			req := cell.Call{Announcement: &ann.ann, AnnouncementAge: time.Since(ann.receivedAt)}
			_, _ = b.call(b.ctx, client, addr, req, callTimeout)
		}
	})
}

// call sends a call to a cell's scheduler at an address, which may be on this instance. It is an error if that instance does not
// hold the lease. After an error the address is looked up again, unless the context has ended.
func (b *Broker) call(
	ctx context.Context, client *cellClient, to netip.AddrPort, req cell.Call, timeout time.Duration,
) (cell.Reply, error) {
	req.Cell = client.name
	var reply cell.Reply
	var err error
	if to == b.opt.Self.Addr {
		reply, err = b.opt.Cells.Handle(ctx, req)
	} else {
		err = b.opt.Links.Call(ctx, to, peerMethod(&req), timeout, req, &reply)
	}
	if err == nil && !reply.Held {
		err = fault.Errorf("call scheduler", to.String(), "does not hold the lease of %s", client.name)
	}
	if err != nil && ctx.Err() == nil {
		client.forgetHolder(to)
	}
	return reply, err
}

// peerMethod returns the RPC method for a call.
func peerMethod(req *cell.Call) func(peer.Peer, context.Context, *peer.Frame) (*peer.Frame, error) {
	switch {
	case req.Request != nil:
		return peer.Ask
	case req.Report != nil:
		return peer.Sync
	case req.Announcement != nil:
		return peer.Announce
	case len(req.Completions) > 0 || req.CancelID != "":
		return peer.Finish
	}
	return peer.Show
}

// RequestGrant requests a grant and waits for the decision, across changes of the scheduler, until the context ends. The grant is
// nil unless the request is granted; a grant must be ended by Finish. The error is ErrNoCell if the cell does not exist.
func (b *Broker) RequestGrant(ctx context.Context, name string, req sched.Request) (sched.Decision, *Grant, error) {
	client := b.clientFor(name)
	started := time.Now()
	waited := req.Waited
	var lastErr error
	for ctx.Err() == nil {
		addr, err := b.findHolder(ctx, client, "")
		if errors.Is(err, ErrNoCell) {
			return sched.Decision{}, nil, err
		}
		if err == nil {
			req.Waited = waited + time.Since(started)
			var reply cell.Reply
			reply, err = b.call(ctx, client, addr, cell.Call{Request: &req}, grantCallTimeout)
			if err == nil && reply.Decision.Kind == sched.Waiting {
				continue
			}
			if err == nil {
				return reply.Decision, b.addGrant(client, req, reply.Decision), nil
			}
		}
		lastErr = err
		pace.Sleep(ctx, retryDelay)
	}
	b.cancelRequest(client, req)
	return sched.Decision{}, nil, fault.Wrap("ask for grant", name, errors.Join(ctx.Err(), lastErr))
}

// addGrant adds the grant of a granted request; it returns nil for other decisions.
func (b *Broker) addGrant(client *cellClient, req sched.Request, decision sched.Decision) *Grant {
	if decision.Kind != sched.Granted {
		return nil
	}
	grant := &Grant{req: req, target: decision.Target, startedAt: time.Now()}
	client.mu.Lock()
	client.grants[req.ID] = grant
	client.mu.Unlock()
	return grant
}

// cancelRequest withdraws a request that is no longer waited for. It also reports the run as unsent, in case that a grant was
// made but did not arrive.
func (b *Broker) cancelRequest(client *cellClient, req sched.Request) {
	addr, ok := client.holder()
	if !ok {
		return
	}
	b.wg.Go(func() {
		_, _ = b.call(b.ctx, client, addr, cell.Call{CancelID: req.ID, Entry: req.Entry}, callTimeout)
		b.queueCompletion(client, sched.Completion{ID: req.ID, Attempt: req.Attempt, Unsent: true})
	})
}

// States returns the state of the named cells. Cells whose scheduler cannot be reached are left out.
func (b *Broker) States(ctx context.Context, names []string) map[string]sched.State {
	states := map[string]sched.State{}
	for _, name := range names {
		client := b.clientFor(name)
		addr, err := b.findHolder(ctx, client, "")
		if err != nil {
			continue
		}
		reply, err := b.call(ctx, client, addr, cell.Call{}, callTimeout)
		if err == nil && reply.State != nil {
			states[name] = *reply.State
		}
	}
	return states
}

// Running returns the number of requests that run through this instance.
func (b *Broker) Running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, client := range b.clients {
		client.mu.Lock()
		n += len(client.grants)
		client.mu.Unlock()
	}
	return n
}
