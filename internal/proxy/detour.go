package proxy

import (
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/answer"
	"github.com/greengagewheel/greengagewheel/internal/budget"
	"github.com/greengagewheel/greengagewheel/internal/detour"
	"github.com/greengagewheel/greengagewheel/internal/egress"
	"github.com/greengagewheel/greengagewheel/internal/notice"
	"github.com/greengagewheel/greengagewheel/internal/place"
)

const (
	// maxInstancesTried is the number of other instances by which one attempt is tried to be sent.
	maxInstancesTried = 3
	// maxDetours is the number of requests that this instance sends for others at the same time. Beyond it they use other instances.
	maxDetours = 256
	// witnessID stands for the ID of a request in orders that only ask for a connection, witnessTimeout bounds them.
	witnessID      = "connect"
	witnessTimeout = 700 * time.Millisecond
	// detourBufferBytes is the size of the buffer for an answer that is passed on to another instance.
	detourBufferBytes = 16 << 10
	// detourClient stands for the organisation of requests that other instances send, unknownLength for the length of their bodies.
	detourClient  = "instances"
	unknownLength = -1
)

// errNoInstance means that there is no other instance by which a request could be sent.
var errNoInstance = errors.New("no other instance sends the request")

type (
	// exchange is one request to an endpoint and its response, over a connection of this instance or by way of another one.
	exchange interface {
		// ReadResponse returns the response that belongs to the request, according to belongs.
		// first tells belongs that a response is the first one on its connection to the endpoint.
		ReadResponse(belongs func(resp *http.Response, first bool) bool) (*http.Response, error)
		SkipBody(resp *http.Response) error
		SetReadTimeout(timeout time.Duration) error
		// OnTimeout has fn called when the timeout passes while nothing is received. It returns how much longer to wait, or 0 to fail.
		OnTimeout(fn func() time.Duration)
		// ProvenStart returns the start time that the endpoint told on the connection, in Unix milliseconds, or 0.
		ProvenStart() int64
		SetProvenStart(startedAtMS int64)
		// Reused reports whether a connection of this instance is used that served earlier requests.
		Reused() bool
		// Release ends an exchange whose response was read completely, Abort any other one.
		Release(now time.Time, resp *http.Response, idleTimeout time.Duration)
		Abort()
	}

	// detours sends requests by way of other instances. It is safe for concurrent use.
	detours struct {
		mu      sync.Mutex
		chooser *detour.Chooser
	}
)

func newDetours() *detours {
	return &detours{chooser: detour.NewChooser()}
}

// avoid keeps an instance from being chosen for some time.
func (d *detours) avoid(now time.Time, via netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.chooser.Avoid(now, via)
}

// chooseInstance returns another entry instance, or false if none is left.
func (p *Proxy) chooseInstance(now time.Time) (netip.AddrPort, bool) {
	var instances []detour.Instance
	for _, inst := range p.opt.View().Instances {
		if inst.Name != p.opt.Name {
			instances = append(instances, detour.Instance{Zone: inst.Zone, Addr: inst.Addr})
		}
	}
	p.detours.mu.Lock()
	defer p.detours.mu.Unlock()
	return p.detours.chooser.Choose(now, instances, p.opt.Zone, rand.Float64())
}

// sendVia sends the request to an endpoint by way of another instance. A nil exchange means that nothing was sent; the error is then
// errNoInstance if no instance has tried it.
func (req *request) sendVia(choice place.Choice, after string) (exchange, error) {
	p := req.proxy
	if p.opt.Sender == nil {
		return nil, errNoInstance
	}
	h := endToEnd(req.httpReq.Header)
	p.opt.Dialect.EncodeRequest(h, req.forwardInfo(choice, after))
	for range maxInstancesTried {
		via, ok := p.chooseInstance(p.opt.Now())
		left := req.deadline.Sub(p.opt.Now())
		if !ok || left <= 0 {
			return nil, errNoInstance
		}
		req.sentAt = p.opt.Now()
		call, err := detour.Start(req.httpReq.Context(), p.opt.Sender, via, &detour.Order{
			RequestID: req.caller.ID, RunID: req.attemptID, From: p.opt.Name, EndpointID: choice.ID, Addr: choice.Addr,
			StartedAtMS: choice.StartedAtMS, ProveStart: req.mustProveStart() || req.mayBeginStream(), Method: req.httpReq.Method, Target: req.httpReq.RequestURI,
			Host: req.httpReq.Host, Header: h, Left: left, Expected: req.expectedTimeout(req.sentAt, &choice),
		}, req.body)
		unsent := new(detour.UnsentError)
		if errors.As(err, &unsent) {
			req.log.Info("request not sent by another instance", zap.String("run", req.attemptID), zap.String("endpoint", choice.ID),
				zap.Stringer("by", via), zap.Error(err))
			switch unsent.Receipt.Result {
			case detour.Unreached:
				p.links.triedByOther(p.opt.Now(), choice.ID, false)
				return nil, err
			case detour.Unwilling:
			default:
				p.detours.avoid(p.opt.Now(), via)
			}
			continue
		}
		req.via = via
		p.detoursMade.Add(1)
		if err != nil {
			p.detours.avoid(p.opt.Now(), via)
		}
		req.log.Info("request sent by another instance", zap.String("run", req.attemptID), zap.String("endpoint", choice.ID),
			zap.Stringer("by", via), zap.Error(err))
		return call, err
	}
	return nil, errNoInstance
}

// othersReach reports whether another instance can connect to an endpoint.
func (p *Proxy) othersReach(dest egress.Dest) bool {
	if p.opt.Sender == nil {
		return false
	}
	for range maxInstancesTried {
		via, ok := p.chooseInstance(p.opt.Now())
		if !ok {
			return false
		}
		order := &detour.Order{
			RequestID: witnessID, From: p.opt.Name, EndpointID: dest.ID, Addr: dest.Addr, StartedAtMS: dest.StartedAtMS,
			Method: http.MethodGet, Target: "/", Left: witnessTimeout, OnlyConnect: true,
		}
		call, err := detour.Start(context.Background(), p.opt.Sender, via, order, nil)
		if call != nil {
			call.Abort()
		}
		unsent := new(detour.UnsentError)
		if errors.As(err, &unsent) {
			switch unsent.Receipt.Result {
			case detour.Reached:
				return true
			case detour.Unreached:
				return false
			}
		}
		p.detours.avoid(p.opt.Now(), via)
	}
	return false
}

// detoured reports whether the current attempt goes by way of another instance.
func (req *request) detoured() bool {
	return req.via.IsValid()
}

// ServeDetour sends a request of another instance to an endpoint, over a connection of this instance.
func (p *Proxy) ServeDetour(w http.ResponseWriter, r *http.Request) {
	var order detour.Order
	if err := detour.ReadFrame(r.Body, &order); err != nil {
		http.Error(w, "order: "+err.Error(), http.StatusBadRequest)
		return
	}
	hold, err := p.opt.Budget.Receive(budget.Client{Organisation: detourClient, Address: order.From}, unknownLength, func() { expireRead(w) })
	if err != nil {
		p.answerOrder(w, &order, detour.Receipt{Result: detour.Declined, Reason: err.Error()})
		return
	}
	defer hold.Release()
	body, err := readOrderBody(hold, r)
	if errors.Is(err, budget.ErrFull) || errors.Is(err, budget.ErrStalled) {
		p.answerOrder(w, &order, detour.Receipt{Result: detour.Declined, Reason: err.Error()})
		return
	}
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	p.requestsInProgress.Add(1)
	defer p.requestsInProgress.Add(-1)
	defer p.detoursRunning.Add(-1)
	if p.detoursRunning.Add(1) > maxDetours {
		p.answerOrder(w, &order, detour.Receipt{Result: detour.Declined, Reason: "too many at once"})
		return
	}
	call, receipt := p.executeOrder(r.Context(), &order, body)
	if !p.answerOrder(w, &order, receipt) || call == nil {
		if call != nil {
			call.Abort()
		}
		return
	}
	p.passAnswer(w, &order, call)
}

// readOrderBody reads the body that follows an order. The error is ErrFull or ErrStalled of the budget if the body was given up.
func readOrderBody(hold *budget.Hold, r *http.Request) ([]byte, error) {
	buf := budget.NewBuffer(hold, unknownLength)
	defer buf.Drop()
	if _, err := buf.Fill(r.Body, math.MaxInt64); err != nil {
		if cause := hold.Cause(); cause != nil {
			return nil, cause
		}
		return nil, err
	}
	if err := hold.Finish(); err != nil {
		return nil, err
	}
	return buf.Bytes()
}

// answerOrder sends a receipt and reports whether that succeeded.
func (p *Proxy) answerOrder(w http.ResponseWriter, order *detour.Order, receipt detour.Receipt) bool {
	p.opt.Log.Info("request of another instance", zap.String("id", order.RequestID), zap.String("run", order.RunID),
		zap.String("endpoint", order.EndpointID), zap.String("from", order.From), zap.Bool("sent", receipt.Result == detour.Sent),
		zap.String("reason", receipt.Reason))
	if err := detour.WriteFrame(w, receipt); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// executeOrder sends the request of an order. Unless the receipt says that it was sent, the call is nil.
func (p *Proxy) executeOrder(ctx context.Context, order *detour.Order, body []byte) (*egress.Call, detour.Receipt) {
	now := p.opt.Now()
	ep := notice.Start{ID: order.EndpointID, StartedAtMS: order.StartedAtMS}
	decline := func(result detour.Result, reason string) (*egress.Call, detour.Receipt) {
		return nil, detour.Receipt{Result: result, Reason: reason}
	}
	switch {
	case p.rejecting.Load():
		return decline(detour.Declined, "stopping")
	case !p.links.reached(now):
		return decline(detour.Declined, "this instance reaches no endpoint either")
	case order.OnlyConnect:
		if p.pools.Reachable(egress.Dest{ID: order.EndpointID, Addr: order.Addr, StartedAtMS: order.StartedAtMS}) {
			return decline(detour.Reached, "")
		}
		return decline(detour.Unreached, "not connected")
	case !p.notices.Admit(now, ep):
		return decline(detour.Unwilling, "the endpoint takes nothing from this instance now")
	}
	dest := egress.Dest{ID: order.EndpointID, Addr: order.Addr, StartedAtMS: order.StartedAtMS}
	conn := p.idleConn(now, dest, order.RequestID, order.ProveStart)
	if conn == nil {
		var err error
		if conn, err = p.pools.Dial(ctx, dest); err != nil {
			p.links.failed(p.opt.Now(), dest.ID)
			return decline(detour.Unreached, err.Error())
		}
	}
	if order.ProveStart {
		if err := p.proveStart(ctx, conn, ep); err != nil {
			_ = conn.Close()
			if errors.Is(err, errStartUntold) {
				return decline(detour.Unwilling, err.Error())
			}
			return decline(detour.Unreached, err.Error())
		}
	}
	call, err := p.pools.Start(ctx, conn, &egress.Request{
		ID: order.RequestID, Method: order.Method, Target: order.Target, Host: order.Host, Header: order.Header, Body: body,
	}, order.Left)
	if errors.Is(err, egress.ErrUnsent) {
		call.Abort()
		return decline(detour.Unreached, err.Error())
	}
	return call, detour.Receipt{Result: detour.Sent}
}

// passAnswer passes the answer to an order on as it comes.
func (p *Proxy) passAnswer(w http.ResponseWriter, order *detour.Order, call *egress.Call) {
	ep := notice.Start{ID: order.EndpointID, StartedAtMS: order.StartedAtMS}
	var info ResponseInfo
	isFirst := false
	resp, err := call.ReadResponse(func(resp *http.Response, first bool) bool {
		info, isFirst = p.opt.Dialect.DecodeResponse(resp.StatusCode, resp.Header), first
		belongs := info.belongsTo(order.RequestID, first)
		if belongs || info.ID != "" {
			p.noteForSelf(ep, info)
		}
		if belongs {
			return true
		}
		p.noteSkippedOrder(order, call, info)
		return false
	})
	if err != nil {
		call.Abort()
		p.logBroken(order, errors.Join(err, detour.WriteFrame(w, detour.Head{Broken: err.Error()})))
		return
	}
	if info.isUnnamedRefusal() {
		p.noteUnnamedRefusal(ep)
	}
	p.links.answered(p.opt.Now(), !call.Reused())
	if info.Pause == 0 && !info.Misdirected {
		p.notices.MarkAnswered(p.opt.Now(), ep)
	}
	head := detour.Head{
		Status: resp.StatusCode, Header: resp.Header, Framing: answer.FramingOf(resp), Length: resp.ContentLength, First: isFirst,
	}
	if err := detour.WriteFrame(w, &head); err != nil {
		call.Abort()
		p.logBroken(order, err)
		return
	}
	if err := passBody(w, resp.Body); err != nil {
		call.Abort()
		p.logBroken(order, errors.Join(err, detour.WriteEnd(w, false)))
		return
	}
	if info.NotRun || info.Misdirected {
		releaseRefused(p.opt.Now(), call, resp, info)
	} else {
		call.Release(p.opt.Now(), resp, egress.IdleTimeout(info.IdleTimeout))
	}
	if err := detour.WriteEnd(w, true); err != nil {
		p.logBroken(order, err)
	}
}

// passBody passes a body on as it comes, up to its end.
func passBody(w http.ResponseWriter, body io.Reader) error {
	flush := http.NewResponseController(w).Flush
	buf := make([]byte, detourBufferBytes)
	for err := flush(); ; {
		if err != nil {
			return err
		}
		n, readErr := body.Read(buf)
		if n > 0 {
			if err = detour.WriteChunk(w, buf[:n]); err == nil {
				err = flush()
			}
		}
		switch {
		case errors.Is(readErr, io.EOF):
			return err
		case readErr != nil:
			return readErr
		}
	}
}

// noteForSelf records what an endpoint tells this instance of itself in an answer for another one.
func (p *Proxy) noteForSelf(ep notice.Start, info ResponseInfo) {
	if info.Misdirected {
		return
	}
	now := p.opt.Now()
	if info.Pause > 0 {
		p.notices.MarkPaused(now, ep, info.Pause)
	}
	if info.Leaving {
		p.notices.MarkLeaving(now, ep)
	}
}

// logBroken logs an order whose answer is not whole.
func (p *Proxy) logBroken(order *detour.Order, err error) {
	p.opt.Log.Info("answer for another instance broken off", zap.String("id", order.RequestID), zap.String("run", order.RunID),
		zap.String("endpoint", order.EndpointID), zap.String("from", order.From), zap.Error(err))
}
